package grebewick.discovery.transfer;

import grebewick.core.TokenBucket;

/**
 * A retry budget: a token bucket that each poll fills by a part of a token and each retry empties by one. Where all replicas
 * are slow, retries then add a fixed share to the load and not a multiple of it. A few are given whatever the polls, for
 * clients with few zones.
 */
final class RetryBudget {
    /** Retries that each poll allows, on the average. */
    static final double PER_POLL = 0.2;
    /** Retries a second that are allowed besides. */
    static final double PER_SECOND = 0.25;
    /** Retries at once, at the least. */
    private static final int LEAST_BURST = 10;
    /**
     * Retries at once for each zone: when a replica dies, half of the polls of a timeout may be lost, and at a start, when all
     * zones are polled within a second, half of the zones.
     */
    private static final double BURST_PER_ZONE = 0.5;

    private final TokenBucket tokens;

    /** A full budget for a client of that many zones. */
    RetryBudget(int zones) {
        tokens = new TokenBucket(Math.max(LEAST_BURST, zones * BURST_PER_ZONE), PER_SECOND);
    }

    /** A poll is sent that is no retry. */
    void polled(long nowUs) {
        tokens.deposit(PER_POLL, nowUs);
    }

    /** Takes a retry; false: there is none, and nothing is taken. */
    boolean take(long nowUs) {
        return tokens.tryTake(1, nowUs);
    }
}
