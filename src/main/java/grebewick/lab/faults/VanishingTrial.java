package grebewick.lab.faults;

import grebewick.lab.Futures;
import grebewick.lab.GatekeeperConfig;
import grebewick.lab.GatekeeperProcess;
import grebewick.lab.StandInCallers;
import grebewick.lab.StandInNames;
import grebewick.lab.StandInServer;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

/**
 * One gatekeeper process between four servers, a name service and callers; a fault strikes two of the servers with calls
 * standing on them. Played in real time, some 25 s.
 */
final class VanishingTrial implements AutoCloseable {
    private static final int SERVERS = 4;
    private static final int STRUCK = 2;
    private static final int CALLS_A_SECOND = 10;
    private static final int ANSWER_MS = 20;
    private static final int HOLD_MS = 40_000;
    private static final int LINES = 1_000;
    private static final int SOCKETS = 512;
    private static final long DEADLINE_MS = 3_000;
    private static final int CALLER_CONNECTIONS = 4;
    /** ms with calls before the fault, to which up to as much again is added by the seed. */
    private static final long BEFORE_MS = 4_000;
    private static final int SPREAD_MS = 1_500;
    private static final long DISCOVERY_SILENT_BEFORE_MS = 1_500;
    private static final long REPLACED_AFTER_MS = 2_000;
    private static final long HANG_MS = 4_000;
    private static final long CUT_MS = 6_000;
    private static final long CALLERS_AWAY_MS = 3_000;
    private static final long RESETS_APART_MS = 1_000;
    /** ms in which set-ups gather whose answers are on their way. */
    private static final long SET_UPS_GATHER_MS = 200;
    private static final int UNLISTED_CALLS_A_SECOND = 40;
    private static final String READ_THAT_GONE = "state=gone-from-list";
    /** ms in which the answers that were on their way arrive. */
    private static final long ANSWERS_ARRIVE_MS = 200;
    /** ms after the fault in which ends are listened for: more than the 8 s that the rule gives. */
    private static final long LISTEN_MS = 12_000;
    private static final long READY_S = 20;
    /** ms between looks for an event. */
    private static final long LOOK_MS = 20;

    private final VanishingFault fault;
    private final long seed;
    private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
    private final List<StandInServer> servers = new ArrayList<>();
    private final List<FaultProxy> proxies = new ArrayList<>();
    private final List<StandInNames.Host> hosts = new ArrayList<>();
    /** Calls that each server has answered, over or not. */
    private final Map<Integer, Set<Long>> answered = new ConcurrentHashMap<>();
    private final List<String> log = new CopyOnWriteArrayList<>();
    private final StandInNames names;
    private final GatekeeperProcess gatekeeper;
    private final StandInCallers callers;

    /** Starts all parties; {@code command} starts a gatekeeper. */
    VanishingTrial(VanishingFault fault, long seed, boolean probes, double probeFee,
                   List<String> command)
        throws Exception {
        this.fault = fault;
        this.seed = seed;
        for (int i = 0; i < SERVERS; i++) {
            Set<Long> calls = ConcurrentHashMap.newKeySet();
            answered.put(i, calls);
            StandInServer server = new StandInServer(vertx, ANSWER_MS, HOLD_MS, LINES, id -> {});
            server.onCall(id -> {}, calls::add);
            servers.add(server);
            FaultProxy proxy = new FaultProxy(Futures.await(server.listen(0)));
            proxies.add(proxy);
            hosts.add(new StandInNames.Host("s-" + i, "east", proxy.port(), i, false, 0));
        }
        names = Futures.onLoop(vertx, () -> new StandInNames(vertx));
        int namesPort = Futures.await(names.listen());
        onLoop(() -> names.list(hosts));
        GatekeeperConfig config = new GatekeeperConfig(0, namesPort, hosts, 1, SOCKETS, probes, probeFee);
        gatekeeper = GatekeeperProcess.launch(command, config, log::add);
        callers = new StandInCallers(vertx, "a", DEADLINE_MS);
    }

    private void onLoop(Runnable step) throws Exception {
        Futures.onLoop(vertx, () -> {
            step.run();
            return null;
        });
    }

    /** Calls come from now on; gives the timer that brings them. */
    private long begin() throws Exception {
        if (gatekeeper.awaitServing(System.nanoTime() + TimeUnit.SECONDS.toNanos(READY_S)).isEmpty()) {
            throw new IOException("the gatekeeper does not serve: " + log);
        }
        Futures.await(Futures.onLoop(vertx, () -> callers.connect(gatekeeper.servedPort(), CALLER_CONNECTIONS)));
        return Futures.onLoop(vertx, this::call);
    }

    /**
     * Plays it without regard to time: the fault strikes as soon as so many calls stand, and the callers of all of these are
     * to be told, for which {@code patienceS} seconds are waited at the most.
     */
    TrialResult playUntilTold(int calls, int patienceS) throws Exception {
        long timer = begin();
        await(patienceS, () -> count(standing()) >= calls);
        Map<Integer, Set<Long>> standing = standing();
        long struckUs = nowUs();
        strike();
        Map<Integer, Set<Long>> struck = fault.isUnlisted() ? stood() : standing;
        await(patienceS, () -> result(struck, struckUs).untold().isEmpty());
        vertx.cancelTimer(timer);
        return result(struck, struckUs);
    }

    private static int count(Map<Integer, Set<Long>> standing) {
        return standing.values().stream().mapToInt(Set::size).sum();
    }

    private static void await(int patienceS, Callable<Boolean> event) throws Exception {
        long endNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(patienceS);
        while (!event.call() && System.nanoTime() < endNs) {
            Thread.sleep(LOOK_MS);
        }
    }

    /** Plays it in real time; gives what became of the calls. */
    TrialResult play() throws Exception {
        long timer = begin();
        Thread.sleep(BEFORE_MS + new Random(seed).nextInt(SPREAD_MS));
        if (!fault.discoveryAnswers) {
            onLoop(() -> names.silent(true));
        }
        Thread.sleep(DISCOVERY_SILENT_BEFORE_MS);
        if (fault.withoutCallers()) {
            vertx.cancelTimer(timer);
            Thread.sleep(DEADLINE_MS);
            onLoop(callers::leave);
        }
        Map<Integer, Set<Long>> standing = standing();
        long struckUs = nowUs();
        strike();
        long leftMs = LISTEN_MS - (nowUs() - struckUs) / 1000;
        Thread.sleep(Math.max(0, leftMs));
        vertx.cancelTimer(timer);
        return result(fault.isUnlisted() ? stood() : standing, struckUs);
    }

    private long call() {
        Random random = new Random(seed);
        int aSecond = fault.isUnlisted() ? UNLISTED_CALLS_A_SECOND : CALLS_A_SECOND;
        return vertx.setPeriodic(1000 / aSecond, t -> callers.call(random.nextInt(SERVERS), nowUs()));
    }

    /** Calls that stand, as their callers and their servers know, by struck server. */
    private Map<Integer, Set<Long>> standing() throws Exception {
        return Futures.onLoop(vertx, () -> {
            Map<Integer, Set<Long>> standing = new TreeMap<>();
            for (int i = 0; i < STRUCK; i++) {
                Set<Long> calls = new HashSet<>(callers.standingCalls());
                calls.retainAll(servers.get(i).answeredCalls());
                standing.put(i, calls);
            }
            return standing;
        });
    }

    /** Calls that a struck server alone has answered and whose callers know of it, be they over or not. */
    private Map<Integer, Set<Long>> stood() throws Exception {
        return Futures.onLoop(vertx, () -> {
            Map<Integer, Set<Long>> stood = new TreeMap<>();
            for (int i = 0; i < STRUCK; i++) {
                Set<Long> calls = new HashSet<>(callers.standingCalls());
                calls.addAll(callers.overUs().keySet());
                calls.retainAll(answered.get(i));
                int at = i;
                answered.forEach((server, others) -> {
                    if (server != at) {
                        calls.removeAll(others);
                    }
                });
                stood.put(i, calls);
            }
            return stood;
        });
    }

    private void strike() throws Exception {
        if (fault.isUnlisted()) {
            leaveListWithSetUpsOut();
        }
        switch (fault) {
            case VANISH, VANISH_DISCOVERY_SILENT -> eachStruck(this::vanish);
            case REPLACED_WITH_RESETS, REPLACED_RESET_WHEN_WRITTEN_TO, REPLACED_OLD_SILENT -> {
                eachStruck(this::vanish);
                Thread.sleep(REPLACED_AFTER_MS);
                eachStruck(this::replace);
            }
            case UNLISTED -> {}
            case UNLISTED_THEN_VANISH -> eachStruck(this::vanish);
            case UNLISTED_THEN_DIE -> eachStruck(this::die);
            case UNLISTED_THEN_HANG -> eachStruck(i -> proxies.get(i).hang());
            case UNLISTED_THEN_REPLACED -> {
                eachStruck(this::vanish);
                eachStruck(this::replace);
                onLoop(() -> names.list(renamed()));
            }
            case DIE -> eachStruck(this::die);
            case HANG_THEN_DIE -> {
                eachStruck(i -> proxies.get(i).hang());
                Thread.sleep(HANG_MS);
                eachStruck(this::die);
            }
            case VANISH_WITHOUT_CALLERS -> {
                eachStruck(this::vanish);
                callersComeBack();
            }
            case DIE_WITHOUT_CALLERS -> {
                eachStruck(this::die);
                callersComeBack();
            }
            case CUT_FOR_6_S -> {
                eachStruck(i -> proxies.get(i).cut());
                Thread.sleep(CUT_MS);
                eachStruck(i -> proxies.get(i).restore());
            }
            case HANG_FOR_6_S -> {
                eachStruck(i -> proxies.get(i).hang());
                Thread.sleep(CUT_MS);
                eachStruck(i -> proxies.get(i).restore());
            }
            case RESETS -> {
                eachStruck(i -> proxies.get(i).reset());
                Thread.sleep(RESETS_APART_MS);
                eachStruck(i -> proxies.get(i).reset());
            }
            default -> throw new IllegalArgumentException(fault.name());
        }
    }

    /** The answers of these set-ups come once the gatekeeper has read that their servers are gone. */
    private void leaveListWithSetUpsOut() throws Exception {
        eachStruck(i -> proxies.get(i).holdAnswers());
        Thread.sleep(SET_UPS_GATHER_MS);
        onLoop(() -> names.list(hosts.subList(STRUCK, SERVERS)));
        await((int) READY_S, () -> log.stream().filter(line -> line.contains(READ_THAT_GONE)).count() == STRUCK);
        eachStruck(i -> proxies.get(i).restore());
        Thread.sleep(ANSWERS_ARRIVE_MS);
    }

    /** The list with new names at the struck servers' addresses. */
    private List<StandInNames.Host> renamed() {
        List<StandInNames.Host> now = new ArrayList<>(hosts);
        for (int i = 0; i < STRUCK; i++) {
            now.set(i, new StandInNames.Host("r-" + i, "east", hosts.get(i).port(), i, false, System.currentTimeMillis()));
        }
        return now;
    }

    private interface Strike {
        void at(int server) throws Exception;
    }

    private void eachStruck(Strike strike) throws Exception {
        for (int i = 0; i < STRUCK; i++) {
            strike.at(i);
        }
    }

    private void vanish(int server) throws Exception {
        proxies.get(server).vanish();
        onLoop(servers.get(server)::vanish);
    }

    private void die(int server) throws Exception {
        proxies.get(server).die();
        onLoop(servers.get(server)::vanish);
    }

    private void replace(int server) throws Exception {
        StandInServer process = new StandInServer(vertx, ANSWER_MS, HOLD_MS, LINES, id -> {});
        proxies.get(server).replace(Futures.await(process.listen(0)), fault.replacement());
    }

    private void callersComeBack() throws Exception {
        Thread.sleep(CALLERS_AWAY_MS);
        Futures.await(Futures.onLoop(vertx, () -> callers.connect(gatekeeper.servedPort(), CALLER_CONNECTIONS)));
    }

    private TrialResult result(Map<Integer, Set<Long>> standing, long struckUs) throws Exception {
        return Futures.onLoop(vertx, () -> {
            List<Long> toldUs = new ArrayList<>();
            List<Long> untold = new ArrayList<>();
            int calls = 0;
            for (Set<Long> each : standing.values()) {
                for (long id : each) {
                    calls++;
                    Long atUs = callers.overUs().get(id);
                    if (atUs == null) {
                        untold.add(id);
                    } else {
                        toldUs.add(atUs - struckUs);
                    }
                }
            }
            return new TrialResult(fault, seed, calls, toldUs, untold, gatekeeper.isAlive(), List.copyOf(log));
        });
    }

    private static long nowUs() {
        return System.nanoTime() / 1000;
    }

    @Override
    public void close() throws IOException {
        gatekeeper.close();
        for (FaultProxy proxy : proxies) {
            proxy.close();
        }
        vertx.close();
    }
}
