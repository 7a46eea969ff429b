package grebewick.discovery.replica;

/**
 * A token bucket: in any span of time it gives at most its burst, its rate times the span, and one amount above the burst.
 * An amount above the burst is given when the bucket is full, and leaves a debt. Time is handed in and may stand still.
 */
public final class TokenBucket {
    private static final double US_PER_S = 1_000_000.0;

    private final double perSecond;
    private final double burst;
    private double tokens;
    private long filledUs;

    /** A full bucket. */
    public TokenBucket(double perSecond, double burst, long nowUs) {
        this.perSecond = perSecond;
        this.burst = burst;
        this.tokens = burst;
        this.filledUs = nowUs;
    }

    /** Takes an amount; false: it is not there, and nothing is taken. */
    public boolean take(double amount, long nowUs) {
        if (!has(amount, nowUs)) {
            return false;
        }
        tokens -= amount;
        return true;
    }

    /** Whether an amount would be given. */
    public boolean has(double amount, long nowUs) {
        long passedUs = Math.max(0, nowUs - filledUs);
        tokens = Math.min(burst, tokens + perSecond * passedUs / US_PER_S);
        filledUs = Math.max(filledUs, nowUs);
        return tokens >= Math.min(amount, burst);
    }
}
