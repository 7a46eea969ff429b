package grebewick.discovery.transfer;

import grebewick.core.TokenBucket;

/**
 * A bucket of bytes, and how many were used in all. What was used may exceed what is left, as the size of an answer is known
 * afterwards; nothing more may be started until the debt is paid. So the bytes used in any {@code t} seconds are at most
 * rate x t, the burst, and what was under way at one moment.
 */
public final class ByteBudget {
    private final TokenBucket bytes;
    private long used;

    /**
     * A full bucket.
     *
     * @param burst bytes that may be used at once after a pause
     */
    public ByteBudget(long bytesPerSecond, long burst) {
        bytes = new TokenBucket(burst, bytesPerSecond);
    }

    /** Whether something may be started. */
    public boolean isOpen(long nowUs) {
        return bytes.tokens(nowUs) > 0;
    }

    /** Counts bytes that were sent or received. */
    public void spend(long nowUs, long amount) {
        bytes.spend(amount, nowUs);
        used += amount;
    }

    /** us. The moment from which something may be started. */
    public long opensAtUs(long nowUs) {
        return isOpen(nowUs) ? nowUs : nowUs + 1 + bytes.waitUs(0, nowUs);
    }

    /** Bytes used since the start. */
    public long used() {
        return used;
    }
}
