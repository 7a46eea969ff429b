package grebewick.lab.faults;

import grebewick.lab.Futures;
import grebewick.lab.StandInNames;
import grebewick.lab.StandInServer;
import grebewick.lab.faults.FaultProxy.OldConnections;
import io.vertx.core.Vertx;
import java.io.IOException;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/** The servers of a play, each behind a fault proxy, and the name service with their list. Faults come from any thread. */
final class SoakServers implements AutoCloseable {
    private static final long HOLD_MS = 9_000;
    private static final int LINES = 1_000;
    private static final long REPLACED_AFTER_MS = 2_000;
    /** ms for which a server that the list has dropped goes on, and after which another comes in its place. */
    private static final long ANSWERS_ON_MS = 400;
    /** ms for which its answers are on their way as the list drops it: before, and after. */
    private static final long ANSWERS_HELD_MS = 150;
    private static final long NEXT_AFTER_MS = 700;
    private static final long BACK_AFTER_MS = 150;
    private static final long RESTARTED_AFTER_MS = 300;
    private static final long START_TOLD_AFTER_MS = 1_000;
    /** us. The drain grace and the margin of sockets. */
    private static final long GRACE_US = 2_050_000;
    /** us. Until a change counts as told; the longer one where the name service cannot be asked as it happens. */
    private static final long TOLD_WITHIN_US = 1_500_000;
    private static final long TOLD_AT_THE_LATEST_US = 7_000_000;
    private static final String ZONE = "east";

    private final Vertx vertx;
    private final long answerMs;
    private final SoakRecords records = new SoakRecords(this);
    private final List<Server> servers = new CopyOnWriteArrayList<>();
    private final Set<Integer> struck = ConcurrentHashMap.newKeySet();
    /** Faults that keep gatekeepers from asking the name service now. */
    private final AtomicInteger discoveryFaults = new AtomicInteger();
    private volatile StandInNames names;
    private volatile int namesPort;

    /** One server: what stands behind its proxy, and what the list says of it. */
    private static final class Server {
        final FaultProxy proxy;
        volatile StandInServer process;
        volatile StandInNames.Host host;
        volatile boolean listed = true;
        /** us. When the list dropped it; 0: it has it. */
        volatile long unlistedUs;
        /** us. When it counts as told that it takes nothing more; 0: it does. */
        volatile long closedUs;

        Server(FaultProxy proxy, StandInServer process, StandInNames.Host host) {
            this.proxy = proxy;
            this.process = process;
            this.host = host;
        }
    }

    SoakServers(Vertx vertx, int count, long answerMs) throws Exception {
        this.vertx = vertx;
        this.answerMs = answerMs;
        for (int i = 0; i < count; i++) {
            add(i, 0);
        }
        names = Futures.onLoop(vertx, () -> new StandInNames(vertx));
        namesPort = Futures.await(names.listen());
        publish();
    }

    private void add(int group, long startedMs) throws Exception {
        int index = servers.size();
        StandInServer process = Futures.onLoop(vertx, () -> process(index));
        FaultProxy proxy = new FaultProxy(Futures.await(process.listen(0)));
        servers.add(new Server(proxy, process, new StandInNames.Host("s-" + index, ZONE, proxy.port(), group, false, startedMs)));
    }

    private StandInServer process(int index) {
        StandInServer process = new StandInServer(vertx, answerMs, HOLD_MS, LINES, records.releases(index));
        process.onCall(id -> records.setUp(id, index), id -> records.answered(id, index));
        return process;
    }

    SoakRecords records() {
        return records;
    }

    int namesPort() {
        return namesPort;
    }

    /** What a gatekeeper that starts now is told. */
    List<StandInNames.Host> known() {
        return servers.stream().filter(server -> server.listed && !server.host.drains()).map(server -> server.host).toList();
    }

    private void publish() throws Exception {
        onLoop(() -> names.list(servers.stream().filter(server -> server.listed).map(server -> server.host).toList()));
    }

    private void onLoop(Runnable step) throws Exception {
        Futures.onLoop(vertx, () -> {
            step.run();
            return null;
        });
    }

    private long toldUs() {
        return nowUs() + (discoveryFaults.get() == 0 ? TOLD_WITHIN_US : TOLD_AT_THE_LATEST_US);
    }

    private static long nowUs() {
        return System.nanoTime() / 1000;
    }

    // ---- for the records, on the event loop

    /** Whether another server that was not struck holds the call beside this one. */
    boolean isHeldElsewhere(long call, int server) {
        for (int other = 0; other < servers.size(); other++) {
            if (other != server && !struck.contains(other) && !struck.contains(server)
                && servers.get(other).process.holds(call)) {
                return true;
            }
        }
        return false;
    }

    /** Whether the list told so long ago that it drains or is gone that nothing new may reach it. */
    boolean mayTakeNothing(int server, long nowUs) {
        long closedUs = servers.get(server).closedUs;
        return closedUs > 0 && nowUs > closedUs + GRACE_US;
    }

    long unlistedUs(int server) {
        return servers.get(server).unlistedUs;
    }

    boolean isStruck(int server) {
        return struck.contains(server);
    }

    // ---- faults

    /** From now on what the server does is no measure of a gatekeeper's pace. */
    void strike(int server) {
        struck.add(server);
    }

    FaultProxy proxy(int server) {
        return servers.get(server).proxy;
    }

    /** From now on, until {@link #discoveryIsBack}, gatekeepers may not reach the name service. */
    void discoveryIsAway() {
        discoveryFaults.incrementAndGet();
    }

    void discoveryIsBack() {
        discoveryFaults.decrementAndGet();
    }

    /** The name service answers nobody, or does again. */
    void silence(boolean silent) throws Exception {
        onLoop(() -> names.silent(silent));
    }

    /** The name service goes on at another port; the one before falls silent. */
    void moveNames() throws Exception {
        StandInNames before = names;
        StandInNames next = Futures.onLoop(vertx, () -> new StandInNames(vertx));
        int port = Futures.await(next.listen());
        onLoop(() -> {
            next.continueAfter(before);
            before.silent(true);
        });
        names = next;
        publish();
        namesPort = port;
    }

    void vanish(int server) throws Exception {
        servers.get(server).proxy.vanish();
        loseCalls(server);
    }

    void die(int server) throws Exception {
        servers.get(server).proxy.die();
        loseCalls(server);
    }

    /** All calls of a server are over at this moment. */
    private void loseCalls(int index) throws Exception {
        onLoop(() -> {
            Set<Long> lost = servers.get(index).process.answeredCalls();
            servers.get(index).process.vanish();
            lost.forEach(id -> records.over(id, index));
        });
    }

    void vanishAndReplace(int server) throws Exception {
        vanish(server);
        Thread.sleep(REPLACED_AFTER_MS);
        servers.get(server).proxy.replace(newProcess(server), OldConnections.RESET_WHEN_WRITTEN_TO);
    }

    private int newProcess(int server) throws Exception {
        StandInServer process = Futures.onLoop(vertx, () -> process(server));
        int port = Futures.await(process.listen(0));
        servers.get(server).process = process;
        return port;
    }

    void restart(int server) throws Exception {
        die(server);
        Thread.sleep(RESTARTED_AFTER_MS);
        long startedMs = System.currentTimeMillis();
        servers.get(server).proxy.restart(newProcess(server));
        Thread.sleep(START_TOLD_AFTER_MS);
        StandInNames.Host before = servers.get(server).host;
        servers.get(server).host = new StandInNames.Host(before.id(), ZONE, before.port(), before.group(), false, startedMs);
        publish();
    }

    private void unlist(int index) throws Exception {
        Server server = servers.get(index);
        server.listed = false;
        server.unlistedUs = nowUs();
        server.closedUs = server.closedUs == 0 ? toldUs() : server.closedUs;
        publish();
        onLoop(() -> records.mayEnd(index));
    }

    /** Another server, under a new id, in the place of one that is gone. */
    private void addInPlaceOf(int server) throws Exception {
        add(servers.get(server).host.group(), System.currentTimeMillis());
        publish();
    }

    /** Its answers come late: they were sent before the list has dropped it, and arrive after. */
    private void unlistWithAnswersOnTheirWay(int server) throws Exception {
        servers.get(server).proxy.holdAnswers();
        Thread.sleep(ANSWERS_HELD_MS);
        unlist(server);
        Thread.sleep(ANSWERS_HELD_MS);
        servers.get(server).proxy.restore();
    }

    void unlistThenVanish(int server) throws Exception {
        unlistWithAnswersOnTheirWay(server);
        Thread.sleep(ANSWERS_ON_MS);
        vanish(server);
        Thread.sleep(NEXT_AFTER_MS - ANSWERS_ON_MS);
        addInPlaceOf(server);
    }

    void unlistAndBack(int server) throws Exception {
        servers.get(server).proxy.holdAnswers();
        Thread.sleep(ANSWERS_HELD_MS);
        unlist(server);
        Thread.sleep(BACK_AFTER_MS);
        servers.get(server).listed = true;
        servers.get(server).closedUs = 0;
        publish();
        Thread.sleep(ANSWERS_HELD_MS);
        servers.get(server).proxy.restore();
        Thread.sleep(TOLD_AT_THE_LATEST_US / 1000);
        vanish(server);
    }

    void drainThenEnd(int server, long drainMs) throws Exception {
        StandInNames.Host before = servers.get(server).host;
        servers.get(server).host = new StandInNames.Host(before.id(), ZONE, before.port(), before.group(), true, 0);
        servers.get(server).closedUs = toldUs();
        publish();
        Thread.sleep(drainMs);
        unlistWithAnswersOnTheirWay(server);
        die(server);
        addInPlaceOf(server);
    }

    @Override
    public void close() throws IOException {
        for (Server server : servers) {
            server.proxy.close();
        }
    }
}
