package grebewick.sip;

import grebewick.config.Address;
import grebewick.core.CallControl.Settings;
import grebewick.core.Clock;
import grebewick.core.Ending;
import grebewick.core.EventLog;
import grebewick.core.Gatekeeper;
import grebewick.core.LimitedLog;
import grebewick.core.Timers;
import grebewick.teardown.TeardownCounts;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetServer;
import java.util.function.Consumer;
import java.util.function.LongPredicate;

/** The callers' side over SIP (RFC 3261): each call is a session from its INVITE to its BYE. */
public final class SipFront {
    /** Part of the descriptors that callers' connections may take: the usual ones take a third at the most. */
    private static final double CALLERS_PART = 0.5;
    /** Complaints that are logged before only some are. */
    private static final int MOST_COMPLAINTS = 20;

    private final CallerLines lines;
    private final CallerListener listener;
    private final CallerRequests requests;
    private final CallerTeardowns teardowns;

    /** Makes the front of a core; {@code sockets} are the descriptors that the process may have. */
    public SipFront(Vertx vertx, Settings set, int sockets, Gatekeeper<byte[]> core, Clock clock, Timers timers,
                    Consumer<String> log) {
        LimitedLog complaints = new LimitedLog(log, "sip: ", MOST_COMPLAINTS);
        lines = new CallerLines(mostLines(sockets), new EventLog(log, clock));
        teardowns = new CallerTeardowns(lines, clock, timers);
        requests = new CallerRequests(set, core, teardowns, clock, timers, complaints);
        listener = new CallerListener(vertx, lines, requests, clock, timers, complaints);
    }

    /** How many connections from callers are held with so many descriptors. */
    public static int mostLines(int sockets) {
        return (int) (sockets * CALLERS_PART);
    }

    /** Listens; ready once the result is there. */
    public Future<NetServer> listen(Address address) {
        Future<NetServer> listening = listener.listen(address);
        teardowns.start();
        return listening;
    }

    /** Closes the listener and all connections. */
    public Future<Void> close() {
        return listener.close();
    }

    /** Who may know a call that has no session here; says whether its release was passed on. */
    public void onCallOfFormerProcess(LongPredicate told) {
        requests.onCallOfFormerProcess(told);
    }

    /** A call that stood before this process started is over. */
    public void releaseCallOfFormerProcess(long id, Ending ending) {
        teardowns.release(id, String.format("%016x", id), ending, null);
    }

    /** From now on tests fail, so that callers go elsewhere; calls are still taken. */
    public void failTests() {
        requests.failTests();
    }

    /** From now on calls are refused. */
    public void refuseCalls() {
        requests.refuseCalls();
    }

    /** BYEs that are owed, and what became of those before. */
    public TeardownCounts pendingTeardowns() {
        return teardowns.counts();
    }

    /** Bytes that callers were sent and the network has not taken. */
    public long unwritten() {
        return lines.unwritten();
    }

    /** Messages from callers since the start. */
    public long taken() {
        return listener.taken();
    }
}
