package grebewick.core;

/** Bytes of memory that many holders may take together. Not thread safe. */
public final class ByteBudget {
    private final long most;
    private long taken;

    /** {@code most}: bytes that may be taken at a time. */
    public ByteBudget(long most) {
        this.most = most;
    }

    /** One of a part of the heap that this process may have. */
    public static ByteBudget ofHeap(int part) {
        return new ByteBudget(Runtime.getRuntime().maxMemory() / part);
    }

    /** Takes an amount and gives true; false: it is not there, and nothing is taken. */
    public boolean tryTake(long bytes) {
        if (taken + bytes > most) {
            return false;
        }
        taken += bytes;
        return true;
    }

    /** Gives back what was taken. */
    public void give(long bytes) {
        taken -= bytes;
    }

    /** Bytes that are taken now. */
    public long taken() {
        return taken;
    }
}
