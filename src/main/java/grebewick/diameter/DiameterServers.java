package grebewick.diameter;

import static grebewick.diameter.DiameterMessage.*;

import grebewick.core.CallControl.Fleet;
import grebewick.core.CallControl.Scope;
import grebewick.core.CallControl.State;
import grebewick.core.Clock;
import grebewick.core.Ending;
import grebewick.core.EventLog;
import grebewick.core.Gatekeeper;
import grebewick.core.Interruption;
import grebewick.core.Offer;
import grebewick.core.Servers;
import grebewick.core.Timers;
import grebewick.diameter.SessionTeardowns.Cause;
import grebewick.liveness.LeaseTimes;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.LongConsumer;

/** The core's port to the authorising servers: sessions are asked for, answered and ended there. */
final class DiameterServers implements Servers<DiameterMessage>, SessionServers, ServerPeer.Listener {
    /** us. After a start, in which clients repeat what they have asked the process before it. */
    private static final long REPEATED_US = 60_000_000;

    private final Clock clock;
    private final Timers timers;
    private final Consumer<String> log;
    private final Map<String, ServerPeer> peers = new TreeMap<>();
    private final ServerSessions sessions = new ServerSessions();
    private final SessionTeardowns teardowns;
    private final FormerTerminations formerSessions;
    private final UnheardGiveUps giveUps;
    private final SilenceMonitor<ServerPeer> silence = new SilenceMonitor<>(LeaseTimes.DEFAULT);
    /** Sessions that servers have ended, until their clients have heard of it. */
    private final Set<String> untoldAborts = new HashSet<>();
    /** Sessions that clients have ended, until their servers have answered; who is told what they have said. */
    private final Map<ServerSession, LongConsumer> terminations = new HashMap<>();
    private final Identity me;
    private final NetClient client;
    private final long startedUs;
    private long taken;
    private BiConsumer<String, LongConsumer> clients = (id, result) -> result.accept(DiameterException.UNKNOWN_SESSION_ID);
    private Gatekeeper<DiameterMessage> core;

    DiameterServers(Vertx vertx, DiameterConfig config, Identity me, Clock clock, Timers timers, Consumer<String> log) {
        this.me = me;
        this.clock = clock;
        this.timers = timers;
        this.log = log;
        teardowns = new SessionTeardowns(me, clock, timers, new EventLog(log, clock), new OwnTeardowns());
        formerSessions = new FormerTerminations(me, config.requestUs(), clock, timers, new EventLog(log, clock));
        giveUps = new UnheardGiveUps(timers, teardowns::isTold, call -> core.isHeldBack(call), call -> core.giveUpHeard(call));
        startedUs = clock.nowUs();
        client = vertx.createNetClient(new NetClientOptions().setTcpNoDelay(true)
            .setConnectTimeout((int) Math.max(1, config.settings().bounds().connectTimeoutUs() / 1000)));
        for (DiameterConfig.Peer peer : config.peers()) {
            peers.put(peer.host(), new ServerPeer(peer, config, me, client, clock, timers, this, log));
        }
    }

    /** Starts connecting; the core is told of the list at once and at each change. */
    void start(Gatekeeper<DiameterMessage> gatekeeper) {
        core = gatekeeper;
        tell(Scope.PERSISTED, Map.of());
        peers.values().forEach(ServerPeer::connect);
        teardowns.start();
        formerSessions.start();
        timers.after(SilenceMonitor.LOOK_US, this::look);
    }

    private void look() {
        timers.after(SilenceMonitor.LOOK_US, this::look);
        Set<ServerPeer> servers = sessions.serversWithOpenSessions();
        silence.retainAll(servers);
        silence.look(clock.nowUs());
        for (ServerPeer peer : servers) {
            switch (silence.of(peer, peer.heardUs())) {
                case ASK -> peer.ask();
                case EXPIRE -> core.interrupted(sessions.callsAt(peer), Interruption.SERVER_SILENT);
                case NOTHING -> {}
            }
        }
    }

    /** Who tells a client that its server has ended a session; it gives the code for the server once the client has heard. */
    void onAbort(BiConsumer<String, LongConsumer> told) {
        clients = told;
    }

    /** A client that was answered before its server has would not end the session again through the next process. */
    @Override
    public void terminate(long call, LongConsumer result) {
        ServerSession session = sessions.ofCall(call);
        if (session != null) {
            terminations.put(session, result);
        }
        core.releasedByCaller(call);
        if (session == null) {
            result.accept(SUCCESS);
        }
    }

    private void settle(ServerSession session, long result) {
        LongConsumer waiting = terminations.remove(session);
        if (waiting != null) {
            waiting.accept(result);
        }
    }

    @Override
    public void terminateFormerSession(String sessionId, String host, LongConsumer result) {
        formerSessions.terminate(sessionId, peers.get(host), peers.values(), result);
    }

    /** Sessions whose ends their servers are still to be told. */
    int pendingTeardowns() {
        return teardowns.pending() + formerSessions.pending();
    }

    /** Takes leave of every peer; what they are still to be told goes on. */
    void stop() {
        peers.values().forEach(ServerPeer::stop);
    }

    /** Whether all peers have heard that this node goes, and so say nothing new. */
    boolean haveLeft() {
        return peers.values().stream().allMatch(ServerPeer::hasLeft);
    }

    /** Closes all connections. */
    Future<Void> close() {
        peers.values().forEach(ServerPeer::close);
        return client.close();
    }

    @Override
    public boolean canRelease(long call) {
        ServerSession session = sessions.ofCall(call);
        return session != null && session.at.isOpen();
    }

    /** Clients whose sessions' ends are yet to be heard of by servers are told that they could not be. */
    void answerAll() {
        formerSessions.answerAll();
    }

    /** Messages from servers since the start. */
    long taken() {
        return taken;
    }

    private void tell(Scope scope, Map<String, Long> dead) {
        core.fleet(new Fleet(scope, 0, peers.values().stream().map(ServerPeer::entry).toList()), dead);
    }

    // ---- from the core

    @Override
    public void setUp(long call, int copy, String server, Offer<DiameterMessage> offer, long waitUs) {
        ServerPeer to = peers.get(server);
        if (!to.isOpen() || to.connection().isStuck()) {
            // What a stuck connection holds could not be taken back if its client left.
            core.ended(call, copy, State.CONNECT_ERROR, 0, List.of());
            return;
        }
        DiameterMessage asked = offer.description();
        ServerSession session = new ServerSession(call, copy, to, asked.text(Avp.SESSION_ID));
        sessions.add(session);
        List<Avp> avps = new ArrayList<>(asked.avps());
        avps.removeIf(a -> a.code() == Avp.DESTINATION_HOST && a.vendor() == 0);
        avps.add(Avp.text(Avp.DESTINATION_HOST, server));
        avps.add(Avp.text(Avp.ROUTE_RECORD, asked.text(Avp.ORIGIN_HOST)));
        int flags = asked.flags() | (copy > 0 ? RETRANSMITTED : 0);
        session.isRepeated = offer.isRetry();
        session.on = to.connection();
        session.on.request(asked.with(flags, 0, avps), answer -> answered(session, answer), () -> session.sent = true);
        session.isAsked = true;
    }

    private void answered(ServerSession session, DiameterMessage answer) {
        taken++;
        if (answer == null) {
            if (sessions.remove(session)) {
                lostUnanswered(session);
            }
            return;
        }
        long result = answer.result();
        boolean waiting = sessions.holds(session);
        if (result / 1000 == 2) {
            ServerSession present = sessions.ofId(session.id);
            if (!waiting && present != null && present.at == session.at) {
                // The late answer to an earlier attempt at the same server: to end that session would end the present one.
                present.isOpenedByEarlierRequest = true;
                return;
            }
            // Guards against sessions that are open for nobody: the answer came after the attempt was given up.
            session.stands = true;
            if (!waiting || !core.stood(session.call, session.copy, answer, List.of())) {
                sessions.remove(session);
                teardowns.terminateOpened(session, Cause.ADMINISTRATIVE);
            } else {
                standsAlone(session);
            }
            return;
        }
        if (!waiting) {
            return;
        }
        if (session.isOpenedByEarlierRequest) {
            teardowns.terminate(session, Cause.ADMINISTRATIVE);
        }
        State state = state(result);
        if (state != null) {
            sessions.remove(session);
            core.ended(session.call, session.copy, state, result == DiameterException.TOO_BUSY ? 3
                : result == DiameterException.RESOURCES_EXCEEDED ? 1 : 0, List.of());
        } else if (core.stood(session.call, session.copy, answer, List.of())) {
            // The server has decided against the session: its word is the answer, and there is nothing to end.
            sessions.remove(session);
            core.over(session.call, Ending.NORMAL, List.of());
        }
    }

    /** What earlier requests for a session that stands now may have left goes, here and at other servers. */
    private void standsAlone(ServerSession session) {
        if (session.copy > 0) {
            teardowns.forget(session);
        }
        if (session.isRepeated && mayRepeatFormerRequests()) {
            endFormerRequests(session.id, session.at);
        }
    }

    @Override
    public boolean mayRepeatFormerRequests() {
        return clock.nowUs() - startedUs < REPEATED_US;
    }

    @Override
    public void endRefusedSession(String sessionId) {
        endFormerRequests(sessionId, null);
    }

    /** A process before this one may have had a request for the session out, and is not there to end what it opened. */
    private void endFormerRequests(String sessionId, ServerPeer except) {
        peers.values().stream().filter(peer -> peer != except)
            .forEach(peer -> teardowns.terminate(ServerSession.ofFormerProcess(peer, sessionId), Cause.SERVICE_NOT_PROVIDED));
    }

    /** Its connection is lost: its server may have opened the session, and its answer may be lost with the connection. */
    private void lostUnanswered(ServerSession session) {
        if (session.isAsked) {
            session.isLost = true;
            teardowns.terminate(session, Cause.SERVICE_NOT_PROVIDED);
        }
        core.ended(session.call, session.copy, State.RESET_BY_PEER, 0, List.of());
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
        ServerSession session = sessions.ofCall(call);
        if (session != null) {
            sessions.remove(session);
            tellGivenUp(session);
            if (!session.sent) {
                // What is written while the same connection is read leaves when all of that is read.
                timers.afterInput(() -> takeBack(session));
            }
        }
    }

    /** Its server is to end what the request has opened or is yet to open, and no other server has it before that is heard. */
    private void tellGivenUp(ServerSession session) {
        if (session.on.isOpen()) {
            giveUps.add(session);
        }
        teardowns.terminate(session, Cause.SERVICE_NOT_PROVIDED);
    }

    @Override
    public boolean isGiveUpUnheard(long call) {
        return giveUps.has(call);
    }

    /** A request that is out may be answered yet, and its client may come back for the answer. */
    @Override
    public boolean outlivesCaller(long call) {
        ServerSession session = sessions.ofCall(call);
        return session != null && session.sent && session.on.isOpen();
    }

    /**
     * Guards against a request that is sent on much later, when its peer takes bytes again: its client may have left. It
     * can't be taken back from its connection, nor those before it, but half a request is none.
     */
    private void takeBack(ServerSession session) {
        if (!session.sent && session.on.isOpen() && session.on.isStuck()) {
            log.accept(
                "diameter: " + session.at.host() + " did not take a request that was given up since; its connection is closed");
            session.on.abort();
        }
    }

    @Override
    public void release(long call, String server) {
        ServerSession session = sessions.ofCall(call);
        if (session != null) {
            sessions.remove(session);
            teardowns.terminate(session, Cause.LOGOUT);
        }
    }

    @Override
    public void probe(String server) {
        // A watchdog is the probe of this protocol; it tells no load, so the answer says only that it came.
        ServerPeer to = peers.get(server);
        core.checked(server, to != null && to.isOpen() ? State.OK : State.CONNECT_ERROR, 0, List.of());
    }

    @Override
    public void closeIdle(String server) {
        // Peers stay connected: RFC 6733 closes them by DPR alone.
    }

    // ---- from the servers

    /** The server ends a session: it is told so, gets its STR, and the client is told. */
    @Override
    public void aborts(ServerPeer peer, Connection on, DiameterMessage m) {
        taken++;
        ServerSession session = sessions.ofId(m.need(Avp.SESSION_ID).text());
        if (session != null && session.at != peer) {
            // What an earlier request has left there ends; the session stands elsewhere.
            on.send(m.answer(me, SUCCESS));
            return;
        }
        if (session != null && !session.stands) {
            on.send(m.answer(me, SUCCESS));
            sessions.remove(session);
            teardowns.terminate(session, Cause.ADMINISTRATIVE);
            core.ended(session.call, session.copy, State.RESET_BY_PEER, 0, List.of());
            return;
        }
        if (session != null) {
            sessions.remove(session);
            core.over(session.call, Ending.CUT, List.of());
        }
        abortAtClient(peer, on, m, session);
    }

    /**
     * The server is answered once the client has heard: a process that is killed before has confirmed nothing, and the server
     * says it again. {@code own} is null for a session from before this process started.
     */
    private void abortAtClient(ServerPeer peer, Connection on, DiameterMessage m, ServerSession own) {
        String id = m.text(Avp.SESSION_ID);
        boolean isFirst = untoldAborts.add(id);
        DiameterMessage request = m.forAnswer();
        clients.accept(id, result -> {
            on.send(request.answer(me, result));
            if (isFirst && untoldAborts.remove(id) && (own != null || result == SUCCESS)) {
                teardowns.terminate(own == null ? ServerSession.ofFormerProcess(peer, id) : own, Cause.ADMINISTRATIVE);
            }
        });
    }

    @Override
    public void opened(ServerPeer peer, Connection on) {
        teardowns.opened(on);
        formerSessions.opened(on);
    }

    @Override
    public void closed(ServerPeer peer, Connection on) {
        teardowns.lost(on);
        formerSessions.lost(on);
        giveUps.lost(on);
        tell(Scope.COMPLETE, Map.of());
        long silentUs = clock.nowUs() - peer.heardUs();
        timers.after(Math.max(1, LeaseTimes.DEFAULT.leaseUs() - silentUs), () -> lose(peer));
    }

    /**
     * A peer that is away keeps its sessions for a while (RFC 6733, section 8.16), but nobody would tell their clients if it
     * never came back: then they are over, and their STRs wait for it.
     */
    private void lose(ServerPeer peer) {
        if (!peer.isOpen() && clock.nowUs() - peer.heardUs() >= LeaseTimes.DEFAULT.leaseUs()) {
            core.interrupted(sessions.callsAt(peer), Interruption.SERVER_SILENT);
        }
    }

    @Override
    public void restarted(ServerPeer peer) {
        List<ServerSession> lost = sessions.removeAllAt(peer);
        teardowns.forgetAllAt(peer);
        List.copyOf(terminations.keySet()).stream().filter(ended -> ended.at == peer).forEach(ended -> settle(ended, SUCCESS));
        formerSessions.restarted(peer);
        tell(Scope.COMPLETE, Map.of(peer.host(), peer.startedAtUs()));
        for (ServerSession session : lost) {
            if (!session.stands && session.on.isOpen()) {
                // It was asked for on the connection that is still there, and may yet be opened.
                tellGivenUp(session);
            }
            // The open ones are over with the news.
            core.ended(session.call, session.copy, State.RESET_BY_PEER, 0, List.of());
        }
    }

    @Override
    public void changed(ServerPeer peer) {
        tell(Scope.COMPLETE, Map.of());
    }

    /** What becomes of the ends of this process's own sessions. */
    private final class OwnTeardowns implements SessionTeardowns.Listener {
        @Override
        public void answered(ServerSession session, long result) {
            // Whatever it says, it has no such session now.
            settle(session, SUCCESS);
            giveUps.answered(session);
            if (session.isLost) {
                // What it may have opened was open until now: its release time begins anew.
                core.giveUpHeard(session.call);
            }
        }

        @Override
        public void abandoned(ServerSession session) {
            settle(session, DiameterException.UNABLE_TO_DELIVER);
        }
    }
}
