package grebewick.discovery.transfer;

import java.util.random.RandomGenerator;

/**
 * When zones are polled. The interval grows with their number, so that polls that find nothing new keep the budget by
 * themselves; a bucket holds back what retries and changes take beyond.
 */
public final class PollSchedule {
    /** Bytes of a query and its answer at the most while nothing is new, with the headers of IPv4 and UDP. */
    public static final int POLL_BYTES = 256;
    private static final long US_PER_S = 1_000_000;
    /** Each wait is drawn evenly from this part more or less than the interval. */
    private static final double JITTER = 0.2;

    private final long intervalUs;
    private final RandomGenerator random;

    /**
     * A schedule of that many zones.
     *
     * @param leastUs the interval while the budget allows it
     */
    public PollSchedule(int zones, long leastUs, long bytesPerSecond, RandomGenerator random) {
        // The shortest waits, too, keep the budget on the average of a few polls: the jitter is even on both sides.
        intervalUs = Math.max(leastUs, zones * POLL_BYTES * US_PER_S / bytesPerSecond);
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

    /** us. When to poll again a zone that was polled now. */
    public long nextUs(long nowUs) {
        return nowUs + (long) (intervalUs * (1 - JITTER + 2 * JITTER * random.nextDouble()));
    }
}
