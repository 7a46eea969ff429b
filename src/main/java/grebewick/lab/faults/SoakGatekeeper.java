package grebewick.lab.faults;

import grebewick.lab.Futures;
import grebewick.lab.GatekeeperConfig;
import grebewick.lab.GatekeeperProcess;
import grebewick.lab.StandInCallers;
import grebewick.lab.faults.RuleCheck.Absence;
import grebewick.lab.faults.RuleCheck.Finding;
import grebewick.lab.faults.RuleCheck.Outage;
import grebewick.lab.faults.RuleCheck.Rule;
import io.vertx.core.Vertx;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** One gatekeeper of a play, through its restarts, with its callers. Signals come from any thread, one series at a time. */
final class SoakGatekeeper implements AutoCloseable {
    private static final int SOCKETS = 512;
    private static final int CONNECTIONS = 3;
    private static final int CROWD_CONNECTIONS = 40;
    private static final long READY_S = 30;
    private static final int EXIT_S = 10;
    /** ms. New requests come for so long after SIGTERM, before a process has to be given the longest deadline. */
    private static final long STILL_COMING_MS = 700;
    private static final long LONGEST_DEADLINE_MS = 3_000;
    /** us. A set-up that crosses the end of its connection within this time is sent again by its caller. */
    private static final long CROSSING_US = 50_000;
    private static final int RELOADS = 4;
    private static final long RELOADS_APART_MS = 150;
    private static final long SIGNALS_APART_MS = 30;

    private final int index;
    private final Vertx vertx;
    private final List<String> command;
    private final Consumer<String> log;
    private final SoakServers servers;
    private final StandInCallers callers;
    private final long deadlineMs;
    private final List<Outage> outages = new CopyOnWriteArrayList<>();
    private final List<Absence> absences = new CopyOnWriteArrayList<>();
    private final List<Finding> crashes = new CopyOnWriteArrayList<>();
    private GatekeeperConfig config;
    private volatile GatekeeperProcess process;

    SoakGatekeeper(int index, Vertx vertx, List<String> command, SoakServers servers, StandInCallers callers, long deadlineMs,
                   Consumer<String> log)
        throws IOException {
        this.index = index;
        this.vertx = vertx;
        this.command = command;
        this.log = log;
        this.servers = servers;
        this.callers = callers;
        this.deadlineMs = deadlineMs;
        config = new GatekeeperConfig(GatekeeperProcess.freePort(), servers.namesPort(), servers.known(), 1, SOCKETS)
            .withDeadline(deadlineMs);
        launch();
    }

    private void launch() throws IOException {
        process = GatekeeperProcess.launch(command, config, line -> log.accept("n" + index + " " + line));
    }

    StandInCallers callers() {
        return callers;
    }

    List<Outage> outages() {
        return outages;
    }

    List<Absence> absences() {
        return absences;
    }

    /** What it did against the rules on processes, at the end of the play. */
    List<Finding> crashes() {
        if (!process.isAlive()) {
            crashes.add(new Finding(Rule.CRASH, 0, "gatekeeper " + index + " does not run at the end"));
        }
        return crashes;
    }

    private static long nowUs() {
        return System.nanoTime() / 1000;
    }

    /** Waits until it serves, and connects its callers. */
    void awaitServing() throws Exception {
        if (process.awaitServing(System.nanoTime() + TimeUnit.SECONDS.toNanos(READY_S)).isEmpty()) {
            throw new IOException("gatekeeper " + index + " does not serve");
        }
        connect(CONNECTIONS);
    }

    private void connect(int connections) throws Exception {
        Futures.await(Futures.onLoop(vertx, () -> callers.connect(config.port(), connections)));
    }

    /** Many more connections of callers; while it does not run they find nobody. */
    void crowd() throws Exception {
        Futures.await(Futures.onLoop(vertx, () -> callers.connect(config.port(), CROWD_CONNECTIONS).otherwiseEmpty()));
    }

    /** Its callers close their connections and come back. */
    synchronized void leaveAndReturn(long awayMs) throws Exception {
        long fromUs = nowUs();
        Futures.onLoop(vertx, () -> {
            callers.leave();
            return null;
        });
        Thread.sleep(awayMs);
        connect(CONNECTIONS);
        absences.add(new Absence(index, fromUs, nowUs()));
    }

    /** Several configurations in quick succession, each of which moves the name service. */
    synchronized void reloads() throws Exception {
        for (int i = 0; i < RELOADS; i++) {
            servers.moveNames();
            config = config.withList(servers.namesPort(), config.known());
            process.reload(config);
            Thread.sleep(RELOADS_APART_MS);
        }
    }

    /** The others are told where the name service is now. */
    synchronized void follow() throws Exception {
        config = config.withList(servers.namesPort(), config.known());
        process.reload(config);
    }

    /** SIGTERM, alone or amid others, SIGKILL as early as the terms allow, and a new start. */
    synchronized void terminate(boolean series) throws Exception {
        long toldUs = nowUs();
        long killNs = System.nanoTime()
            + TimeUnit.MILLISECONDS.toNanos(STILL_COMING_MS + Math.min(deadlineMs, LONGEST_DEADLINE_MS));
        for (String signal : series ? List.of("HUP", "TERM", "HUP", "TERM") : List.of("TERM")) {
            process.signal(signal);
            if (series) {
                Thread.sleep(SIGNALS_APART_MS);
            }
        }
        process.awaitExitUntil(killNs);
        restartAfter(toldUs, nowUs() - CROSSING_US);
    }

    /** SIGKILL and a new start. */
    synchronized void kill() throws Exception {
        long toldUs = nowUs();
        restartAfter(toldUs, toldUs - deadlineMs * 1000);
    }

    /** {@code excusedUs}: from when requests may have no answer. */
    private void restartAfter(long toldUs, long excusedUs) throws Exception {
        process.kill();
        if (!process.awaitExit(EXIT_S)) {
            crashes.add(new Finding(Rule.CRASH, 0, "gatekeeper " + index + " does not end"));
        }
        process.close();
        config = config.withList(servers.namesPort(), servers.known());
        launch();
        awaitServing();
        outages.add(new Outage(index, toldUs, excusedUs, nowUs()));
    }

    @Override
    public void close() throws IOException {
        process.kill();
        process.close();
    }
}
