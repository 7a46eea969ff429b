package grebewick.core;

/** An attempt of a call that was chosen and has not ended. Times are microseconds of the core's clock. */
final class OpenAttempt {
    final long call;
    /** Its number among the attempts of its call, from 0. */
    final int copy;
    final String server;
    /** For how long its server may take. */
    private final long patienceUs;
    /** From when its server's time counts. */
    long chosenUs;
    /** When it is given up. */
    long endUs;
    /** It is held back until the attempt before it is over at its server. */
    boolean isHeld;
    /** The servers' side has it. */
    boolean left;

    OpenAttempt(long call, int copy, String server, long chosenUs, long patienceUs) {
        this.call = call;
        this.copy = copy;
        this.server = server;
        this.patienceUs = patienceUs;
        this.chosenUs = chosenUs;
        endUs = chosenUs + patienceUs;
    }

    /** It is not to leave yet; {@code callEndUs}: when its call has its answer whatever happens. */
    void hold(long callEndUs) {
        isHeld = true;
        endUs = callEndUs;
    }

    /** It may leave: its server's time begins only now. */
    void resume(long nowUs, long callEndUs) {
        isHeld = false;
        chosenUs = nowUs;
        endUs = Math.min(nowUs + patienceUs, callEndUs);
    }
}
