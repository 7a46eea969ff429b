package grebewick.discovery.transfer;

import java.util.random.RandomGenerator;

/** Exponential backoff with full jitter: a wait drawn evenly from nothing to a bound that doubles with each failure. */
final class Backoff {
    private static final int MOST_DOUBLINGS = 20;

    private final long baseUs;
    private final long capUs;
    private final RandomGenerator random;

    /** us. The bound after the first failure, and the largest. */
    Backoff(long baseUs, long capUs, RandomGenerator random) {
        this.baseUs = baseUs;
        this.capUs = capUs;
        this.random = random;
    }

    /** us. How long to wait after that many failures in a row. */
    long delayUs(int failures) {
        long bound = Math.min(capUs, baseUs << Math.min(failures - 1, MOST_DOUBLINGS));
        return random.nextLong(bound + 1);
    }
}
