package grebewick.lab.faults;

import grebewick.lab.Futures;
import grebewick.lab.GatekeeperConfig;
import grebewick.lab.GatekeeperProcess;
import grebewick.lab.StandInCallers;
import grebewick.lab.StandInNames;
import grebewick.lab.StandInServer;
import grebewick.lab.faults.FaultProxy.OldConnections;
import grebewick.lab.faults.RuleCheck.Finding;
import grebewick.lab.faults.RuleCheck.Outage;
import grebewick.lab.faults.RuleCheck.Rule;
import grebewick.lab.faults.SoakPlan.Event;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/** Plays one plan against real gatekeeper processes, in real time, some 30 s; the records of all parties are checked. */
final class SoakRun implements AutoCloseable {
    private static final int CALLS_A_SECOND = 8;
    private static final int ANSWER_MS = 20;
    private static final int HOLD_MS = 9_000;
    private static final int LINES = 1_000;
    private static final int SOCKETS = 512;
    private static final long DEADLINE_MS = 3_000;
    private static final int CALLER_CONNECTIONS = 3;
    private static final long REPLACED_AFTER_MS = 2_000;
    /** ms with calls; no fault begins later, and none lasts longer than the time after it. */
    private static final long CALLS_MS = 15_000;
    /** ms after the last call until all ends have been told: its time, the longest cut and the 8 s of the rule. */
    private static final long AFTER_MS = 12_000;
    private static final long READY_S = 30;
    private static final long CALL_IDS = 1_000_000;
    private static final int EXIT_S = 10;

    private final SoakPlan plan;
    private final List<String> command;
    private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
    private final List<StandInServer> servers = new ArrayList<>();
    private final List<FaultProxy> proxies = new ArrayList<>();
    private final StandInNames names;
    private final List<GatekeeperConfig> configs = new ArrayList<>();
    private final GatekeeperProcess[] gatekeepers;
    private final List<StandInCallers> callers = new ArrayList<>();
    private final Map<Long, CallRecord> calls = new HashMap<>();
    private final Set<Integer> struck = ConcurrentHashMap.newKeySet();
    private final List<Outage> outages = new CopyOnWriteArrayList<>();
    private final List<Finding> crashes = new CopyOnWriteArrayList<>();
    private final List<String> log = new CopyOnWriteArrayList<>();
    private final ExecutorService events = Executors.newCachedThreadPool();

    /** Starts all parties; {@code command} starts a gatekeeper. */
    SoakRun(SoakPlan plan, List<String> command) throws Exception {
        this.plan = plan;
        this.command = command;
        gatekeepers = new GatekeeperProcess[plan.gatekeepers()];
        List<StandInNames.Host> hosts = new ArrayList<>();
        for (int i = 0; i < plan.servers(); i++) {
            servers.add(server(i));
            FaultProxy proxy = new FaultProxy(Futures.await(servers.get(i).listen(0)));
            proxies.add(proxy);
            hosts.add(new StandInNames.Host("s-" + i, "east", proxy.port(), i, false, 0));
        }
        names = Futures.onLoop(vertx, () -> new StandInNames(vertx));
        int namesPort = Futures.await(names.listen());
        onLoop(() -> names.list(hosts));
        for (int i = 0; i < gatekeepers.length; i++) {
            configs.add(new GatekeeperConfig(GatekeeperProcess.freePort(), namesPort, hosts, 1, SOCKETS));
            StandInCallers each = new StandInCallers(vertx, "a", DEADLINE_MS);
            each.observe(observer(i), (i + 1) * CALL_IDS);
            callers.add(each);
            gatekeepers[i] = launch(i);
        }
    }

    private GatekeeperProcess launch(int index) throws IOException {
        return GatekeeperProcess.launch(command, configs.get(index), line -> log.add("n" + index + " " + line));
    }

    private void onLoop(Runnable step) throws Exception {
        Futures.onLoop(vertx, () -> {
            step.run();
            return null;
        });
    }

    private static long nowUs() {
        return System.nanoTime() / 1000;
    }

    // ---- records, on the event loop

    private StandInCallers.Observer observer(int gatekeeper) {
        return new StandInCallers.Observer() {
            @Override
            public void asked(long id) {
                calls.put(id, new CallRecord(id, gatekeeper, nowUs()));
            }

            @Override
            public void finalAnswer(long id, int status) {
                CallRecord call = calls.get(id);
                call.finalAnswers++;
                if (call.finalAnswers == 1) {
                    call.status = status;
                    call.answeredUs = nowUs();
                }
            }

            @Override
            public void gaveUp(long id) {
                calls.get(id).gaveUpUs = nowUs();
            }

            @Override
            public void over(long id) {
                CallRecord call = calls.get(id);
                if (call != null && call.toldUs == 0) {
                    call.toldUs = nowUs();
                }
            }
        };
    }

    private StandInServer server(int index) {
        StandInServer server = new StandInServer(vertx, ANSWER_MS, HOLD_MS, LINES, id -> over(id, index));
        server.onCall(id -> setUp(id, index), id -> answered(id, index));
        return server;
    }

    /** What a struck server holds may have been given up without its hearing so. */
    private void setUp(long id, int server) {
        CallRecord call = calls.get(id);
        for (int other = 0; call != null && other < servers.size(); other++) {
            call.heldTwice |= other != server && !struck.contains(other) && !struck.contains(server)
                && servers.get(other).holds(id);
        }
    }

    private void answered(long id, int server) {
        CallRecord call = calls.get(id);
        if (call == null) {
            return;
        }
        if (call.status == 0) {
            call.server = server;
        }
    }

    private void over(long id, int server) {
        CallRecord call = calls.get(id);
        if (call != null && call.server == server && call.overUs == 0) {
            call.overUs = nowUs();
        }
    }

    // ---- the play

    /** Plays it, and gives what broke a rule. */
    List<Finding> play() throws Exception {
        for (int i = 0; i < gatekeepers.length; i++) {
            awaitServing(i);
            connect(i);
        }
        Random random = new Random(plan.seed());
        long timer = Futures.onLoop(vertx, () -> vertx.setPeriodic(1000 / CALLS_A_SECOND, t -> {
            for (StandInCallers each : callers) {
                each.call(random.nextInt(plan.servers()), nowUs());
            }
        }));
        long startUs = nowUs();
        for (Event event : plan.events()) {
            events.submit(() -> strikeAt(event, startUs));
        }
        sleepUntil(startUs, CALLS_MS);
        vertx.cancelTimer(timer);
        sleepUntil(startUs, CALLS_MS + AFTER_MS);
        for (int i = 0; i < gatekeepers.length; i++) {
            if (!gatekeepers[i].isAlive()) {
                crashes.add(new Finding(Rule.CRASH, 0, "gatekeeper " + i + " does not run at the end"));
            }
        }
        return Futures.onLoop(vertx, () -> {
            List<Finding> findings = new ArrayList<>(crashes);
            findings.addAll(new RuleCheck(outages, nowUs()).check(calls.values()));
            return findings;
        });
    }

    private void awaitServing(int index) throws Exception {
        if (gatekeepers[index].awaitServing(System.nanoTime() + TimeUnit.SECONDS.toNanos(READY_S)).isEmpty()) {
            throw new IOException("gatekeeper " + index + " does not serve: " + log);
        }
    }

    private void connect(int index) throws Exception {
        Futures.await(Futures.onLoop(vertx, () -> callers.get(index).connect(configs.get(index).port(), CALLER_CONNECTIONS)));
    }

    private static void sleepUntil(long startUs, long ms) throws InterruptedException {
        Thread.sleep(Math.max(0, ms - (nowUs() - startUs) / 1000));
    }

    private Void strikeAt(Event event, long startUs) throws Exception {
        sleepUntil(startUs, event.atMs());
        try {
            strike(event);
        } catch (Exception e) {
            crashes.add(new Finding(Rule.CRASH, 0, "the fault " + event + " could not be played: " + e));
        }
        return null;
    }

    private void strike(Event event) throws Exception {
        int target = event.target();
        if (event.kind().isOfServer()) {
            struck.add(target);
        }
        switch (event.kind()) {
            case VANISH -> vanish(target);
            case VANISH_AND_REPLACE -> {
                vanish(target);
                Thread.sleep(REPLACED_AFTER_MS);
                replace(target);
            }
            case DIE -> {
                proxies.get(target).die();
                loseCalls(target);
            }
            case CUT -> {
                proxies.get(target).cut();
                Thread.sleep(event.forMs());
                proxies.get(target).restore();
            }
            case HANG -> {
                proxies.get(target).hang();
                Thread.sleep(event.forMs());
                proxies.get(target).restore();
            }
            case RESETS -> proxies.get(target).reset();
            case DISCOVERY_SILENT -> {
                onLoop(() -> names.silent(true));
                Thread.sleep(event.forMs());
                onLoop(() -> names.silent(false));
            }
            case GATEKEEPER_TERM -> restart(target, false);
            case GATEKEEPER_KILL -> restart(target, true);
            case CALLERS_AWAY -> {
                onLoop(callers.get(target)::leave);
                Thread.sleep(event.forMs());
                connect(target);
            }
            default -> throw new IllegalArgumentException(event.kind().name());
        }
    }

    private void vanish(int server) throws Exception {
        proxies.get(server).vanish();
        loseCalls(server);
    }

    /** All calls of a server are over at this moment. */
    private void loseCalls(int index) throws Exception {
        onLoop(() -> {
            Set<Long> lost = servers.get(index).answeredCalls();
            servers.get(index).vanish();
            lost.forEach(id -> over(id, index));
        });
    }

    private void replace(int index) throws Exception {
        StandInServer process = Futures.onLoop(vertx, () -> server(index));
        int port = Futures.await(process.listen(0));
        onLoop(() -> servers.set(index, process));
        proxies.get(index).replace(port, OldConnections.RESET_WHEN_WRITTEN_TO);
    }

    private void restart(int index, boolean kill) throws Exception {
        long fromUs = nowUs();
        if (kill) {
            gatekeepers[index].kill();
        } else {
            gatekeepers[index].terminate();
        }
        if (!gatekeepers[index].awaitExit(EXIT_S)) {
            crashes.add(new Finding(Rule.CRASH, 0, "gatekeeper " + index + " did not end in time"));
            gatekeepers[index].kill();
            gatekeepers[index].awaitExit(EXIT_S);
        }
        gatekeepers[index] = launch(index);
        awaitServing(index);
        connect(index);
        outages.add(new Outage(index, fromUs, nowUs()));
    }

    /** Calls that were played. */
    int calls() throws Exception {
        return Futures.onLoop(vertx, calls::size);
    }

    /** Calls that were over while their callers were there. */
    long ended() throws Exception {
        return Futures.onLoop(vertx, () -> calls.values().stream().filter(call -> call.stood() && call.overUs > 0).count());
    }

    /** All lines of the gatekeepers' logs. */
    List<String> log() {
        return List.copyOf(log);
    }

    /** Lines of the gatekeepers' logs that name a call. */
    List<String> log(long call) {
        return log.stream().filter(line -> line.contains(String.format("call=%016x", call))).toList();
    }

    @Override
    public void close() throws IOException {
        events.shutdownNow();
        for (GatekeeperProcess each : gatekeepers) {
            each.kill();
            each.close();
        }
        for (FaultProxy proxy : proxies) {
            proxy.close();
        }
        vertx.close();
    }
}
