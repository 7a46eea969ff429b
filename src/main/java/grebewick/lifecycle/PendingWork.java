package grebewick.lifecycle;

/**
 * What a process owes to others before it may end.
 *
 * @param standing   calls that stand
 * @param unanswered calls that want their answer
 * @param ends       ends of calls that are to be told, or told again
 * @param bytes      written, and not yet taken by the network
 */
public record PendingWork(int standing, int unanswered, int ends, long bytes) {
    /** Nothing is owed. */
    public static final PendingWork NONE = new PendingWork(0, 0, 0, 0);

    /** Whether nothing is owed. */
    public boolean none() {
        return standing == 0 && unanswered == 0 && ends == 0 && bytes == 0;
    }

    /** The sum of both. */
    public PendingWork and(PendingWork other) {
        return new PendingWork(standing + other.standing, unanswered + other.unanswered, ends + other.ends, bytes + other.bytes);
    }

    @Override
    public String toString() {
        return standing + " calls standing, " + unanswered + " unanswered, " + ends + " ends untold, " + bytes
            + " bytes unwritten";
    }
}
