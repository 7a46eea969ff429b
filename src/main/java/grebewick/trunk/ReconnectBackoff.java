package grebewick.trunk;

import java.util.random.RandomGenerator;

/**
 * When one server may be connected to again: at once after a connection that was stable and after a few early ends in a
 * row, else after a delay that doubles with each failure, up to a bound; the upper half of it is at random ("equal jitter").
 *
 * <p>What was heard on a connection does not matter: a server that accepts connections and resets them is as unreachable
 * as one that refuses them, and it sends its state on each new one.
 *
 * <p>Decisions only: the time is handed in, in microseconds of one monotonic clock, and so is the source of randomness.
 */
final class ReconnectBackoff {
    private final int freeEnds;
    private final long firstUs;
    private final long longestUs;
    private final long stableUs;
    private final RandomGenerator random;
    private int earlyEnds;
    private int failures;
    private long notBeforeUs = Long.MIN_VALUE;

    /**
     * Delays from {@code firstUs} to {@code longestUs}, none after a connection that lived for {@code stableUs}, nor after
     * {@code freeEnds} that did not: all connections with a server may end together. Times in microseconds.
     */
    ReconnectBackoff(int freeEnds, long firstUs, long longestUs, long stableUs, RandomGenerator random) {
        if (freeEnds < 0 || firstUs < 2 || longestUs < firstUs || stableUs <= 0) {
            throw new IllegalArgumentException("a backoff that cannot work");
        }
        this.freeEnds = freeEnds;
        this.firstUs = firstUs;
        this.longestUs = longestUs;
        this.stableUs = stableUs;
        this.random = random;
    }

    /** No connection came up. */
    void failed(long nowUs) {
        failures++;
        notBeforeUs = nowUs + delayUs();
    }

    /** A connection that came up at {@code sinceUs} has ended. */
    void ended(long sinceUs, long nowUs) {
        if (nowUs - sinceUs < stableUs) {
            earlyEnds++;
            if (earlyEnds > freeEnds) {
                failed(nowUs);
            }
        } else if (waitUs(nowUs) == 0) {
            // Else a later failure is being waited out, and tells more than the end of an older connection.
            reset();
        }
    }

    /** The server has started anew or moved: what ended before says nothing of it. */
    void reset() {
        earlyEnds = 0;
        failures = 0;
        notBeforeUs = Long.MIN_VALUE;
    }

    /** How long until the next try, in microseconds; 0: now. */
    long waitUs(long nowUs) {
        return notBeforeUs > nowUs ? notBeforeUs - nowUs : 0;
    }

    /** Failures in a row, early ends beyond the free ones among them. */
    int failures() {
        return failures;
    }

    private long delayUs() {
        long delayUs = firstUs;
        for (int i = 1; i < failures && delayUs < longestUs; i++) {
            delayUs *= 2;
        }
        delayUs = Math.min(delayUs, longestUs);
        return delayUs / 2 + random.nextLong(delayUs / 2 + 1);
    }
}
