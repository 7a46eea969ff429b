package grebewick.core;

/** An attempt of a call that was chosen and has not ended. Times are microseconds of the core's clock. */
final class OpenAttempt {
    final long call;
    /** Its number among the attempts of its call, from 0. */
    final int copy;
    final String server;
    final long chosenUs;
    /** When it is given up. */
    final long endUs;
    /** The servers' side has it. */
    boolean left;

    OpenAttempt(long call, int copy, String server, long chosenUs, long endUs) {
        this.call = call;
        this.copy = copy;
        this.server = server;
        this.chosenUs = chosenUs;
        this.endUs = endUs;
    }
}
