package grebewick.sip;

import grebewick.core.Clock;
import grebewick.core.Ending;
import grebewick.core.Timers;
import grebewick.sip.SipMessage.Header;
import grebewick.teardown.RetryPolicy;
import grebewick.teardown.TeardownCounts;
import grebewick.teardown.TeardownSender;

/** Ends of calls that callers are to be told by BYE (RFC 3261, section 15), on whichever connection one is heard. */
final class CallerTeardowns {
    /**
     * BYEs without an answer: again elsewhere after 0.3 s, three times at most; what was written has arrived within
     * 5 s or never will; one waits for a connection from callers for 60 s.
     */
    private static final RetryPolicy POLICY = new RetryPolicy(300_000, 3, 5_000_000, 60_000_000, 20_000);
    private static final long SWEEP_US = 250_000;
    /** Causes of Q.850 in the Reason header (RFC 3326). */
    private static final int NORMAL_CLEARING = 16;
    private static final int TEMPORARY_FAILURE = 41;
    /** Status codes of SIP from which an answer is a success, and no success any more. */
    private static final int SUCCESS = 200;
    private static final int REDIRECTION = 300;

    private final TeardownSender<Long, SipMessage, CallerLine> byes;

    CallerTeardowns(CallerLines lines, Clock clock, Timers timers) {
        byes = new TeardownSender<>(POLICY, lines, clock, timers, SWEEP_US);
    }

    void start() {
        byes.start();
    }

    /** A call is over; its caller is told on {@code first} if that is still there (null: anywhere). */
    void release(long call, String callId, Ending ending, CallerLine first) {
        int cause = ending == Ending.CUT ? TEMPORARY_FAILURE : NORMAL_CLEARING;
        byes.owe(call, SipMessage.request("BYE", "sip:peer@net", new Header("Via", "SIP/2.0/TCP gatekeeper"),
            new Header("Call-ID", callId), new Header("CSeq", "1 BYE"), new Header("Reason", "Q.850;cause=" + cause)), first);
    }

    /** Guards against a BYE that went to a stranger: it is not over before a caller has said that it knows the call. */
    void answered(CallerLine on, SipMessage answer) {
        if (answer.status() >= REDIRECTION) {
            byes.denied(answer.callNumber(), on);
        } else if (answer.status() >= SUCCESS) {
            byes.told(answer.callNumber());
        }
    }

    /** A connection on which a caller is likelier than before. */
    void found(CallerLine line) {
        byes.found(line);
    }

    /** Guards against a BYE lost in a connection that its caller was just closing. */
    void lost(CallerLine line) {
        byes.lost(line);
    }

    /** Some of what waits, before something new is taken. */
    void first() {
        byes.first();
    }

    /** What is pending, and what became of those before. */
    TeardownCounts counts() {
        return byes.counts();
    }
}
