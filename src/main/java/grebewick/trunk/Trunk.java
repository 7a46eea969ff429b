package grebewick.trunk;

import static grebewick.trunk.TrunkMessage.*;

import grebewick.config.Endpoint;
import grebewick.core.CallControl.Settings;
import grebewick.core.CallControl.Stage;
import grebewick.core.CallControl.State;
import grebewick.core.Clock;
import grebewick.core.Ending;
import grebewick.core.Gatekeeper;
import grebewick.core.Offer;
import grebewick.core.Servers;
import grebewick.core.Timers;
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

/** The recipe servers over their binary protocol: one line to each, and the calls that are on them. */
public final class Trunk implements Servers<byte[]>, Line.Owner {
    /** us. Silence after a set-up that casts doubt on a connection, at the most: sooner where repeats are due sooner. */
    private static final long DOUBT_US = 500_000;
    private static final int MOST_OWN = 4_000;
    /** us. How often stopped and unneeded connections are looked for. */
    private static final long SWEEP_US = 100_000;

    private final Clock clock;
    private final Timers timers;
    private final NetClient client;
    private final Quota quota;
    private final ReconnectBudget budget;
    private final RandomGenerator random;
    private final Reports reports;
    private final long probeUs;
    private final long doubtUs;
    private final Consumer<String> log;
    private final Map<String, Line> lines = new TreeMap<>();
    private final Map<Long, Leg> byCall = new HashMap<>();
    private final Map<Long, Leg> byId = new HashMap<>();
    private final Map<Long, Probe> probes = new HashMap<>();
    /** Where set-ups that waited for a connection may leave once all input is read. */
    private final Set<Line> ready = new LinkedHashSet<>();
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
     * {@link #attach} gives it its core before anything is listed.
     */
    public Trunk(Vertx vertx, Settings set, int connections, RandomGenerator random, Clock clock, Timers timers,
                 Consumer<String> log) {
        this.random = random;
        quota = new Quota(connections);
        budget = new ReconnectBudget(connections, log);
        this.clock = clock;
        this.timers = timers;
        this.log = log;
        reports = new Reports(set.report().fields());
        probeUs = Math.max(1000, set.bounds().connectTimeoutUs()) * 2;
        long resendUs = set.familyInfo().resendUs();
        doubtUs = resendUs > 0 ? Math.min(DOUBT_US, resendUs) : DOUBT_US;
        client = vertx.createNetClient(new NetClientOptions().setTcpNoDelay(true)
            .setConnectTimeout((int) Math.max(1, set.bounds().connectTimeoutUs() / 1000)));
        timers.after(SWEEP_US, this::sweep);
    }

    private void sweep() {
        timers.after(SWEEP_US, this::sweep);
        lines.values().forEach(line -> line.sweep(clock.nowUs()));
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
        lines.values().forEach(line -> line.send(null, of(RELEASE, id, NORMAL_CLEARING)));
        return true;
    }

    /** Messages that wait for a connection to their server. */
    public int owed() {
        return lines.values().stream().mapToInt(Line::owed).sum();
    }

    /** Bytes that servers were sent and the network has not taken. */
    public long unwritten() {
        return lines.values().stream().mapToLong(Line::unwritten).sum();
    }

    /** Messages from servers since the start. */
    public long taken() {
        return taken;
    }

    /** Closes all connections. */
    public Future<Void> close() {
        return client.close();
    }

    /** Names the core that is told what happens. */
    public void attach(Gatekeeper<byte[]> gatekeeper) {
        core = gatekeeper;
    }

    /**
     * The whole list as it now is: lines to new servers are opened, those of gone ones end. Gives the servers
     * whose calls from before a moment can't stand any more.
     */
    public Map<String, Long> list(List<Endpoint> endpoints) {
        Map<String, Endpoint> now = new TreeMap<>();
        Map<String, Long> dead = new TreeMap<>();
        endpoints.forEach(e -> now.put(e.entry().server(), e));
        lines.values().removeIf(line -> {
            boolean gone = !now.containsKey(line.id);
            if (gone) {
                line.gone();
                dead.put(line.id, Long.MAX_VALUE);
            }
            return gone;
        });
        quota.servers(now.size());
        now.forEach((id, e) -> {
            Line line = lines.get(id);
            if (line != null) {
                if (e.entry().startedAtUs() > line.launchedUs) {
                    dead.put(id, e.entry().startedAtUs());
                }
                line.update(e.address(), e.entry().startedAtUs());
            } else {
                line = new Line(id, e.address(), e.entry().startedAtUs(), client, quota, new ServerReconnects(budget, random),
                    clock, timers, this, log);
                lines.put(id, line);
                line.connect();
            }
            line.drains = e.entry().stage() != Stage.HEALTHY;
        });
        return dead;
    }

    /**
     * Takes back what has not left for a server that drains or is gone; to be called once the core knows of it, and
     * so chooses no such server again. Guards the rule on drains, which counts the first byte that leaves, where the
     * choice was made before: for a set-up that waits for its connection, and for one whose bytes are stuck.
     */
    public void recall() {
        for (Leg leg : List.copyOf(byCall.values())) {
            if (leg.stands || leg.line.takesCalls() || byCall.get(leg.call) != leg) {
                continue;
            }
            if (leg.on == null) {
                forget(leg);
                core.ended(leg.call, leg.copy, State.IGNORED, 0, List.of());
            } else if (leg.on.unwritten() > 0) {
                leg.line.drop(leg.on);
            }
        }
    }

    // ---- from the core

    @Override
    public void setUp(long call, int copy, String server, Offer<byte[]> offer, long waitUs) {
        Line line = lines.get(server);
        if (line == null) {
            core.ended(call, copy, State.IGNORED, 0, List.of());
            return;
        }
        if (line.isUnreachable()) {
            // Guards calls against waiting for a machine that is gone: nothing has left, another server may have it.
            core.ended(call, copy, State.CONNECT_ERROR, 0, List.of());
            return;
        }
        Leg leg = new Leg(call, copy, line, offer,
            TrunkMessage.setUp(offer.id(), offer.band(), offer.item(), Math.max(1, waitUs / 1000), offer.description()));
        byCall.put(call, leg);
        byId.put(offer.id(), leg);
        own.put(offer.id(), true);
        leave(leg);
    }

    /** Sends the set-up, or leaves it to wait for a connection. */
    private void leave(Leg leg) {
        Link link = leg.line.pick(leg.offer.id());
        if (link == null) {
            return;
        }
        leg.on = link;
        leg.sentUs = clock.nowUs();
        link.usedUs = leg.sentUs;
        link.legs.add(leg);
        leg.line.sendSetUp(link, leg.message, () -> leg.sent = true);
    }

    @Override
    public void giveUp(long call, int copy, String server) {
        Leg leg = byCall.get(call);
        if (leg == null || leg.stands) {
            return;
        }
        forget(leg);
        if (leg.on != null && !leg.sent) {
            leg.line.orphan(leg.on);
        }
        if (leg.on == null || !leg.line.isOpen(leg.on)) {
            return;
        }
        leg.line.send(leg.on, of(RELEASE, leg.offer.id(), NORMAL_CLEARING));
        if (leg.on.heardUs < leg.sentUs && clock.nowUs() - leg.sentUs > doubtUs) {
            // Guards against a silent, vanished server: only a new connection tells it from a slow one. And against
            // one whose answer got lost: what else it is to send there may be lost too.
            leg.line.retire(leg.on);
        }
    }

    @Override
    public void release(long call, String server) {
        Leg leg = byCall.get(call);
        if (leg != null) {
            forget(leg);
            leg.line.send(leg.on, of(RELEASE, leg.offer.id(), NORMAL_CLEARING));
        }
    }

    @Override
    public void probe(String server) {
        Line line = lines.get(server);
        if (line == null) {
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
        line.send(null, of(TEST, id, 1));
    }

    @Override
    public void closeIdle(String server) {
        Line line = lines.get(server);
        if (line != null && byCall.values().stream().noneMatch(leg -> leg.line == line)) {
            line.closeIdle();
        }
    }

    // ---- from the lines

    @Override
    public void up(Line line) {
        leaveAfterInput(line);
    }

    /**
     * What waits for a connection with that server leaves once all input is read. Guards against set-ups for callers that have
     * left and to servers that drain: a loop that comes late may hear of the connection before it hears of that.
     */
    private void leaveAfterInput(Line line) {
        if (ready.add(line) && ready.size() == 1) {
            timers.afterInput(this::leaveReady);
        }
    }

    private void leaveReady() {
        List<Line> now = List.copyOf(ready);
        ready.clear();
        for (Line line : now) {
            for (Leg leg : legs(line)) {
                // Else it was given up, or taken back, meanwhile.
                if (leg.on == null && byCall.get(leg.call) == leg) {
                    leave(leg);
                }
            }
        }
    }

    @Override
    public void unreachable(Line line, boolean dead) {
        for (Leg leg : legs(line)) {
            if (leg.on == null && line.takesNow()) {
                // It has waited for another connection than those that are up.
                leaveAfterInput(line);
            } else if (leg.on == null) {
                forget(leg);
                core.ended(leg.call, leg.copy, State.CONNECT_ERROR, 0, List.of());
            }
        }
        if (dead) {
            legs(line).stream().filter(leg -> leg.stands).forEach(this::forget);
            core.died(line.id);
        }
    }

    @Override
    public void lost(Line line, Link link) {
        for (Leg leg : List.copyOf(link.legs)) {
            if (!leg.stands) {
                forget(leg);
                core.ended(leg.call, leg.copy, State.RESET_BY_PEER, 0, List.of());
            }
        }
    }

    @Override
    public void message(Line line, Link on, TrunkMessage m) {
        taken++;
        switch (m.type()) {
            case ANSWER -> answer(line, on, m);
            case RELEASE -> {
                line.send(on, of(RELEASED, m.call(), -1));
                ended(line, on, m);
            }
            case GROUP_STATE -> core.checked(line.id, State.OK, 0, reports.read(m.report()));
            case TEST -> line.send(on, of(TESTED, m.call(), 1));
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

    private void answer(Line line, Link on, TrunkMessage m) {
        Leg leg = byId.get(m.call());
        if (leg != null && leg.line == line && (leg.stands || leg.on != on)) {
            // A second copy, or the late answer to an earlier attempt, which is released already: to release it
            // again would end the present one, as they share the call's id.
            return;
        }
        if (leg != null && leg.line == line) {
            leg.stands = true;
            if (core.stood(leg.call, leg.copy, m.description(), reports.read(m.report()))) {
                return;
            }
            forget(leg);
        }
        // Guards against calls that stand for nobody: the answer crossed the give-up.
        line.send(on, of(RELEASE, m.call(), NORMAL_CLEARING));
    }

    private void ended(Line line, Link on, TrunkMessage m) {
        Leg leg = byId.get(m.call());
        if (leg == null && (m.cause() == NORMAL_CLEARING || m.cause() == TEMPORARY_FAILURE) && own.put(m.call(), true) == null) {
            strays.accept(m.call(), m.cause() == NORMAL_CLEARING ? Ending.NORMAL : Ending.CUT);
        }
        if (leg == null || leg.line != line || !leg.stands && leg.on != on) {
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
                line.cuts.cut(clock.nowUs()).forEach(core::answer);
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
        boolean cutBeforeItsAnswer = m.cause() == TEMPORARY_FAILURE && line.cuts.reset(leg.call, clock.nowUs());
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

    private List<Leg> legs(Line line) {
        List<Leg> result = new ArrayList<>();
        byCall.values().forEach(leg -> {
            if (leg.line == line) {
                result.add(leg);
            }
        });
        result.sort(Comparator.comparingLong(leg -> leg.call));
        return result;
    }

    private void forget(Leg leg) {
        byCall.remove(leg.call, leg);
        byId.remove(leg.offer.id(), leg);
        if (leg.on != null) {
            leg.on.legs.remove(leg);
            if (!leg.stands) {
                leg.on.ended(leg.offer.id());
            }
        }
    }

    /** One call at one server. */
    static final class Leg {
        final long call;
        final int copy;
        final Line line;
        final Offer<byte[]> offer;
        final TrunkMessage message;
        Link on;
        long sentUs;
        /** The network has its bytes. */
        boolean sent;
        boolean stands;

        Leg(long call, int copy, Line line, Offer<byte[]> offer, TrunkMessage message) {
            this.call = call;
            this.copy = copy;
            this.line = line;
            this.offer = offer;
            this.message = message;
        }
    }

    private record Probe(String server, long sentUs, Runnable cancel) {}
}
