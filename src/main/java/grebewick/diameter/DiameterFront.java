package grebewick.diameter;

import static grebewick.diameter.DiameterMessage.*;

import grebewick.core.ByteBudget;
import grebewick.core.Callers;
import grebewick.core.Clock;
import grebewick.core.Ending;
import grebewick.core.EventLog;
import grebewick.core.Gatekeeper;
import grebewick.core.Offer;
import grebewick.core.Timers;
import io.vertx.core.net.NetSocket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.UUID;
import java.util.function.Consumer;
import java.util.function.LongConsumer;

/** The clients' side over Diameter: sessions from AAR to STR or ASR (NASREQ, RFC 7155). */
final class DiameterFront implements Connection.Owner {
    /** us. In which a client has to say who it is, and a message that has begun has to end. */
    private static final long WORD_US = 1_800_000;
    private static final long LOOK_US = 250_000;
    /** Requests of one connection that may wait for their answer. */
    private static final int MOST_WAITING = 1_024;
    /** The part of the heap that requests, and input that waits, may take is one in so many. */
    private static final int BUDGET_HEAP_PART = 6;
    private static final int BACKLOG_HEAP_PART = 8;
    /** Copies of a request that are held until its answer: as it came, and as it was sent on. */
    private static final int COPIES = 2;
    /** us. What a refused client is told where the module gives no advice. */
    private static final long COME_BACK_US = 1_000_000;

    private final DiameterConfig config;
    private final Identity me;
    private final Gatekeeper<DiameterMessage> core;
    private final Clock clock;
    private final Timers timers;
    private final Consumer<String> log;
    private final Set<Connection> connections = new LinkedHashSet<>();
    private final Map<Connection, Watchdog> watchdogs = new HashMap<>();
    private final Map<String, Session> sessions = new HashMap<>();
    /** Sessions that wait for their answer, by the connection that it goes to. */
    private final Map<Connection, Set<Session>> waiting = new HashMap<>();
    private final EndedSessions ended = new EndedSessions();
    private final Set<Connection> askedToLeave = new HashSet<>();
    private final AnsweredRequests repeats = new AnsweredRequests();
    /** Of requests that wait for their answer. */
    private final ByteBudget budget = ByteBudget.ofHeap(BUDGET_HEAP_PART);
    /** Of what was read and waits for its slice. */
    private final ByteBudget backlog = ByteBudget.ofHeap(BACKLOG_HEAP_PART);
    private final ClientTeardowns teardowns;
    private final UnknownEndBudget unknownEnds;
    private SessionServers servers;
    private boolean stopping;
    private boolean serversHaveLeft;
    private long taken;

    DiameterFront(DiameterConfig config, Identity me, Gatekeeper<DiameterMessage> core, Clock clock, Timers timers,
                  Consumer<String> log) {
        this.config = config;
        this.me = me;
        this.core = core;
        this.clock = clock;
        this.timers = timers;
        this.log = log;
        unknownEnds = new UnknownEndBudget(clock);
        teardowns = new ClientTeardowns(me, connections, clock, timers, new EventLog(log, clock),
            this::askAllToLeave);
        timers.after(LOOK_US, this::look);
    }

    /** Closes connections with half a message on which nobody waits. Guards memory and descriptors against slow writers. */
    private void look() {
        timers.after(LOOK_US, this::look);
        for (Connection c : List.copyOf(connections)) {
            if (c.isHalfFor(WORD_US) && !waiting.containsKey(c)) {
                c.close("half a message");
            }
        }
    }

    /** Sessions whose ends their clients are still to be told. */
    int pendingTeardowns() {
        return teardowns.pending();
    }

    void accept(NetSocket socket) {
        connections
            .add(new Connection(socket, me, false, clock, timers, Math.min(WORD_US, config.watchdogUs()), this, backlog, log));
    }

    /**
     * New sessions are refused, and each client is asked to go once it has what it waits for. While a session is open the servers
     * stay connected, and may say the end of any client's: then all are asked when the servers have left.
     */
    void stop() {
        stopping = true;
        askAllToLeave();
    }

    /** No server says anything new: all clients are asked to go. */
    void leave() {
        serversHaveLeft = true;
        stop();
    }

    /** Whether any client is connected. */
    boolean hasClients() {
        return !connections.isEmpty();
    }

    /** Requests from clients since the start. */
    long taken() {
        return taken;
    }

    private void askAllToLeave() {
        List.copyOf(connections).forEach(this::askToLeave);
    }

    /** What a client has asked for is lost with its connection: the DPR comes after the last answer and the last end. */
    private void askToLeave(Connection c) {
        if (stopping && c.isOpen() && !waiting.containsKey(c) && !teardowns.owes(c.peer())
            && (serversHaveLeft || !hasOpenSession()) && askedToLeave.add(c)) {
            c.disconnect();
        }
    }

    private boolean hasOpenSession() {
        return sessions.values().stream().anyMatch(s -> s.answered && !s.aborted);
    }

    // ---- connections

    @Override
    public boolean admits(String asked) {
        return config.clients().isEmpty() || config.clients().contains(asked);
    }

    @Override
    public void open(Connection c) {
        connections.add(c);
        Watchdog watchdog = new Watchdog(timers, new Watchdog.Peer() {
            @Override
            public void sendWatchdog() {
                c.sendWatchdog();
            }

            @Override
            public void closeConnection() {
                c.close("its watchdog is lost");
            }

            @Override
            public void changed(Watchdog.State from, Watchdog.State to) {
                log.accept("diameter: client " + c.peer() + " " + from + " -> " + to);
            }
        }, config.watchdogUs(), config.jitterUs(), c.peer().hashCode());
        watchdogs.put(c, watchdog);
        watchdog.up();
        teardowns.opened(c);
        askToLeave(c);
    }

    @Override
    public void heard(Connection c, DiameterMessage m) {
        watchdogs.get(c).heard(!m.isRequest() && m.command() == DEVICE_WATCHDOG);
    }

    @Override
    public void draining(Connection c) {
        log.accept("diameter: client " + c.peer() + " leaves");
    }

    /** Requests that wait on it would be lost without an answer. */
    @Override
    public void closing(Connection c) {
        Set<Session> open = waiting.get(c);
        if (open != null) {
            List.copyOf(open).forEach(s -> core.answer(s.call));
        }
    }

    @Override
    public void closed(Connection c) {
        connections.remove(c);
        askedToLeave.remove(c);
        unknownEnds.forget(c);
        teardowns.lost(c);
        Watchdog watchdog = watchdogs.remove(c);
        if (watchdog != null) {
            watchdog.down();
        }
        Set<Session> hungUp = waiting.remove(c);
        for (Session s : hungUp == null ? List.<Session>of() : List.copyOf(hungUp)) {
            // Guards against a second request for a session that its server may be opening: its client may repeat it.
            if (!core.detach(s.call)) {
                s.answered = true;
                s.giveMemory();
                forget(s);
                repeats.forget(s.key);
            }
        }
    }

    // ---- requests

    @Override
    public void request(Connection on, DiameterMessage m) {
        taken++;
        String key = m.text(Avp.ORIGIN_HOST) + "/" + Integer.toHexString(m.endToEnd());
        // A repeat of what is in hand is dropped, of what was answered gets the same answer: never a second one.
        DiameterMessage given = repeats.answer(key);
        if (given != null) {
            on.send(given.answering(m));
            return;
        }
        if (repeats.isInHand(key)) {
            move(sessions.get(m.text(Avp.SESSION_ID)), key, on, m);
            return;
        }
        RequestRules.check(m, me);
        switch (m.command()) {
            case AA -> authorise(on, m, key);
            case SESSION_TERMINATION -> terminate(on, m);
            default -> throw new DiameterException(DiameterException.COMMAND_UNSUPPORTED, "command " + m.command(), null);
        }
    }

    /** A client that fails over to another connection (RFC 6733, section 5.5.4) waits for its answer there. */
    private void move(Session s, String key, Connection to, DiameterMessage repeat) {
        if (s != null && !s.answered && s.key.equals(key) && s.on != to) {
            Connection from = s.on;
            waitAt(s, to, repeat);
            askToLeave(from);
        }
    }

    private void waitAt(Session s, Connection to, DiameterMessage request) {
        stopWaiting(s);
        s.on = to;
        // Of the same weight, about.
        s.request = request;
        startWaiting(s);
        core.reattach(s.call);
    }

    /** A client that is back asks anew for what is still out: it is no second request. */
    private boolean isAskedAnew(Session known, Connection on, DiameterMessage m, String key) {
        boolean mayHaveLost = !known.on.isOpen() || m.mayBeRepeat() && known.on != on;
        if (known.answered || !mayHaveLost || !known.on.peer().equals(on.peer())) {
            return false;
        }
        repeats.forget(known.key);
        repeats.taken(key);
        known.key = key;
        waitAt(known, on, m);
        return true;
    }

    /** Its answer may have been lost with the connection: a client that took its session for refused would leave it open. */
    private boolean isAnsweredAgain(Session known, Connection on, DiameterMessage m) {
        boolean isOpen = known.answered && !known.aborted && !known.isTerminated;
        DiameterMessage given = repeats.answer(known.key);
        if (!isOpen || !m.mayBeRepeat() || given == null || !known.client.equals(on.peer())) {
            return false;
        }
        on.send(given.answering(m));
        return true;
    }

    private void startWaiting(Session s) {
        waiting.computeIfAbsent(s.on, c -> new LinkedHashSet<>()).add(s);
    }

    private void stopWaiting(Session s) {
        waiting.computeIfPresent(s.on, (c, open) -> open.remove(s) && open.isEmpty() ? null : open);
    }

    private void authorise(Connection on, DiameterMessage m, String key) {
        Session s = new Session(on, m, key);
        Session known = sessions.get(s.id);
        if (known != null && (isAskedAnew(known, on, m, key) || isAnsweredAgain(known, on, m))) {
            return;
        }
        if (known != null) {
            // Re-authorisation within a session is not offered here.
            throw new DiameterException(DiameterException.UNABLE_TO_COMPLY, "the session is open", null);
        }
        repeats.taken(key);
        Set<Session> open = waiting.getOrDefault(on, Set.of());
        if (stopping || open.size() >= MOST_WAITING || !s.takeMemory()) {
            s.refused(0, 0);
            return;
        }
        sessions.put(s.id, s);
        startWaiting(s);
        s.call = core.offer(new Offer<>(callId(s.id), config.band(), m.text(Avp.USER_NAME), config.requestUs(),
            m.mayBeRepeat(), false, 1, group(m.text(Avp.DESTINATION_HOST)), -1, m), s);
    }

    /** One id for each Session-Id, which is unique for ever (RFC 6733, section 8.8). */
    private static long callId(String sessionId) {
        return UUID.nameUUIDFromBytes(sessionId.getBytes(StandardCharsets.UTF_8)).getMostSignificantBits();
    }

    /** The number of the server of first choice, -1 for none. */
    private int group(String host) {
        for (DiameterConfig.Peer p : config.peers()) {
            if (p.host().equals(host)) {
                return p.group();
            }
        }
        return -1;
    }

    private void terminate(Connection on, DiameterMessage m) {
        Session s = sessions.get(m.need(Avp.SESSION_ID).text());
        if (s != null && !s.answered && s.on.peer().equals(on.peer())) {
            s.withdrawn();
            on.send(m.answer(me, SUCCESS));
            return;
        }
        if (s == null) {
            terminateFormerSession(on, m);
            return;
        }
        if (!s.answered) {
            throw new DiameterException(DiameterException.UNKNOWN_SESSION_ID, "no such session", null);
        }
        if (s.aborted) {
            forget(s);
            on.send(m.answer(me, SUCCESS));
            if (s.end != null) {
                teardowns.told(s.end);
            }
            askAllToLeave();
        } else {
            terminateOpen(s, on, m);
        }
    }

    /** Its client is answered once its server has heard, or may ask again after a time. */
    private void terminateOpen(Session s, Connection on, DiameterMessage m) {
        if (stopping && !s.isTerminated && !servers.canRelease(s.call)) {
            // It stands on: its client may end it through the next process.
            throw new DiameterException(DiameterException.UNABLE_TO_DELIVER, "its server is not connected any more", null);
        }
        s.endForClient.await(answerLater(on, m), timers, config.requestUs());
        if (!s.isTerminated) {
            s.isTerminated = true;
            servers.terminate(s.call, result -> {
                forget(s);
                s.endForClient.tell(result);
                askAllToLeave();
            });
        }
    }

    /** One that this process has not set up: it may stand at a server from before this process started. */
    private void terminateFormerSession(Connection on, DiameterMessage m) {
        String id = m.text(Avp.SESSION_ID);
        if (ended.has(id) || !SessionIds.mayBeOf(on.peer(), id)) {
            throw new DiameterException(DiameterException.UNKNOWN_SESSION_ID, "no such session", null);
        }
        if (!unknownEnds.tryTake(on, id)) {
            throw new DiameterException(DiameterException.TOO_BUSY, "too many ends of unknown sessions", null);
        }
        LongConsumer answer = answerLater(on, m);
        servers.terminateFormerSession(id, m.text(Avp.DESTINATION_HOST), result -> {
            if (result != DiameterException.UNABLE_TO_DELIVER) {
                ended.add(id);
            }
            answer.accept(result);
        });
    }

    /** Holds what the answer to a request is made of until its result is there. Guards the memory against requests that wait. */
    private LongConsumer answerLater(Connection on, DiameterMessage m) {
        DiameterMessage request = m.forAnswer();
        int weight = request.weight();
        if (!budget.tryTake(weight)) {
            throw new DiameterException(DiameterException.TOO_BUSY, "too much waits for its answer", null);
        }
        return result -> {
            budget.give(weight);
            on.send(request.answer(me, result));
        };
    }

    /** Names the servers that are told of the ends of sessions, before anything is accepted. */
    void attach(SessionServers sessionServers) {
        servers = sessionServers;
    }

    /** Clients that wait to hear of the ends of their sessions are told that their servers could not be. */
    void answerAll() {
        sessions.values().forEach(s -> s.endForClient.tell(DiameterException.UNABLE_TO_DELIVER));
    }

    /**
     * A server has ended a session: its client is told, now or as it is back, and {@code result} takes the code for the server
     * after that. One that this process has not set up may stand from before its start.
     */
    void abort(String id, LongConsumer result) {
        Session known = sessions.get(id);
        if (known != null && known.end != null && teardowns.isPending(known.end)) {
            known.endForServer.await(result);
        } else if (known != null || ended.has(id)) {
            result.accept(DiameterException.UNKNOWN_SESSION_ID);
        } else {
            Session former = new Session(id);
            former.endForServer.await(result);
            sessions.put(id, former);
            former.abort(realmOf(former.client));
        }
    }

    /** The realm of an identity: its domain. */
    private String realmOf(String identity) {
        int dot = identity.indexOf('.');
        return dot < 0 ? me.realm() : identity.substring(dot + 1);
    }

    private void forget(Session s) {
        if (sessions.remove(s.id, s)) {
            ended.add(s.id);
        }
    }

    /** Whether a client has begun a message that is not whole. */
    boolean hasHalfMessages() {
        return connections.stream().anyMatch(c -> c.isHalfFor(0));
    }

    /** Sessions that are open, or asked for. */
    int sessions() {
        return sessions.size();
    }

    /** One session on this side. */
    private final class Session implements Callers<DiameterMessage> {
        final String id;
        /** The identity of the client that has it. */
        final String client;
        /** Of its request, among the repeats. */
        String key;
        /** Where its client waits for its answer, and the request as it came there. */
        Connection on;
        DiameterMessage request;
        long call;
        boolean answered;
        boolean aborted;
        /** What its client is to be told of its end; null: nothing. */
        ClientTeardowns.End end;
        /** What servers wait for that have ended it: whether its client has heard. */
        final AwaitedResult endForServer = new AwaitedResult();
        /** What its client waits for that has ended it: whether its server has heard. */
        final AwaitedResult endForClient = new AwaitedResult();
        /** Its client has ended it, and its server has not answered yet. */
        boolean isTerminated;
        /** Bytes of the budget that it has. */
        private int weight;

        Session(Connection on, DiameterMessage request, String key) {
            this.on = on;
            this.request = request;
            this.key = key;
            this.id = request.text(Avp.SESSION_ID);
            client = on.peer();
        }

        /** One from before this process started that its server has ended. */
        Session(String id) {
            this.id = id;
            client = SessionIds.client(id);
            answered = true;
        }

        /** Takes what its request needs until it is answered; false: there is no room. */
        boolean takeMemory() {
            int wanted = COPIES * request.weight();
            if (budget.tryTake(wanted)) {
                weight = wanted;
            }
            return weight > 0;
        }

        /** Nothing of the request is held any more that its end does not need. */
        void giveMemory() {
            budget.give(weight);
            weight = 0;
            request = request.withoutBody();
        }

        /** A process before this one may have had its request out, and opened what its client is now told is refused. */
        private void endRefused() {
            if (request.mayBeRepeat() && servers.mayRepeatFormerRequests() && unknownEnds.tryTake(on, id)) {
                servers.endRefusedSession(id);
            }
        }

        /** The one place where an AAR gets its answer. */
        private void answer(DiameterMessage answer) {
            answered = true;
            giveMemory();
            stopWaiting(this);
            repeats.answered(key, answer);
            on.send(answer);
            askToLeave(on);
        }

        @Override
        public void stands(long number, DiameterMessage given) {
            aborted = given.result() / 1000 != 2;
            if (aborted) {
                endRefused();
            }
            answer(given.answering(request));
        }

        @Override
        public void refused(long number, long comeBackUs) {
            forget(this);
            endRefused();
            long ms = (comeBackUs > 0 ? comeBackUs : COME_BACK_US) / 1000;
            answer(request.answer(me, DiameterException.TOO_BUSY,
                Avp.note(Avp.ERROR_MESSAGE, "come back in " + ms + " ms")));
        }

        @Override
        public void failed(long number) {
            forget(this);
            endRefused();
            answer(request.answer(me, DiameterException.UNABLE_TO_DELIVER));
        }

        /** The client ends it while it is asked for: nothing goes out for it any more, and its request is answered. */
        void withdrawn() {
            failed(call);
            core.hangup(call);
        }

        /** A session that was never open needs no end; an open one is aborted, and its STR answered when it comes. */
        @Override
        public void released(long number, Ending ending) {
            if (aborted) {
                forget(this);
            } else {
                abort(request.text(Avp.ORIGIN_REALM));
            }
        }

        /** Its client is told that it is over. */
        void abort(String realm) {
            aborted = true;
            end = teardowns.abort(id, client, realm, result -> {
                // The client ends the session with an STR; one that stays away has no session to come back to.
                timers.after(config.requestUs(), () -> forget(this));
                endForServer.tell(result);
            });
        }
    }
}
