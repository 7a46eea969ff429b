package grebewick.core;

/**
 * A token bucket: it holds at most its capacity and is refilled evenly. A token is whatever its owner counts: a query, a
 * connection, a byte. In any span of time it gives at most its capacity, its rate times the span, what is
 * deposited, and one amount above the capacity, besides what is spent into a debt.
 *
 * <p>Times are microseconds of one monotonic clock, handed in; a time before an earlier one refills nothing. Not thread safe.
 */
public final class TokenBucket {
    private static final double US_PER_S = 1_000_000;

    private final double capacity;
    private final double perSecond;
    private double tokens;
    private long refilledUs = Long.MIN_VALUE;

    /**
     * A full bucket.
     *
     * @param capacity tokens that may be taken at once after a pause, 1 at least
     * @param perSecond tokens gained in a second
     */
    public TokenBucket(double capacity, double perSecond) {
        if (capacity < 1 || perSecond <= 0) {
            throw new IllegalArgumentException("a bucket that never has a token");
        }
        this.capacity = capacity;
        this.perSecond = perSecond;
        tokens = capacity;
    }

    /** Tokens that are there; below 0: a debt. */
    public double tokens(long nowUs) {
        refill(nowUs);
        return tokens;
    }

    /**
     * How long until an amount is there, in microseconds; 0: it is there now. An amount above the capacity is there when the
     * bucket is full.
     */
    public long waitUs(double amount, long nowUs) {
        double missing = Math.min(amount, capacity) - tokens(nowUs);
        return missing <= 0 ? 0 : (long) Math.ceil(missing / perSecond * US_PER_S);
    }

    /** Takes an amount and gives true; false: it is not there, and nothing is taken. */
    public boolean tryTake(double amount, long nowUs) {
        if (waitUs(amount, nowUs) > 0) {
            return false;
        }
        tokens -= amount;
        return true;
    }

    /**
     * Takes an amount that is known to be there.
     *
     * @throws IllegalStateException if it is not there; nothing is taken
     */
    public void take(double amount, long nowUs) {
        if (!tryTake(amount, nowUs)) {
            throw new IllegalStateException("fewer tokens than " + amount);
        }
    }

    /** Takes an amount whether it is there or not; what is missing is a debt, which is paid before anything is there again. */
    public void spend(double amount, long nowUs) {
        refill(nowUs);
        tokens -= amount;
    }

    /** Puts tokens in, up to the capacity, besides those gained by time. */
    public void deposit(double amount, long nowUs) {
        refill(nowUs);
        tokens = Math.min(capacity, tokens + amount);
    }

    private void refill(long nowUs) {
        if (refilledUs == Long.MIN_VALUE) {
            refilledUs = nowUs;
        }
        if (nowUs > refilledUs) {
            tokens = Math.min(capacity, tokens + perSecond * (nowUs - refilledUs) / US_PER_S);
            refilledUs = nowUs;
        }
    }
}
