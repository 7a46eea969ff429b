package grebewick.discovery.transfer;

/**
 * A token bucket of bytes. What was used may exceed what is left, as the size of an answer is known afterwards; nothing more
 * may be started until the debt is paid. So the bytes used in any {@code t} seconds are at most rate x t, the burst, and
 * what was under way at one moment.
 */
public final class ByteBudget {
    private static final double US_PER_S = 1_000_000;

    private final double bytesPerUs;
    private final double burst;
    private double left;
    private long atUs;
    private long used;

    /**
     * A full bucket.
     *
     * @param burst bytes that may be used at once after a pause
     */
    public ByteBudget(long bytesPerSecond, long burst, long nowUs) {
        bytesPerUs = bytesPerSecond / US_PER_S;
        this.burst = burst;
        left = burst;
        atUs = nowUs;
    }

    /** Whether something may be started. */
    public boolean isOpen(long nowUs) {
        refill(nowUs);
        return left > 0;
    }

    /** Counts bytes that were sent or received. */
    public void spend(long nowUs, long bytes) {
        refill(nowUs);
        left -= bytes;
        used += bytes;
    }

    /** us. The moment from which something may be started. */
    public long opensAtUs(long nowUs) {
        return isOpen(nowUs) ? nowUs : nowUs + 1 + (long) Math.ceil(-left / bytesPerUs);
    }

    /** Bytes used since the start. */
    public long used() {
        return used;
    }

    private void refill(long nowUs) {
        if (nowUs > atUs) {
            left = Math.min(burst, left + (nowUs - atUs) * bytesPerUs);
            atUs = nowUs;
        }
    }
}
