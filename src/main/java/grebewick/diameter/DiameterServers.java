package grebewick.diameter;

import static grebewick.diameter.DiameterMessage.*;

import grebewick.core.CallControl.Fleet;
import grebewick.core.CallControl.Scope;
import grebewick.core.CallControl.ServerEntry;
import grebewick.core.CallControl.Stage;
import grebewick.core.CallControl.State;
import grebewick.core.Clock;
import grebewick.core.Ending;
import grebewick.core.Gatekeeper;
import grebewick.core.Offer;
import grebewick.core.Servers;
import grebewick.core.Timers;
import grebewick.teardown.RetryPolicy;
import grebewick.teardown.TeardownRoutes;
import grebewick.teardown.TeardownSender;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;

/** The authorising servers as Diameter peers: connections kept up, watchdogs, and the sessions at them. */
final class DiameterServers implements Servers<DiameterMessage> {
    private static final int LOGOUT = 1;
    private static final int ADMINISTRATIVE = 4;
    /**
     * STRs wait for their peer for 10 min; without an answer on an open connection they are not repeated, but told lost
     * with it.
     */
    private static final long TEARDOWN_US = 600_000_000;
    private static final int MAX_TEARDOWNS = 10_000;
    private static final long SWEEP_US = 1_000_000;

    private final DiameterConfig config;
    private final Identity me;
    private final Clock clock;
    private final Timers timers;
    private final NetClient client;
    private final Consumer<String> log;
    private final Map<String, Upstream> peers = new TreeMap<>();
    private final Map<Long, Leg> legs = new HashMap<>();
    private final Map<String, Leg> bySession = new HashMap<>();
    private final TeardownSender<EndedSession, DiameterMessage, Connection> teardowns;
    private Gatekeeper<DiameterMessage> core;
    private int nextEndToEnd;
    private boolean stopping;

    DiameterServers(Vertx vertx, DiameterConfig config, Identity me, Clock clock, Timers timers, Consumer<String> log) {
        this.config = config;
        this.me = me;
        this.clock = clock;
        this.timers = timers;
        this.log = log;
        this.nextEndToEnd = (int) clock.nowUs();
        teardowns = new TeardownSender<>(new RetryPolicy(TEARDOWN_US, 1, TEARDOWN_US, TEARDOWN_US, MAX_TEARDOWNS), new ToPeers(),
            clock, timers, SWEEP_US);
        client = vertx.createNetClient(new NetClientOptions().setTcpNoDelay(true)
            .setConnectTimeout((int) Math.max(1, config.settings().bounds().connectTimeoutUs() / 1000)));
    }

    /** Starts connecting; the core is told of the list at once and at each change. */
    void start(Gatekeeper<DiameterMessage> gatekeeper) {
        core = gatekeeper;
        config.peers().forEach(p -> peers.put(p.host(), new Upstream(p)));
        tell(Scope.PERSISTED, Map.of());
        peers.values().forEach(Upstream::connect);
        teardowns.start();
    }

    /** Sessions whose ends their servers are still to be told. */
    int pendingTeardowns() {
        return teardowns.counts().unsent() + teardowns.counts().spent();
    }

    /** Takes leave of every peer. */
    void stop() {
        stopping = true;
        peers.values().forEach(p -> {
            if (p.isOpen()) {
                p.connection.disconnect();
            }
        });
    }

    private void tell(Scope scope, Map<String, Long> dead) {
        List<ServerEntry> entries = new ArrayList<>();
        for (Upstream p : peers.values()) {
            boolean ready = p.watchdog.state() == Watchdog.State.OKAY && !p.draining;
            entries.add(new ServerEntry(p.peer.host(), p.peer.group(), ready ? Stage.HEALTHY : Stage.DRAINING,
                p.startedAtUs, "", p.peer.zone(), 1));
        }
        core.fleet(new Fleet(scope, 0, entries), dead);
    }

    // ---- from the core

    @Override
    public void setUp(long call, int copy, String server, Offer<DiameterMessage> offer, long waitUs) {
        Upstream to = peers.get(server);
        if (!to.isOpen() || to.connection.isStuck()) {
            // What a stuck connection holds could not be taken back if its client left.
            core.ended(call, copy, State.CONNECT_ERROR, 0, List.of());
            return;
        }
        DiameterMessage asked = offer.description();
        Leg leg = new Leg(call, copy, to, asked.text(Avp.SESSION_ID));
        legs.put(call, leg);
        bySession.put(leg.session, leg);
        List<Avp> avps = new ArrayList<>(asked.avps());
        avps.removeIf(a -> a.code() == Avp.DESTINATION_HOST && a.vendor() == 0);
        avps.add(Avp.text(Avp.DESTINATION_HOST, server));
        avps.add(Avp.text(Avp.ROUTE_RECORD, asked.text(Avp.ORIGIN_HOST)));
        int flags = asked.flags() | (copy > 0 ? RETRANSMITTED : 0);
        leg.on = to.connection;
        leg.on.request(asked.with(flags, 0, avps), answer -> answered(leg, answer), () -> leg.sent = true);
    }

    private void answered(Leg leg, DiameterMessage answer) {
        if (answer == null) {
            if (forget(leg)) {
                core.ended(leg.call, leg.copy, State.RESET_BY_PEER, 0, List.of());
            }
            return;
        }
        long result = answer.result();
        boolean waiting = legs.get(leg.call) == leg;
        if (result / 1000 == 2) {
            // Guards against sessions that are open for nobody: the answer came after the attempt was given up.
            if (!waiting || !core.stood(leg.call, leg.copy, answer, List.of())) {
                forget(leg);
                terminate(leg, ADMINISTRATIVE);
            }
            return;
        }
        if (!waiting) {
            return;
        }
        State state = state(result);
        if (state != null) {
            forget(leg);
            core.ended(leg.call, leg.copy, state, result == DiameterException.TOO_BUSY ? 3
                : result == DiameterException.RESOURCES_EXCEEDED ? 1 : 0, List.of());
        } else if (core.stood(leg.call, leg.copy, answer, List.of())) {
            // The server has decided against the session: its word is the answer, and there is nothing to end.
            forget(leg);
            core.over(leg.call, Ending.NORMAL, List.of());
        }
    }

    /** How an answer without a session ends the attempt; null where it is the server's own decision. */
    private static State state(long result) {
        return switch ((int) result) {
            case DiameterException.TOO_BUSY, DiameterException.RESOURCES_EXCEEDED -> State.QUEUE_FULL;
            case DiameterException.UNABLE_TO_DELIVER -> State.CONNECT_ERROR;
            case DiameterException.UNABLE_TO_COMPLY -> State.FAILED;
            default -> result / 1000 == 3 || result == 0 ? State.FAILED : null;
        };
    }

    @Override
    public void giveUp(long call, int copy, String server) {
        Leg leg = legs.get(call);
        if (leg != null) {
            forget(leg);
            if (!leg.sent) {
                // What is written while the same connection is read leaves when all of that is read.
                timers.afterInput(() -> takeBack(leg));
            }
        }
    }

    /**
     * Guards against a request that is sent on much later, when its peer takes bytes again: its client may have left. It
     * can't be taken back from its connection, nor those before it, but half a request is none.
     */
    private void takeBack(Leg leg) {
        if (!leg.sent && leg.on.isOpen() && leg.on.isStuck()) {
            log.accept(
                "diameter: " + leg.at.peer.host() + " did not take a request that was given up since; its connection is closed");
            leg.on.abort();
        }
    }

    @Override
    public void release(long call, String server) {
        Leg leg = legs.get(call);
        if (leg != null) {
            forget(leg);
            terminate(leg, LOGOUT);
        }
    }

    @Override
    public void probe(String server) {
        // A watchdog is the probe of this protocol; it tells no load, so the answer says only that it came.
        Upstream to = peers.get(server);
        core.checked(server, to != null && to.isOpen() ? State.OK : State.CONNECT_ERROR, 0, List.of());
    }

    @Override
    public void closeIdle(String server) {
        // Peers stay connected: RFC 6733 closes them by DPR alone.
    }

    private boolean forget(Leg leg) {
        bySession.remove(leg.session, leg);
        return legs.remove(leg.call, leg);
    }

    /** Ends a session at its server, now or once the server is back. */
    private void terminate(Leg leg, int cause) {
        List<Avp> avps = new ArrayList<>();
        avps.add(Avp.text(Avp.SESSION_ID, leg.session));
        avps.addAll(me.origin());
        avps.add(Avp.text(Avp.DESTINATION_REALM, me.realm()));
        avps.add(Avp.text(Avp.DESTINATION_HOST, leg.at.peer.host()));
        avps.add(Avp.unsigned(Avp.AUTH_APPLICATION_ID, NASREQ));
        avps.add(Avp.unsigned(Avp.TERMINATION_CAUSE, cause));
        teardowns.owe(new EndedSession(leg.at, leg.session),
            new DiameterMessage(REQUEST | PROXIABLE, SESSION_TERMINATION, NASREQ, 0, nextEndToEnd++, avps), null);
    }

    /** The server ends a session: it is told so, gets its STR, and the client is told. */
    private void abort(Connection on, DiameterMessage m) {
        Leg leg = bySession.get(m.need(Avp.SESSION_ID).text());
        if (leg == null) {
            on.send(m.answer(me, DiameterException.UNKNOWN_SESSION_ID));
            return;
        }
        on.send(m.answer(me, SUCCESS));
        forget(leg);
        terminate(leg, ADMINISTRATIVE);
        core.over(leg.call, Ending.CUT, List.of());
        core.ended(leg.call, leg.copy, State.RESET_BY_PEER, 0, List.of());
    }

    /** One configured peer, over all its connections. */
    private final class Upstream implements Connection.Owner, Watchdog.Peer {
        final DiameterConfig.Peer peer;
        final Watchdog watchdog;
        Connection connection;
        boolean draining;
        long startedAtUs;
        private long stateId;

        Upstream(DiameterConfig.Peer peer) {
            this.peer = peer;
            watchdog = new Watchdog(timers, this, config.watchdogUs(), config.jitterUs(), peer.host().hashCode());
        }

        boolean isOpen() {
            return connection != null && connection.isOpen();
        }

        void connect() {
            if (stopping) {
                return;
            }
            client.connect(peer.address().socket())
                .onSuccess(socket -> connection = new Connection(socket, me, true, timers, config.watchdogUs(), this, log))
                .onFailure(e -> timers.after(config.reconnectUs(), this::connect));
        }

        @Override
        public boolean admits(String asked) {
            return asked.equals(peer.host());
        }

        @Override
        public void open(Connection c) {
            draining = false;
            started(c);
            teardowns.found(c);
            watchdog.up();
        }

        /** A larger Origin-State-Id says that the peer has lost its sessions. */
        private void started(Connection c) {
            boolean anew = stateId != 0 && c.stateId() > stateId;
            stateId = Math.max(stateId, c.stateId());
            if (anew) {
                startedAtUs = clock.nowUs();
                legs.values().removeIf(leg -> leg.at == this && bySession.remove(leg.session, leg));
                teardowns.forgetIf(o -> o.at == this);
                tell(Scope.COMPLETE, Map.of(peer.host(), startedAtUs));
            }
        }

        @Override
        public void request(Connection c, DiameterMessage m) {
            if (m.command() != ABORT_SESSION) {
                throw new DiameterException(DiameterException.COMMAND_UNSUPPORTED, "command " + m.command(), null);
            }
            abort(c, m);
        }

        @Override
        public void draining(Connection c) {
            draining = true;
            tell(Scope.COMPLETE, Map.of());
        }

        @Override
        public void heard(Connection c, DiameterMessage m) {
            watchdog.heard(!m.isRequest() && m.command() == DEVICE_WATCHDOG);
            started(c);
        }

        @Override
        public void closed(Connection c) {
            watchdog.down();
            draining = true;
            teardowns.lost(c);
            tell(Scope.COMPLETE, Map.of());
            timers.after(config.reconnectUs(), this::connect);
        }

        @Override
        public void sendWatchdog() {
            connection.sendWatchdog();
        }

        @Override
        public void closeConnection() {
            connection.close("its watchdog is lost");
        }

        @Override
        public void changed(Watchdog.State from, Watchdog.State to) {
            log.accept("diameter: " + peer.host() + " " + from + " -> " + to);
            if (from == Watchdog.State.REOPEN && to == Watchdog.State.OKAY) {
                // What was away may have started anew: it is cold.
                startedAtUs = clock.nowUs();
            }
            tell(Scope.COMPLETE, Map.of());
        }
    }

    /** The end of one session at one server. */
    private record EndedSession(Upstream at, String session) {}

    /** A session's end is told to its own server alone. */
    private final class ToPeers implements TeardownRoutes<EndedSession, DiameterMessage, Connection> {
        @Override
        public Connection best(EndedSession key, Connection but) {
            return key.at.isOpen() && key.at.connection != but ? key.at.connection : null;
        }

        @Override
        public int rank(Connection way) {
            return way.isOpen() ? 0 : -1;
        }

        @Override
        public void write(EndedSession key, DiameterMessage str, Connection way, boolean again) {
            // Its answer settles it, whatever it says: a session that is not known is ended too.
            way.request(again ? str.with(str.flags() | RETRANSMITTED, 0, str.avps()) : str, answer -> {
                if (answer != null) {
                    teardowns.told(key);
                }
            });
        }
    }

    /** One session at one server. */
    private static final class Leg {
        final long call;
        final int copy;
        final Upstream at;
        final String session;
        Connection on;
        /** The network has its request. */
        boolean sent;

        Leg(long call, int copy, Upstream at, String session) {
            this.call = call;
            this.copy = copy;
            this.at = at;
            this.session = session;
        }
    }
}
