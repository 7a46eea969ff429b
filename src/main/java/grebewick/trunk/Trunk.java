package grebewick.trunk;

import static grebewick.trunk.TrunkMessage.*;

import grebewick.config.Endpoint;
import grebewick.core.CallControl.Settings;
import grebewick.core.CallControl.Stage;
import grebewick.core.CallControl.State;
import grebewick.core.Clock;
import grebewick.core.Ending;
import grebewick.core.EventLog;
import grebewick.core.EventLog.Event;
import grebewick.core.Gatekeeper;
import grebewick.core.Interruption;
import grebewick.core.Offer;
import grebewick.core.Servers;
import grebewick.core.Timers;
import grebewick.liveness.ProbeBudget;
import grebewick.liveness.ProcessLease;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/** The servers over their binary protocol: a few connections to each, and the calls that are on them. */
public final class Trunk implements Servers<byte[]>, ServerConnections.Owner {
    /** us. Silence after a set-up that casts doubt on a connection, at the most: sooner where repeats are due sooner. */
    private static final long DOUBT_US = 500_000;
    /** Least price of a connection that is opened to show that an address can be reached: each takes a server's descriptor. */
    private static final double CONNECTION_FEE = 0.05;
    /** The id in messages that concern no call. */
    private static final long NO_CALL = 0;
    private static final int MOST_OWN = 4_000;
    /** us. How often stopped and unneeded connections are looked for. */
    private static final long SWEEP_US = 100_000;

    private final Clock clock;
    private final Timers timers;
    private final NetClient client;
    /** Null: servers may be tested. */
    private final NetClient checkClient;
    private final Quota quota;
    private final ReconnectBudget budget;
    private final RandomGenerator random;
    private final Reports reports;
    private final long probeUs;
    private final long doubtUs;
    private final Consumer<String> log;
    private final EventLog eventLog;
    private final ProbeBudget probeBudget;
    private final ServerRegistry servers;
    private final Map<Long, CallLeg> byCall = new HashMap<>();
    private final Map<Long, CallLeg> byId = new HashMap<>();
    private final UnwrittenReleases unwrittenReleases;
    private final Map<Long, Probe> probes = new HashMap<>();
    /** Where set-ups that waited for a connection may leave once all input is read. */
    private final Set<ServerConnections> ready = new LinkedHashSet<>();
    /** Ids that this process has set up: what concerns others stems from before its start. */
    private final Map<Long, Boolean> own = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Boolean> eldest) {
            return size() > MOST_OWN;
        }
    };
    private BiConsumer<Long, Ending> strays = (id, ending) -> {};
    private Gatekeeper<byte[]> core;
    private long nextProbe = 1;
    private long taken;

    /**
     * Makes the trunk side, of so many connections at the most, and with a source of randomness for delays;
     * {@connection #attach} gives it its core before anything is listed.
     */
    public Trunk(Vertx vertx, Settings set, int connections, RandomGenerator random, Clock clock, Timers timers,
                 Consumer<String> log) {
        this.random = random;
        quota = new Quota(connections);
        budget = new ReconnectBudget(connections, log);
        this.clock = clock;
        this.timers = timers;
        this.log = log;
        eventLog = new EventLog(log, clock);
        reports = new Reports(set.report().fields());
        probeUs = Math.max(1000, set.bounds().connectTimeoutUs()) * 2;
        long resendUs = set.familyInfo().resendUs();
        doubtUs = resendUs > 0 ? Math.min(DOUBT_US, resendUs) : DOUBT_US;
        client = vertx.createNetClient(new NetClientOptions().setTcpNoDelay(true)
            .setConnectTimeout((int) Math.max(1, set.bounds().connectTimeoutUs() / 1000)));
        probeBudget = new ProbeBudget(
            set.bounds().probes() ? set.fees().probe() : Math.max(CONNECTION_FEE, set.fees().handshake()));
        checkClient = set.bounds().probes() ? null : vertx.createNetClient(new NetClientOptions().setTcpNoDelay(true)
            .setConnectTimeout(AddressCheck.CONNECT_MS));
        servers = new ServerRegistry(this::connections);
        unwrittenReleases = new UnwrittenReleases(timers, call -> core.giveUpHeard(call));
        timers.after(SWEEP_US, this::sweep);
    }

    private ServerConnections connections(Endpoint e) {
        return new ServerConnections(e.entry().server(), e.address(), e.entry().startedAtUs(), client, quota,
            new ServerReconnects(budget, random), clock, timers, checkClient, probeBudget, this, log, eventLog);
    }

    private void sweep() {
        timers.after(SWEEP_US, this::sweep);
        servers.sweep(clock.nowUs());
    }

    /** Who is told of the ends of calls that stood before this process started: they belong to no process. */
    public void onStray(BiConsumer<Long, Ending> told) {
        strays = told;
    }

    /** Releases a call of before this process started, wherever it stands; false for a call of its own. */
    public boolean releaseStray(long id) {
        if (own.containsKey(id)) {
            return false;
        }
        servers.all().forEach(connections -> connections.send(null, of(RELEASE, id, NORMAL_CLEARING)));
        return true;
    }

    /** Messages that wait for a connection to their server. */
    public int owed() {
        return servers.all().stream().mapToInt(ServerConnections::owed).sum();
    }

    /** Bytes that servers were sent and the network has not taken. */
    public long unwritten() {
        return servers.all().stream().mapToLong(ServerConnections::unwritten).sum();
    }

    /** Messages from servers since the start. */
    public long taken() {
        return taken;
    }

    /** Closes all connections. */
    public Future<Void> close() {
        return checkClient == null ? client.close() : Future.join(client.close(), checkClient.close()).mapEmpty();
    }

    /** Names the core that is told what happens. */
    public void attach(Gatekeeper<byte[]> gatekeeper) {
        core = gatekeeper;
    }

    /**
     * The whole list as it now is: servers to new servers are opened, those of gone ones end. Gives the servers
     * whose calls from before a moment can't stand any more.
     */
    public Map<String, Long> list(List<Endpoint> endpoints) {
        Map<String, Endpoint> now = new TreeMap<>();
        Map<String, Long> dead = new TreeMap<>();
        endpoints.forEach(e -> now.put(e.entry().server(), e));
        servers.unlistAllBut(now.keySet()).forEach(connections -> {
            logState(connections, "gone-from-list");
            dead.put(connections.id, Long.MAX_VALUE);
        });
        quota.servers(now.size());
        boolean isFirst = servers.all().isEmpty();
        now.forEach((id, e) -> {
            ServerConnections connections = servers.find(id);
            if (connections == null) {
                connections = servers.list(e);
                if (!isFirst) {
                    logState(connections, "listed");
                }
                connections.connect();
            }
            if (e.entry().startedAtUs() > connections.launchedUs) {
                dead.put(id, e.entry().startedAtUs());
                // Some may be closed already, and calls that were set up on them stand.
                legs(connections).stream().filter(leg -> leg.on != null && leg.on.sinceUs <= e.entry().startedAtUs())
                    .forEach(leg -> leg.on.isOfFormerProcess = true);
            }
            connections.update(e.address(), e.entry().startedAtUs());
            boolean drains = e.entry().stage() != Stage.HEALTHY;
            if (drains != connections.drains) {
                connections.drains = drains;
                logState(connections, drains ? "draining" : "healthy");
            }
        });
        return dead;
    }

    /** A change that the list tells of, with the calls that it concerns. */
    private void logState(ServerConnections connections, String state) {
        eventLog.write(Event.SERVER_STATE, () -> {
            List<CallLeg> legs = legs(connections);
            long standing = legs.stream().filter(leg -> leg.stands).count();
            return "server=" + connections.id + " state=" + state + " set-ups=" + (legs.size() - standing) + " standing="
                + standing;
        });
    }

    /** Ends calls of processes that have been replaced; to be called once the core knows of the list. */
    public void endCallsOfFormerProcesses() {
        core.interrupted(byCall.values().stream().filter(leg -> leg.stands && leg.on.isOfFormerProcess).map(leg -> leg.call)
            .sorted().toList(), Interruption.GONE_FROM_LIST);
    }

    /**
     * Takes back what has not left for a server that drains, is gone, or was not confirmed to be ready for too long; to be
     * called once the core knows of it, and so chooses no such server again. Guards the rule on drains, which counts the first
     * byte that leaves, where the choice was made before: for a set-up that waits for its connection, and for one whose bytes
     * are stuck.
     */
    @Override
    public void takeBackUnsent() {
        for (CallLeg leg : List.copyOf(byCall.values())) {
            if (leg.stands || mayHaveSetUps(leg.connections) || byCall.get(leg.call) != leg) {
                continue;
            }
            if (leg.on == null) {
                takeBack(leg);
            } else if (leg.on.unwritten() > 0) {
                leg.connections.drop(leg.on, "holds-a-set-up-for-a-server-that-takes-none");
            }
        }
    }

    private boolean mayHaveSetUps(ServerConnections connections) {
        return connections.takesCalls() && core.isConfirmed(connections.id);
    }

    private void takeBack(CallLeg leg) {
        forget(leg);
        core.ended(leg.call, leg.copy, State.IGNORED, 0, List.of());
    }

    // ---- from the core

    @Override
    public void setUp(long call, int copy, String server, Offer<byte[]> offer, long waitUs) {
        ServerConnections connections = servers.find(server);
        if (connections == null) {
            core.ended(call, copy, State.IGNORED, 0, List.of());
            return;
        }
        if (connections.isUnreachable()) {
            // Guards calls against waiting for a machine that is gone: nothing has left, another server may have it.
            core.ended(call, copy, State.CONNECT_ERROR, 0, List.of());
            return;
        }
        CallLeg leg = new CallLeg(call, copy, connections, offer,
            TrunkMessage.setUp(offer.id(), offer.band(), offer.item(), Math.max(1, waitUs / 1000), offer.description()));
        if (copy == 0) {
            probeBudget.firstTry();
        }
        byCall.put(call, leg);
        byId.put(offer.id(), leg);
        own.put(offer.id(), true);
        leave(leg);
    }

    /** Sends the set-up, or leaves it to wait for a connection. */
    private void leave(CallLeg leg) {
        ServerConnection connection = leg.connections.pick(leg.offer.id());
        if (connection == null) {
            return;
        }
        leg.on = connection;
        leg.sentUs = clock.nowUs();
        connection.usedUs = leg.sentUs;
        connection.legs.add(leg);
        leg.connections.sendSetUp(connection, leg.message, () -> leg.sent = true);
    }

    @Override
    public void giveUp(long call, int copy, String server) {
        CallLeg leg = byCall.get(call);
        if (leg != null && !leg.stands) {
            giveUp(leg);
        }
    }

    private void giveUp(CallLeg leg) {
        forget(leg);
        if (leg.on != null && !leg.sent) {
            leg.connections.orphan(leg.on);
        }
        if (leg.on == null || !leg.connections.isOpen(leg.on)) {
            return;
        }
        TrunkMessage release = of(RELEASE, leg.offer.id(), NORMAL_CLEARING);
        ServerConnection on = leg.on;
        unwrittenReleases.add(leg.call, leg.connections.sendOn(on, release),
            () -> leg.connections.drop(on, "does-not-take-a-release"));
        if (leg.on.heardUs < leg.sentUs && clock.nowUs() - leg.sentUs > doubtUs) {
            // Guards against a silent, vanished server: only a new connection tells it from a slow one. And against
            // one whose answer got lost: what else it is to send there may be lost too, and so may what is sent to it.
            leg.connections.sendBeside(on, release);
            leg.connections.retire(leg.on, "set-up-not-answered");
        }
    }

    @Override
    public boolean isGiveUpUnheard(long call) {
        return unwrittenReleases.has(call);
    }

    @Override
    public void release(long call, String server) {
        CallLeg leg = byCall.get(call);
        if (leg != null) {
            forget(leg);
            leg.connections.send(leg.on, of(RELEASE, leg.offer.id(), NORMAL_CLEARING));
        }
    }

    @Override
    public void probe(String server) {
        ServerConnections connections = servers.find(server);
        if (connections == null) {
            core.checked(server, State.CONNECT_ERROR, 0, List.of());
            return;
        }
        long id = nextProbe++;
        probes.put(id, new Probe(server, clock.nowUs(), timers.after(probeUs, () -> {
            if (probes.remove(id) != null) {
                core.checked(server, State.TIMED_OUT, probeUs, List.of());
            }
        })));
        // Where no connection is up yet, it goes out on the first.
        connections.send(null, of(TEST, id, 1));
    }

    @Override
    public void closeIdle(String server) {
        ServerConnections connections = servers.find(server);
        if (connections != null && byCall.values().stream().noneMatch(leg -> leg.connections == connections)) {
            connections.closeIdle();
        }
    }

    // ---- from the servers

    @Override
    public void up(ServerConnections connections) {
        leaveAfterInput(connections);
    }

    /**
     * What waits for a connection with that server leaves once all input is read. Guards against set-ups for callers that have
     * left and to servers that drain: a loop that comes late may hear of the connection before it hears of that.
     */
    private void leaveAfterInput(ServerConnections connections) {
        if (ready.add(connections) && ready.size() == 1) {
            timers.afterInput(this::leaveReady);
        }
    }

    private void leaveReady() {
        List<ServerConnections> now = List.copyOf(ready);
        ready.clear();
        for (ServerConnections connections : now) {
            for (CallLeg leg : legs(connections)) {
                // Else it was given up, or taken back, meanwhile.
                if (leg.on != null || byCall.get(leg.call) != leg) {
                    continue;
                }
                if (mayHaveSetUps(connections)) {
                    leave(leg);
                } else {
                    takeBack(leg);
                }
            }
        }
    }

    @Override
    public void unreachable(ServerConnections connections, boolean dead) {
        for (CallLeg leg : legs(connections)) {
            if (leg.on == null && connections.takesNow()) {
                // It has waited for another connection than those that are up.
                leaveAfterInput(connections);
            } else if (leg.on == null) {
                forget(leg);
                core.ended(leg.call, leg.copy, State.CONNECT_ERROR, 0, List.of());
            }
        }
        if (dead) {
            legs(connections).stream().filter(leg -> leg.stands).forEach(this::forget);
            core.died(connections.id);
        }
    }

    @Override
    public boolean holds(ServerConnections connections, long id) {
        CallLeg leg = byId.get(id);
        return leg != null && leg.connections == connections && leg.on != null;
    }

    @Override
    public void lost(ServerConnections connections, ServerConnection connection) {
        releaseAgain(connections, connection);
        for (CallLeg leg : List.copyOf(connection.legs)) {
            if (!leg.stands) {
                forget(leg);
                // Guards against a call that stands for nobody: the answer may be lost with the connection.
                connections.sendAfter(connection, of(RELEASE, leg.offer.id(), NORMAL_CLEARING));
                core.ended(leg.call, leg.copy, State.RESET_BY_PEER, 0, List.of());
            }
        }
    }

    /** Guards against calls that stand for nobody: what was said of their ends may be lost with the connection. */
    private void releaseAgain(ServerConnections connections, ServerConnection lost) {
        for (long id : lost.unreadReleases(clock.nowUs())) {
            // Else it would end a later attempt of the same call.
            if (!holds(connections, id)) {
                connections.sendAfter(lost, of(RELEASE, id, NORMAL_CLEARING));
            }
        }
    }

    @Override
    public void giveUpSetUps(ServerConnection connection) {
        for (CallLeg leg : List.copyOf(connection.legs)) {
            if (!leg.stands) {
                giveUp(leg);
                core.ended(leg.call, leg.copy, State.RESET_BY_PEER, 0, List.of());
            }
        }
    }

    @Override
    public void keepAlive(ServerConnection connection) {
        connection.socket.write(TrunkCodec.encode(of(RELEASED, NO_CALL, -1)));
    }

    @Override
    public void probe(ServerConnections connections, ServerConnection on) {
        connections.send(on, of(TEST, nextProbe++, 0));
    }

    @Override
    public void lost(ServerConnections connections, ProcessLease process) {
        core.interrupted(callsAt(process), Interruption.SERVER_SILENT);
    }

    private List<Long> callsAt(ProcessLease process) {
        return byCall.values().stream().filter(leg -> leg.process != null && leg.process.current() == process)
            .map(leg -> leg.call).sorted().toList();
    }

    /** This process ends soon: whether servers with calls live is to be known by then. */
    public void probeOften() {
        servers.all().forEach(connections -> connections.processes.probeOften());
    }

    /**
     * This process is about to end: calls at servers that are silent are over now, as nobody will be there to tell their
     * callers later.
     */
    public void endCallsOfSilentServers() {
        for (ServerConnections connections : servers.all()) {
            for (ProcessLease process : connections.processes.suspects(clock.nowUs())) {
                core.interrupted(callsAt(process), Interruption.SERVER_SILENT);
            }
        }
    }

    @Override
    public void message(ServerConnections connections, ServerConnection on, TrunkMessage m) {
        taken++;
        switch (m.type()) {
            case ANSWER -> answer(connections, on, m);
            case RELEASE -> {
                connections.send(on, of(RELEASED, m.call(), -1));
                ended(connections, on, m);
            }
            case GROUP_STATE -> core.checked(connections.id, State.OK, 0, reports.read(m.report()));
            case RELEASED -> on.releases.forget(m.call());
            case TEST -> connections.send(on, of(TESTED, m.call(), 1));
            case TESTED -> {
                Probe probe = probes.remove(m.call());
                if (probe != null) {
                    probe.cancel.run();
                    core.checked(probe.server, m.cause() == 1 ? State.OK : State.FAILED,
                        clock.nowUs() - probe.sentUs, reports.read(m.report()));
                }
            }
            default -> {}
        }
    }

    private void answer(ServerConnections connections, ServerConnection on, TrunkMessage m) {
        CallLeg leg = byId.get(m.call());
        if (leg != null && leg.connections == connections && (leg.stands || leg.on != on)) {
            // A second copy, or the late answer to an earlier attempt, which is released already: to release it
            // again would end the present one, as they share the call's id.
            return;
        }
        if (leg == null || !connections.isListed()) {
            eventLog.write(Event.LATE_ANSWER, () -> "call=" + EventLog.id(m.call()) + " server=" + connections.id + " connection="
                + on.number + " reason=" + (leg == null ? "no-call-waits" : "server-gone-from-list"));
        }
        if (leg != null && leg.connections == connections) {
            leg.stands();
            leg.process = on.process.current();
            connections.processes.callStands(leg.process);
            if (core.stood(leg.call, leg.copy, m.description(), reports.read(m.report()))) {
                if (on.isOfFormerProcess) {
                    core.interrupted(List.of(leg.call), Interruption.GONE_FROM_LIST);
                }
                return;
            }
            forget(leg);
        }
        // Guards against calls that stand for nobody: the answer crossed the give-up.
        connections.send(on, of(RELEASE, m.call(), NORMAL_CLEARING));
    }

    private void ended(ServerConnections connections, ServerConnection on, TrunkMessage m) {
        CallLeg leg = byId.get(m.call());
        if (leg == null && (m.cause() == NORMAL_CLEARING || m.cause() == TEMPORARY_FAILURE) && own.put(m.call(), true) == null) {
            strays.accept(m.call(), m.cause() == NORMAL_CLEARING ? Ending.NORMAL : Ending.CUT);
        }
        if (leg == null || leg.connections != connections || !leg.stands && leg.on != on) {
            // Of no call, or the late end of an earlier attempt: the present one is still out, or has not left.
            return;
        }
        List<Double> report = reports.read(m.report());
        // A server ends a call with this cause once it has stood: the answer is late, and was overtaken.
        boolean overBeforeItsAnswer = !leg.stands && m.cause() == NORMAL_CLEARING && !on.hadAttempt(m.call());
        forget(leg);
        if (leg.stands) {
            core.over(leg.call, m.cause() == NORMAL_CLEARING ? Ending.NORMAL : Ending.CUT, report);
            if (m.cause() == TEMPORARY_FAILURE) {
                connections.cuts.cut(clock.nowUs()).forEach(core::answer);
            }
            return;
        }
        State state = switch (m.cause()) {
            case NO_CIRCUIT -> State.QUEUE_FULL;
            case USER_BUSY, RESOURCE_UNAVAILABLE -> State.FAILED;
            case MOOT -> State.IGNORED;
            default -> State.RESET_BY_PEER;
        };
        core.ended(leg.call, leg.copy, state, why(m.note()), report);
        boolean cutBeforeItsAnswer = m.cause() == TEMPORARY_FAILURE && connections.cuts.reset(leg.call, clock.nowUs());
        if (overBeforeItsAnswer || cutBeforeItsAnswer) {
            // Guards against a second attempt for a call that has stood and is over: its caller has to be told of that
            // within a second, and could be told only together with the end of the second, as they share the call's id.
            core.answer(leg.call);
        }
    }

    /** The module's number for a note; a figure behind it is a wait in milliseconds. */
    private static long why(String note) {
        return switch (note) {
            case "all_trunks_busy" -> 1;
            case "via_said_no" -> 2;
            case "cpu_full" -> 3;
            case "number_busy" -> 4;
            case "far_cpu_full" -> 18;
            default -> 0;
        };
    }

    private List<CallLeg> legs(ServerConnections connections) {
        List<CallLeg> result = new ArrayList<>();
        byCall.values().forEach(leg -> {
            if (leg.connections == connections) {
                result.add(leg);
            }
        });
        result.sort(Comparator.comparingLong(leg -> leg.call));
        return result;
    }

    private void forget(CallLeg leg) {
        byCall.remove(leg.call, leg);
        byId.remove(leg.offer.id(), leg);
        if (leg.process != null) {
            leg.connections.processes.callEnds(leg.process);
            leg.process = null;
        }
        if (leg.on != null) {
            leg.on.legs.remove(leg);
            if (!leg.stands) {
                leg.on.ended(leg.offer.id());
            }
        }
    }

    private record Probe(String server, long sentUs, Runnable cancel) {}
}
