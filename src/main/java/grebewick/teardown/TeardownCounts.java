package grebewick.teardown;

/**
 * What {@link PendingTeardowns} has done since it was made, and what it holds.
 *
 * @param told     ends whose hearing was confirmed
 * @param again    writes beyond the first of an end
 * @param unheard  ends forgotten after their last try, without an answer
 * @param lapsed   ends forgotten that never found a way
 * @param dropped  ends that had to make room for others
 * @param unsent   held: not written yet, or on no connection any more
 * @param awaiting held: written, without an answer, to be told again
 * @param spent    held: written as often as is allowed, without an answer
 */
public record TeardownCounts(long told, long again, long unheard, long lapsed, long dropped, int unsent, int awaiting,
                             int spent) {
    /** Ends that something is still to be done for. */
    public int open() {
        return unsent + awaiting;
    }
}
