package grebewick.diameter;

import java.util.random.RandomGenerator;

/**
 * When a server is connected to again: soon while it has been away for a short time, as sessions may stand there whose ends are
 * to be told, then after a fixed delay. Times are microseconds of one monotonic clock, handed in, and so is the source of
 * randomness.
 */
final class ReconnectDelays {
    /** us. A connection that was open for so long was of use. */
    static final long STABLE_US = 1_000_000;
    /** us. The first delay, at the most; each failure doubles it. */
    static final long FIRST_US = 100_000;
    /** us. The longest of these: a server that is back tells ends that are to be passed on within 8 s. */
    static final long LONGEST_US = 2_000_000;
    /** us. After so long an absence the fixed delay holds: an end is not kept for longer. */
    static final long SOON_FOR_US = 60_000_000;

    private final long fixedUs;
    private final RandomGenerator random;
    private long soonUntilUs;
    private long nextUs = FIRST_US;

    /** {@code fixedUs}: the delay for a server that has been away for long, or has asked this side to leave. */
    ReconnectDelays(long fixedUs, RandomGenerator random, long nowUs) {
        this.fixedUs = fixedUs;
        this.random = random;
        soonUntilUs = nowUs + SOON_FOR_US;
    }

    /** No connection came up. */
    long afterFailure(long nowUs) {
        if (nowUs >= soonUntilUs) {
            return fixedUs;
        }
        long mostUs = nextUs;
        nextUs = Math.min(2 * nextUs, LONGEST_US);
        return Math.min(fixedUs, mostUs / 2 + random.nextLong(mostUs / 2 + 1));
    }

    /** The server has asked this side to leave, and the connection has ended. */
    long afterLeave(long nowUs) {
        nextUs = FIRST_US;
        soonUntilUs = nowUs;
        return fixedUs;
    }

    /** A connection that came up at {@code openedUs} has broken. */
    long afterBreak(long openedUs, long nowUs) {
        if (nowUs - openedUs < STABLE_US) {
            return afterFailure(nowUs);
        }
        nextUs = FIRST_US;
        soonUntilUs = nowUs + SOON_FOR_US;
        return Math.min(fixedUs, random.nextLong(FIRST_US));
    }
}
