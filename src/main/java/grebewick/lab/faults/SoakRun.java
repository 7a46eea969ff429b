package grebewick.lab.faults;

import grebewick.lab.Futures;
import grebewick.lab.StandInCallers;
import grebewick.lab.StandInCallers.Manner;
import grebewick.lab.faults.RuleCheck.Finding;
import grebewick.lab.faults.RuleCheck.Rule;
import grebewick.lab.faults.SoakPlan.Event;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/** Plays one plan against real gatekeeper processes, in real time, some 30 s; the records of all parties are checked. */
final class SoakRun implements AutoCloseable {
    private static final int CALLS_A_SECOND = 20;
    /** Calls at once, for each usual one, while there is a crowd. */
    private static final int CROWD_CALLS = 6;
    /** Of so many callers one gives up early, and one writes its set-up in two pieces. */
    private static final int RUDE = 12;
    private static final int SLOW = 10;
    private static final int LONGEST_PAUSE_MS = 120;
    /** ms with calls; no fault begins later, and none lasts longer than the time after it. */
    private static final long CALLS_MS = 15_000;
    /** ms after the last call until all ends have been told: its time, the longest cut and the 8 s of the rule. */
    private static final long AFTER_MS = 15_000;
    /** s. For faults that have not ended by then. */
    private static final long MOST_LATE_S = 60;
    private static final long CALL_IDS = 1_000_000;

    private final SoakPlan plan;
    private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
    private final SoakServers servers;
    private final List<SoakGatekeeper> gatekeepers = new ArrayList<>();
    private final List<Finding> notPlayed = new CopyOnWriteArrayList<>();
    private final List<String> log = new CopyOnWriteArrayList<>();
    private final ExecutorService events = Executors.newCachedThreadPool();
    private volatile boolean isCrowded;

    /** Starts all parties; {@code command} starts a gatekeeper. */
    SoakRun(SoakPlan plan, List<String> command) throws Exception {
        this.plan = plan;
        servers = new SoakServers(vertx, plan.servers(), plan.answerMs());
        for (int i = 0; i < plan.gatekeepers(); i++) {
            StandInCallers callers = new StandInCallers(vertx, "a", plan.deadlineMs());
            callers.observe(servers.records().callersOf(i), (i + 1) * CALL_IDS);
            gatekeepers.add(new SoakGatekeeper(i, vertx, command, servers, callers, plan.deadlineMs(), log::add));
        }
    }

    private static long nowUs() {
        return System.nanoTime() / 1000;
    }

    /** Plays it, and gives what broke a rule. */
    List<Finding> play() throws Exception {
        for (SoakGatekeeper gatekeeper : gatekeepers) {
            gatekeeper.awaitServing();
        }
        Random random = new Random(plan.seed());
        long timer = Futures.onLoop(vertx, () -> vertx.setPeriodic(1000 / CALLS_A_SECOND, t -> callAll(random)));
        long startUs = nowUs();
        for (Event event : plan.events()) {
            events.submit(() -> strikeAt(event, startUs));
        }
        sleepUntil(startUs, CALLS_MS);
        vertx.cancelTimer(timer);
        sleepUntil(startUs, CALLS_MS + AFTER_MS);
        events.shutdown();
        if (!events.awaitTermination(MOST_LATE_S, TimeUnit.SECONDS)) {
            notPlayed.add(new Finding(Rule.CRASH, 0, "a fault has no end"));
        }
        return Futures.onLoop(vertx, this::findings);
    }

    private void callAll(Random random) {
        for (SoakGatekeeper gatekeeper : gatekeepers) {
            for (int i = isCrowded ? CROWD_CALLS : 1; i > 0; i--) {
                gatekeeper.callers().call(random.nextInt(plan.servers()), nowUs(), manner(random));
            }
        }
    }

    private Manner manner(Random random) {
        long cancelMs = random.nextInt(RUDE) == 0 ? 1 + random.nextInt((int) plan.deadlineMs() / 2) : 0;
        long pauseMs = random.nextInt(SLOW) == 0 ? 1 + random.nextInt(LONGEST_PAUSE_MS) : 0;
        return new Manner(cancelMs, pauseMs);
    }

    private List<Finding> findings() {
        List<Finding> findings = new ArrayList<>(notPlayed);
        gatekeepers.forEach(gatekeeper -> findings.addAll(gatekeeper.crashes()));
        RuleCheck check = new RuleCheck(gatekeepers.stream().flatMap(each -> each.outages().stream()).toList(),
            gatekeepers.stream().flatMap(each -> each.absences().stream()).toList(), nowUs());
        findings.addAll(check.check(servers.records().all()));
        return findings;
    }

    private static void sleepUntil(long startUs, long ms) throws InterruptedException {
        Thread.sleep(Math.max(0, ms - (nowUs() - startUs) / 1000));
    }

    private Void strikeAt(Event event, long startUs) throws Exception {
        sleepUntil(startUs, event.atMs());
        try {
            if (event.kind().isOfServer()) {
                servers.strike(event.target());
                strikeServer(event);
            } else {
                strike(event);
            }
        } catch (Exception e) {
            notPlayed.add(new Finding(Rule.CRASH, 0, "the fault " + event + " could not be played: " + e));
        }
        return null;
    }

    private void strikeServer(Event event) throws Exception {
        int target = event.target();
        switch (event.kind()) {
            case VANISH -> servers.vanish(target);
            case VANISH_AND_REPLACE -> servers.vanishAndReplace(target);
            case DIE -> servers.die(target);
            case RESTART -> servers.restart(target);
            case UNLIST -> servers.unlistThenVanish(target);
            case UNLIST_AND_BACK -> servers.unlistAndBack(target);
            case DRAIN -> servers.drainThenEnd(target, event.forMs());
            case CUT -> {
                servers.proxy(target).cut();
                Thread.sleep(event.forMs());
                servers.proxy(target).restore();
            }
            case HANG -> {
                servers.proxy(target).hang();
                Thread.sleep(event.forMs());
                servers.proxy(target).restore();
            }
            case RESETS -> servers.proxy(target).reset();
            default -> throw new IllegalArgumentException(event.kind().name());
        }
    }

    private void strike(Event event) throws Exception {
        switch (event.kind()) {
            case DISCOVERY_SILENT -> {
                servers.discoveryIsAway();
                servers.silence(true);
                Thread.sleep(event.forMs());
                servers.silence(false);
                servers.discoveryIsBack();
            }
            case RELOADS -> {
                servers.discoveryIsAway();
                gatekeepers.get(event.target()).reloads();
                for (SoakGatekeeper gatekeeper : gatekeepers) {
                    gatekeeper.follow();
                }
                servers.discoveryIsBack();
            }
            case GATEKEEPER_TERM -> gatekeepers.get(event.target()).terminate(false);
            case ROLLING_TERM -> {
                for (SoakGatekeeper gatekeeper : gatekeepers) {
                    gatekeeper.terminate(true);
                }
            }
            case GATEKEEPER_KILL -> gatekeepers.get(event.target()).kill();
            case CALLERS_AWAY -> gatekeepers.get(event.target()).leaveAndReturn(event.forMs());
            case CROWD -> {
                for (SoakGatekeeper gatekeeper : gatekeepers) {
                    gatekeeper.crowd();
                }
                isCrowded = true;
                Thread.sleep(event.forMs());
                isCrowded = false;
            }
            default -> throw new IllegalArgumentException(event.kind().name());
        }
    }

    /** Calls that were played. */
    int calls() throws Exception {
        return Futures.onLoop(vertx, () -> servers.records().all().size());
    }

    /** Calls that were over while their callers were there. */
    long ended() throws Exception {
        return Futures.onLoop(vertx,
            () -> servers.records().all().stream().filter(call -> call.stood() && call.overUs > 0).count());
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
        for (SoakGatekeeper each : gatekeepers) {
            each.close();
        }
        servers.close();
        vertx.close();
    }
}
