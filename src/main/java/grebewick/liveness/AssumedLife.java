package grebewick.liveness;

/**
 * Evidence of a process whose server may not be tested: its address can be reached, and the process keeps its old connections
 * though they are written to. Another process at the address would reset what it does not know; until there was time for
 * that, such evidence is assumed, and a reset takes it back. Times in microseconds; 0 stands for never.
 */
final class AssumedLife {
    private long lastUs;
    /** The first time that the address was reached since something was proven. */
    private long firstUs;
    /** The first time after {@link #firstUs} that the connections were written to. */
    private long challengedUs;
    /** The last time that it was reached, with no long gap since it was proven to be alive. */
    private long unbrokenUs;

    /** When the address was last reached. */
    long lastUs() {
        return lastUs;
    }

    /** When it was last reached without a gap in which another process could have taken the address. */
    long unbrokenUs() {
        return unbrokenUs;
    }

    /** The connections are written to. */
    void challenged(long nowUs) {
        if (firstUs > 0 && challengedUs == 0) {
            challengedUs = nowUs;
        }
    }

    /**
     * The address was reached. Gives a time at which the process is now proven to have been alive; 0: nothing is proven anew.
     *
     * @param heardUs when it is known to have been alive
     */
    long reached(long nowUs, long heardUs, LeaseTimes times) {
        lastUs = nowUs;
        if (nowUs - Math.max(heardUs, unbrokenUs) <= times.freshUs()) {
            unbrokenUs = nowUs;
        }
        long provenUs = 0;
        if (challengedUs > 0 && nowUs - challengedUs >= times.resetWithinUs()) {
            provenUs = firstUs;
            firstUs = 0;
            challengedUs = 0;
        }
        firstUs = firstUs == 0 ? nowUs : firstUs;
        return provenUs;
    }

    /** All of it is taken back. */
    void clear() {
        lastUs = 0;
        firstUs = 0;
        challengedUs = 0;
        unbrokenUs = 0;
    }
}
