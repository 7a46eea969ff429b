package grebewick.trunk;

/**
 * A token bucket: so many at once, refilled evenly. Times are microseconds of one monotonic clock, handed in; not thread
 * safe.
 */
final class TokenBucket {
    private static final double US_PER_S = 1_000_000;

    private final double capacity;
    private final double perSecond;
    private double tokens;
    private long refilledUs = Long.MIN_VALUE;

    /** A full bucket of {@code capacity} tokens that gains {@code perSecond} of them. */
    TokenBucket(double capacity, double perSecond) {
        if (capacity < 1 || perSecond <= 0) {
            throw new IllegalArgumentException("a bucket that never has a token");
        }
        this.capacity = capacity;
        this.perSecond = perSecond;
        tokens = capacity;
    }

    /** How long until a token is there, in microseconds; 0: there is one now. */
    long waitUs(long nowUs) {
        refill(nowUs);
        return tokens >= 1 ? 0 : (long) Math.ceil((1 - tokens) / perSecond * US_PER_S);
    }

    /** Takes a token; to be called where {@link #waitUs} is 0. */
    void take(long nowUs) {
        if (waitUs(nowUs) > 0) {
            throw new IllegalStateException("no token");
        }
        tokens--;
    }

    private void refill(long nowUs) {
        if (refilledUs == Long.MIN_VALUE) {
            refilledUs = nowUs;
        }
        if (nowUs > refilledUs) {
            tokens = Math.min(capacity, tokens + (nowUs - refilledUs) / US_PER_S * perSecond);
            refilledUs = nowUs;
        }
    }
}
