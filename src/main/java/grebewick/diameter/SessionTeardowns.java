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
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** Ends of sessions that servers are to be told, each its own server alone, by STR (RFC 6733, section 8.4.1). */
final class SessionTeardowns {
    /** Why a session ends: values of Termination-Cause (RFC 6733, section 8.15). */
    enum Cause {
        /** The client has ended it. */
        LOGOUT(1),
        /** Its request was given up before its answer came. */
        SERVICE_NOT_PROVIDED(2), ADMINISTRATIVE(4);

        private final int code;

        Cause(int code) {
            this.code = code;
        }
    }

    /** Who is told what becomes of them. */
    interface Listener {
        /** Its server has answered the STR. */
        void answered(ServerSession session, long result);

        /** It is forgotten, and its server has not answered. */
        void abandoned(ServerSession session);
    }

    /**
     * STRs wait for their peer for 10 min; without an answer on an open connection they are not repeated, but told lost
     * with it.
     */
    private static final long WAIT_US = 600_000_000;
    private static final int MAX_TEARDOWNS = 10_000;
    private static final RetryPolicy POLICY = new RetryPolicy(WAIT_US, 1, WAIT_US, WAIT_US, MAX_TEARDOWNS);
    private static final long SWEEP_US = 1_000_000;

    private final Identity me;
    private final EventLog eventLog;
    private final TeardownSender<ServerSession, DiameterMessage, Connection> teardowns;
    private final Listener listener;
    /** Ends that a server may have heard of before it opened the session: they are to be told again. */
    private final Set<ServerSession> openedSince = new HashSet<>();
    private int nextEndToEnd;

    /** Nothing is to be told yet. */
    SessionTeardowns(Identity me, Clock clock, Timers timers, EventLog eventLog, Listener listener) {
        this.me = me;
        this.eventLog = eventLog;
        this.listener = listener;
        nextEndToEnd = (int) clock.nowUs();
        teardowns = new TeardownSender<>(POLICY, new ToPeers(), clock, timers, SWEEP_US);
    }

    void start() {
        teardowns.start();
    }

    /** Sessions whose ends their servers are still to be told. */
    int pending() {
        return teardowns.counts().unsent() + teardowns.counts().spent();
    }

    /** Whether the STR of a session has left, as far as it is to be told at all. */
    boolean isTold(ServerSession session) {
        return !teardowns.isUnwritten(session);
    }

    /** The session stands at its server: what is left to tell of an earlier request for it would end it. */
    void forget(ServerSession session) {
        openedSince.removeIf(session::isSameAs);
        teardowns.forgetIf(session::isSameAs);
    }

    /** Ends a session that its server has opened though it may have heard of its end before. */
    void terminateOpened(ServerSession session, Cause cause) {
        if (teardowns.owes(session)) {
            openedSince.add(session);
        } else {
            terminate(session, cause);
        }
    }

    /** Ends a session at its server, now or once the server is back. */
    void terminate(ServerSession session, Cause cause) {
        List<Avp> avps = new ArrayList<>();
        avps.add(Avp.text(Avp.SESSION_ID, session.id));
        avps.addAll(me.origin());
        avps.add(Avp.text(Avp.DESTINATION_REALM, me.realm()));
        avps.add(Avp.text(Avp.DESTINATION_HOST, session.at.host()));
        avps.add(Avp.unsigned(Avp.AUTH_APPLICATION_ID, NASREQ));
        avps.add(Avp.unsigned(Avp.TERMINATION_CAUSE, cause.code));
        teardowns.owe(session,
            new DiameterMessage(REQUEST | PROXIABLE, SESSION_TERMINATION, NASREQ, 0, nextEndToEnd++, avps), null);
    }

    /** A connection to a server can be written to. */
    void opened(Connection on) {
        teardowns.found(on);
    }

    /** A connection to a server has ended. */
    void lost(Connection on) {
        teardowns.lost(on);
    }

    /** A session is known to be over, wherever it stood. */
    void forgetAll(String sessionId) {
        openedSince.removeIf(session -> session.id.equals(sessionId));
        teardowns.forgetIf(session -> session.id.equals(sessionId));
    }

    /** A server has lost its sessions: there is nothing left to end. */
    void forgetAllAt(ServerPeer server) {
        openedSince.removeIf(ended -> ended.at == server);
        teardowns.forgetIf(ended -> ended.at == server);
    }

    /** A server has answered an STR: whatever it says, it has no such session now. */
    private void answered(ServerSession session, DiameterMessage answer) {
        teardowns.told(session);
        listener.answered(session, answer.result());
        if (openedSince.remove(session) && answer.result() != SUCCESS) {
            terminate(session, Cause.ADMINISTRATIVE);
        }
    }

    /** A session's end is told to its own server alone. */
    private final class ToPeers implements TeardownRoutes<ServerSession, DiameterMessage, Connection> {
        @Override
        public Connection best(ServerSession key, Connection but) {
            return key.at.isOpen() && key.at.connection() != but ? key.at.connection() : null;
        }

        @Override
        public int rank(Connection way) {
            return way.isOpen() ? 0 : -1;
        }

        @Override
        public void write(ServerSession key, DiameterMessage str, Connection way, boolean again) {
            // Its answer settles it, whatever it says: a session that is not known is ended too.
            way.request(again ? str.with(str.flags() | RETRANSMITTED, 0, str.avps()) : str, answer -> {
                if (answer != null) {
                    answered(key, answer);
                }
            });
        }

        @Override
        public void abandoned(ServerSession key, Abandonment why, int tries) {
            openedSince.remove(key);
            listener.abandoned(key);
            eventLog.write(Event.TEARDOWN_ABANDONED,
                () -> "session=" + key.id + " reason=" + why + " tries=" + tries + " server=" + key.at.host());
        }
    }
}
