package grebewick.diameter;

import static grebewick.diameter.DiameterMessage.*;

import grebewick.core.Clock;
import grebewick.core.EventLog;
import grebewick.core.EventLog.Event;
import grebewick.core.Timers;
import grebewick.teardown.Abandonment;
import grebewick.teardown.RetryPolicy;
import grebewick.teardown.TeardownRoutes;
import grebewick.teardown.TeardownSender;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongConsumer;

/**
 * Ends of sessions that clients are to be told by ASR (RFC 6733, section 8.5), each its own client alone, on any of its
 * connections. A client that is away is told when it is back.
 */
final class ClientTeardowns {
    /** us. For how long an end waits for its client, and for its client's answer. */
    static final long KEPT_US = 60_000_000;
    private static final int MAX_TEARDOWNS = 10_000;
    private static final long SWEEP_US = 1_000_000;

    /** The end of one session; {@code result} takes what becomes of it, as a result code for who has ended it. */
    static final class End {
        final String session;
        /** Its client's identity; empty where it is not known which client has the session. */
        final String client;
        private final LongConsumer result;

        private End(String session, String client, LongConsumer result) {
            this.session = session;
            this.client = client;
            this.result = result;
        }

        private boolean mayBeToldBy(String peer) {
            return client.isEmpty() || client.equalsIgnoreCase(peer);
        }
    }

    private final Identity me;
    private final Set<Connection> connections;
    private final EventLog eventLog;
    private final Runnable settled;
    private final TeardownSender<End, DiameterMessage, Connection> teardowns;
    /** By client: ends that it has not confirmed yet. */
    private final Map<String, Integer> untold = new HashMap<>();
    private int nextEndToEnd;

    /**
     * Nothing is to be told yet.
     *
     * @param connections all with clients, as they come and go
     * @param settled is run as an end is confirmed or given up
     */
    ClientTeardowns(Identity me, Set<Connection> connections, Clock clock, Timers timers, EventLog eventLog,
                    Runnable settled) {
        this.me = me;
        this.connections = connections;
        this.eventLog = eventLog;
        this.settled = settled;
        nextEndToEnd = (int) (clock.nowUs() >> 4);
        teardowns = new TeardownSender<>(new RetryPolicy(KEPT_US, 1, KEPT_US, KEPT_US, MAX_TEARDOWNS), new ToClients(), clock,
            timers, SWEEP_US);
        teardowns.start();
    }

    /** A session is over: its client is told, on the latest of its connections. */
    End abort(String session, String client, String realm, LongConsumer result) {
        End end = new End(session, client, result);
        List<Avp> avps = new ArrayList<>();
        avps.add(Avp.text(Avp.SESSION_ID, session));
        avps.addAll(me.origin());
        avps.add(Avp.text(Avp.DESTINATION_REALM, realm));
        avps.add(Avp.text(Avp.DESTINATION_HOST, client));
        avps.add(Avp.unsigned(Avp.AUTH_APPLICATION_ID, NASREQ));
        untold.merge(client, 1, Integer::sum);
        teardowns.owe(end, new DiameterMessage(REQUEST | PROXIABLE, ABORT_SESSION, NASREQ, 0, nextEndToEnd++, avps), null);
        return end;
    }

    /** Its client has confirmed it, or said so itself. */
    void told(End end) {
        if (teardowns.told(end)) {
            settle(end, SUCCESS);
        }
    }

    private void settle(End end, long result) {
        untold.computeIfPresent(end.client, (client, ends) -> ends > 1 ? ends - 1 : null);
        end.result.accept(result);
        settled.run();
    }

    /** Whether a client has ends to be told of. */
    boolean owes(String client) {
        return untold.containsKey(client);
    }

    /** Whether an end is yet to be told or confirmed. */
    boolean isPending(End end) {
        return teardowns.owes(end);
    }

    /** What its client has not confirmed on an earlier connection is told on this one: it may have lost that without a word. */
    void opened(Connection on) {
        teardowns.found(on);
        connections.stream().filter(earlier -> earlier != on && earlier.peer().equals(on.peer())).forEach(teardowns::lost);
    }

    void lost(Connection on) {
        teardowns.lost(on);
    }

    /** Ends that are still to be told or confirmed. */
    int pending() {
        return teardowns.counts().unsent() + teardowns.counts().spent();
    }

    private final class ToClients implements TeardownRoutes<End, DiameterMessage, Connection> {
        @Override
        public Connection best(End end, Connection but) {
            Connection latest = null;
            for (Connection c : connections) {
                latest = c != but && c.isOpen() && end.mayBeToldBy(c.peer()) ? c : latest;
            }
            return latest;
        }

        @Override
        public int rank(Connection way) {
            return way.isOpen() ? 0 : -1;
        }

        @Override
        public void write(End end, DiameterMessage asr, Connection way, boolean again) {
            way.request(again ? asr.with(asr.flags() | RETRANSMITTED, 0, asr.avps()) : asr, asa -> answered(end, way, asa));
        }

        /** A client's answer settles it, whatever it says: a session that it does not know is over too. */
        private void answered(End end, Connection way, DiameterMessage asa) {
            if (asa != null && end.client.isEmpty() && asa.result() != SUCCESS) {
                teardowns.denied(end, way);
            } else if (asa != null) {
                told(end);
            }
        }

        @Override
        public void abandoned(End end, Abandonment why, int tries) {
            eventLog.write(Event.TEARDOWN_ABANDONED, () -> "session=" + end.session + " reason=" + why + " tries=" + tries
                + " client=" + end.client);
            settle(end, DiameterException.UNABLE_TO_DELIVER);
        }
    }
}
