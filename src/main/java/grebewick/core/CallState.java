package grebewick.core;

/** The state of one call: it waits, has an attempt open, or stands. Times are microseconds of the core's clock. */
final class CallState<P> {
    final long id;
    /** Without its description once the call stands. */
    Offer<P> offer;
    final Callers<P> caller;
    /** By when the caller has its answer. */
    final long dropDeadUs;
    /** Attempts so far. */
    int copies;
    /** Of them, those that did not leave, as their server's readiness had run out: no server counts them. */
    int takenBack;
    /** Null: none is open. */
    OpenAttempt attempt;
    boolean answered;
    /** Its caller's connection is lost; it has an attempt open, and no other may follow. */
    boolean isDetached;
    /** Why it can't stand any more, and is yet to be ended; null: it can. */
    Interruption interruption;
    /** An attempt ended in a way that does not prove that it never ran. */
    boolean mayHaveRun;
    /** Null: it does not stand. */
    String standsAt;
    long stoodUs;
    /** No attempt may begin before: the server of the one before may still release it. */
    long notBeforeUs = Long.MIN_VALUE;
    /** No attempt may leave before: the server of the one before has heard late that it was given up. */
    long heldUntilUs = Long.MIN_VALUE;

    CallState(long id, Offer<P> offer, Callers<P> caller, long dropDeadUs) {
        this.id = id;
        this.offer = offer;
        this.caller = caller;
        this.dropDeadUs = dropDeadUs;
    }

    /** Whether that attempt is the one that is open. */
    boolean hasOpen(int copy) {
        return attempt != null && attempt.copy == copy;
    }

    /** Whether the servers' side has, or may have, run it. */
    boolean isMaybeRunning() {
        return mayHaveRun || attempt != null && attempt.left;
    }
}
