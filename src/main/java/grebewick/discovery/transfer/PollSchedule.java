package grebewick.discovery.transfer;

import java.util.random.RandomGenerator;

/**
 * When zones are polled. The interval grows with their number, so that polls that find nothing new keep the budget by
 * themselves; a bucket holds back what retries and changes take beyond. Few zones that are held are polled more often than
 * usual: the younger their leases are, the later a silence is felt.
 */
public final class PollSchedule {
    /** Bytes of a query and its answer at the most while nothing is new, with the headers of IPv4 and UDP. */
    public static final int POLL_BYTES = 256;
    private static final long US_PER_S = 1_000_000;
    /** us. Between two polls of a zone while there are few. */
    private static final long FEW_ZONES_US = 500_000;
    /** Polls a second, of all zones together, up to which they are few. */
    private static final long FEW_POLLS_PER_S = 8;
    /** Each wait is drawn evenly from this part more or less than the interval. */
    private static final double JITTER = 0.2;

    private final long intervalUs;
    private final long heldIntervalUs;
    private final RandomGenerator random;

    /**
     * A schedule of that many zones.
     *
     * @param usualUs the interval while the budget allows it and the zones are not few
     */
    public PollSchedule(int zones, long usualUs, long bytesPerSecond, RandomGenerator random) {
        // The shortest waits, too, keep the budget on the average of a few polls: the jitter is even on both sides.
        long budgetUs = zones * POLL_BYTES * US_PER_S / bytesPerSecond;
        long fewUs = Math.max(FEW_ZONES_US, zones * US_PER_S / FEW_POLLS_PER_S);
        intervalUs = Math.max(usualUs, budgetUs);
        heldIntervalUs = Math.max(Math.min(usualUs, fewUs), budgetUs);
        this.random = random;
    }

    /** us. Between two polls of a zone, on the average. */
    public long intervalUs() {
        return intervalUs;
    }

    /** us. The longest wait between two polls of a zone. */
    public long longestUs() {
        return (long) (intervalUs * (1 + JITTER));
    }

    /** us. A moment for the first poll: drawn evenly, so that zones and clients that start together are spread. */
    public long firstUs(long nowUs, long spreadUs) {
        return nowUs + random.nextLong(Math.max(1, spreadUs));
    }

    /** us. Between two polls of a zone that is held, on the average. */
    public long heldIntervalUs() {
        return heldIntervalUs;
    }

    /** us. When to poll again a zone that was polled now. */
    public long nextUs(long nowUs, boolean isHeld) {
        long usUntilNext = isHeld ? heldIntervalUs : intervalUs;
        return nowUs + (long) (usUntilNext * (1 - JITTER + 2 * JITTER * random.nextDouble()));
    }
}
