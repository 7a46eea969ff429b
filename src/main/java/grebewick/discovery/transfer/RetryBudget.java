package grebewick.discovery.transfer;

/**
 * A retry budget: a token bucket that each poll fills by a part of a token and each retry empties by one. Where all replicas
 * are slow, retries then add a fixed share to the load and not a multiple of it. A few retries a second are given whatever the
 * polls, for clients with few zones.
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
    private static final double US_PER_S = 1_000_000;

    private final double burst;
    private double tokens;
    private long filledUs;

    /** A full budget for a client of that many zones. */
    RetryBudget(int zones, long nowUs) {
        burst = Math.max(LEAST_BURST, zones * BURST_PER_ZONE);
        tokens = burst;
        filledUs = nowUs;
    }

    /** Retries at once after a pause. */
    double burst() {
        return burst;
    }

    /** A poll was sent that is no retry. */
    void polled() {
        tokens = Math.min(burst, tokens + PER_POLL);
    }

    /** Takes a retry; false: there is none, and nothing is taken. */
    boolean take(long nowUs) {
        tokens = Math.min(burst, tokens + Math.max(0, nowUs - filledUs) * PER_SECOND / US_PER_S);
        filledUs = Math.max(filledUs, nowUs);
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }
}
