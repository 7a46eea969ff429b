package grebewick.lab.fleet;

import grebewick.config.Address;
import grebewick.lab.StandInFleet;
import grebewick.lab.StandInNames.Host;
import grebewick.lab.fleet.ChangeTimes.Holders;
import grebewick.lab.measure.MachineState;
import grebewick.lab.measure.Traffic;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.IntPredicate;
import java.util.function.Predicate;

/** One size of a hollow fleet: its processes, and the parts of its run one after another. Every wait is bounded. */
final class FleetRun implements AutoCloseable {
    private static final int START_SERVER_PORT = 7_000;
    private static final int LOOK_AGAIN_MS = 500;
    private static final int CELL_THAT_GOES = 0;
    private static final int KILLED = 0;

    private final FleetOptions options;
    private final int count;
    private final FleetPlan plan;
    private final ControlPlane control;
    private final Consumer<FleetReading> results;
    private final List<WorkerProcess> workers = new ArrayList<>();
    private final Map<Integer, Host> hosts = new TreeMap<>();
    private TrafficMeter meter;
    private WorkerReport empty;
    private int nextPlace;

    /**
     * Starts the processes; no gatekeeper runs yet.
     *
     * @param listed servers
     * @param count gatekeepers
     * @param results takes each part's reading when it is over
     */
    FleetRun(FleetOptions options, int listed, int count, Consumer<FleetReading> results) throws Exception {
        this.options = options;
        this.count = count;
        this.results = results;
        plan = FleetPlan.fitting(listed, options.services, options.called, options.regions);
        List<Host> first = StandInFleet.hosts(listed, List.of(START_SERVER_PORT));
        for (int place = 0; place < listed; place++) {
            hosts.put(place, first.get(place));
        }
        control = options.distribution.controlPlane(options);
        try {
            prepare();
        } catch (Exception e) {
            close();
            throw e;
        }
    }

    private void prepare() throws Exception {
        List<Address> machines = control.open(plan, hosts);
        control.awaitReady();
        for (int i = 0; i < options.workers; i++) {
            workers.add(startWorker(i, machines));
        }
        meter = new TrafficMeter(control, machines.size());
        empty = ask("collect");
    }

    private WorkerProcess startWorker(int number, List<Address> machines) throws IOException {
        int from = number * count / options.workers;
        int until = (number + 1) * count / options.workers;
        List<String> jvm = new ArrayList<>(options.workerJvm);
        jvm.add("-Xmx" + options.heapMb + "m");
        return new WorkerProcess(jvm, List.of("--distribution=" + options.distribution,
            "--machines=" + String.join(",", machines.stream().map(Address::toString).toList()), "--first=" + from,
            "--gatekeepers=" + (until - from), "--listed=" + plan.servers(), "--services=" + plan.services(),
            "--called=" + plan.called(), "--regions=" + plan.regions(), "--in-use=" + options.inUse,
            "--module=" + options.hasModule, "--spread-ms=" + options.spreadMs, "--loops=" + options.loops,
            "--most-seconds=" + FleetPart.mostSecondsOfAll(options)));
    }

    /** Runs all parts that are wanted. */
    void all() throws Exception {
        for (FleetPart part : options.parts) {
            run(part);
        }
    }

    private void run(FleetPart part) throws Exception {
        switch (part) {
            case START, RESTART -> start(part);
            case IDLE -> idle();
            case CHANGES -> changes();
            case BURST -> burst();
            case ZONE -> zone();
            case KILL -> kill();
            case SPLIT -> split();
            default -> throw new IllegalStateException("no part: " + part);
        }
    }

    private void start(FleetPart part) throws Exception {
        Reading reading = new Reading(part);
        ask("start");
        reading.end(await(now -> now.current() >= count), Map.of());
    }

    private void idle() throws Exception {
        Reading reading = new Reading(FleetPart.IDLE);
        Thread.sleep(TimeUnit.SECONDS.toMillis(options.idleS));
        reading.end(ask("report"), Map.of());
    }

    private void changes() throws Exception {
        Reading reading = new Reading(FleetPart.CHANGES);
        Map<Long, Integer> made = makeChanges(options.changes);
        reading.end(awaitHeld(made), made);
    }

    private void burst() throws Exception {
        Reading reading = new Reading(FleetPart.BURST);
        Map<Long, Integer> made = new HashMap<>();
        long startedMs = nextMoment();
        for (int i = 0; i < Math.min(options.burst, plan.servers()); i++) {
            restart(nextPlace(place -> true), startedMs, made);
        }
        control.publish(hosts);
        reading.end(awaitHeld(made), made);
    }

    /** All servers of a cell leave the list, and come back as new ones. */
    private void zone() throws Exception {
        Reading reading = new Reading(FleetPart.ZONE);
        Map<Integer, Host> gone = new TreeMap<>(hosts);
        gone.keySet().removeIf(place -> !plan.isOfCell(place, CELL_THAT_GOES));
        hosts.keySet().removeAll(gone.keySet());
        control.publish(hosts);
        Thread.sleep(TimeUnit.SECONDS.toMillis(options.goneS));
        hosts.putAll(gone);
        Map<Long, Integer> made = new HashMap<>();
        long startedMs = nextMoment();
        for (int place : gone.keySet()) {
            restart(place, startedMs, made);
        }
        control.publish(hosts);
        reading.end(awaitHeld(made), made);
    }

    /** Changes are made while a machine is down; where there are others, they are waited for before it comes back empty. */
    private void kill() throws Exception {
        Reading reading = new Reading(FleetPart.KILL);
        control.kill(KILLED);
        Map<Long, Integer> made = makeChanges(options.changes);
        if (control.hasReplicas()) {
            awaitHeld(made);
        }
        control.restart(KILLED);
        reading.end(awaitHeld(made), made);
    }

    private void split() throws Exception {
        if (plan.regions() == 1 || !control.hasReplicas()) {
            System.out.println("regions split: left out, as there are none to split");
            return;
        }
        Reading reading = new Reading(FleetPart.SPLIT);
        control.split();
        Map<Long, Integer> made = makeChanges(Math.max(plan.regions(), options.splitS * 1000 / options.everyMs));
        control.meet();
        reading.metAtUs = nowUs();
        reading.end(awaitHeld(made), made);
    }

    /** So many servers start anew, one after another, in each region in turn; gives the holders expected of each. */
    private Map<Long, Integer> makeChanges(int number) throws Exception {
        Map<Long, Integer> made = new HashMap<>();
        for (int i = 0; i < number; i++) {
            int region = i % plan.regions();
            restart(nextPlace(place -> plan.regionOfServer(place) == region), nextMoment(), made);
            control.publish(hosts);
            Thread.sleep(options.everyMs);
        }
        return made;
    }

    private void restart(int place, long startedMs, Map<Long, Integer> made) {
        Host before = hosts.get(place);
        hosts.put(place, new Host(before.id(), before.zone(), before.port(), before.group(), false, startedMs));
        made.merge(startedMs * 1000, options.distribution.holders(plan, place, count), Integer::sum);
    }

    /** The next server of the list that is wanted and that any gatekeeper calls; any other one after a whole round. */
    private int nextPlace(IntPredicate wanted) {
        for (int tried = 0; tried < plan.servers(); tried++) {
            int place = nextPlace++ % plan.servers();
            if (wanted.test(place) && options.distribution.holders(plan, place, count) > 0) {
                return place;
            }
        }
        return nextPlace++ % plan.servers();
    }

    private WorkerReport awaitHeld(Map<Long, Integer> made) throws Exception {
        return await(now -> now.heldByAll(made).size() == made.size());
    }

    private WorkerReport await(Predicate<WorkerReport> done) throws Exception {
        long endNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(options.patienceS);
        WorkerReport now = ask("report");
        while (!done.test(now) && System.nanoTime() < endNs) {
            Thread.sleep(LOOK_AGAIN_MS);
            now = ask("report");
        }
        return now;
    }

    /** Sends a command to all workers; gives their reports added up. */
    private WorkerReport ask(String command) throws IOException {
        for (WorkerProcess each : workers) {
            each.send(command);
        }
        WorkerReport sum = null;
        for (WorkerProcess each : workers) {
            WorkerReport report = WorkerReport.parse(each.read());
            sum = sum == null ? report : sum.and(report);
        }
        return sum;
    }

    private static long nowUs() {
        return System.currentTimeMillis() * 1000;
    }

    /** A Unix time, ms, that no change before has. */
    private static long nextMoment() throws InterruptedException {
        Thread.sleep(1);
        return System.currentTimeMillis();
    }

    /** One part's reading, which begins when it is made. */
    private final class Reading {
        private final FleetPart part;
        private final long fromUs = nowUs();
        private final WorkerReport before = ask("begin " + fromUs);
        private final List<MachineUse> usesBefore = control.uses();
        private final Traffic trafficBefore = meter.begin();
        private final long fromNs = System.nanoTime();
        /** Unix time, us; negative: no split. */
        private long metAtUs = -1;

        Reading(FleetPart part) throws IOException {
            this.part = part;
        }

        void end(WorkerReport now, Map<Long, Integer> made) throws IOException {
            double seconds = (System.nanoTime() - fromNs) / 1e9;
            Traffic traffic = meter.total().since(trafficBefore);
            List<MachineUse> uses = control.uses();
            List<Holders> held = now.heldByAll(made);
            long lastUs = held.stream().mapToLong(Holders::lastUs).max().orElse(metAtUs);
            WorkerReport collected = part == FleetPart.IDLE ? ask("collect") : null;
            FleetReading reading = new FleetReading(part, count, seconds, traffic, now.cpuNs() - before.cpuNs(),
                uses.isEmpty() ? null : MachineUse.busiest(false, usesBefore, uses, seconds),
                uses.isEmpty() ? null : MachineUse.busiest(true, usesBefore, uses, seconds), meter.peakMessages(),
                meter.peakBytes(), now.current(), now.lastCurrentUs() - fromUs, made, held, now.delaysUs(),
                metAtUs < 0 || held.size() < made.size() ? -1 : Math.max(0, lastUs - metAtUs),
                collected == null ? -1 : (collected.heapKb() - empty.heapKb()) / (double) count,
                collected == null ? -1 : (collected.residentKb() - empty.residentKb()) / (double) count,
                MachineState.now().loadAverage());
            results.accept(reading);
        }
    }

    @Override
    public void close() throws IOException {
        if (meter != null) {
            meter.close();
        }
        for (WorkerProcess each : workers) {
            each.close();
        }
        control.close();
    }
}
