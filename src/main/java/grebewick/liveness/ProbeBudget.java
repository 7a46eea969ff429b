package grebewick.liveness;

/**
 * How many probes may be sent before they are due, where each has a price. A deployment states the price of a probe for each
 * first try of a call; first tries earn probes, so that the price of all stays a small share of what calls are worth. Probes
 * that are due are sent in any case, and leave a debt.
 */
public final class ProbeBudget {
    /** Of the worth of all calls, what early probes may cost. */
    static final double SHARE = 0.004;
    /** Probes that can be saved up. */
    static final double MOST = 20;

    private final double perFirstTry;
    private double probes;

    /** {@code fee}: price of one probe for each first try, as a share of a call's worth; 0: none. */
    public ProbeBudget(double fee) {
        perFirstTry = fee > 0 ? SHARE / fee : Double.POSITIVE_INFINITY;
        probes = fee > 0 ? 0 : Double.POSITIVE_INFINITY;
    }

    /** A call was sent on for the first time. */
    public void firstTry() {
        probes = Math.min(Math.max(MOST, perFirstTry), probes + perFirstTry);
    }

    /** Takes one that is not due yet; false: there is none. */
    boolean tryTake() {
        if (probes < 1) {
            return false;
        }
        probes--;
        return true;
    }

    /** One that was due is sent. */
    void spend() {
        probes = Math.max(-MOST, probes - 1);
    }
}
