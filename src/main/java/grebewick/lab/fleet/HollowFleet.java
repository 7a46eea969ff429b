package grebewick.lab.fleet;

import grebewick.config.Address;
import grebewick.lab.StandInFleet;
import grebewick.lab.StandInNames.Host;
import grebewick.lab.fleet.ChangeTimes.Holders;
import grebewick.lab.measure.MachineState;
import grebewick.lab.measure.ResultTable;
import grebewick.lab.measure.Traffic;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * How the list of servers spreads over a fleet of hollow gatekeepers, and what that costs: bytes, processor time and memory
 * of each, time until a change holds at the last one, with all control machines and with one killed, and a restart of all.
 */
@Command(name = "HollowFleet", mixinStandardHelpOptions = true, sortOptions = false, description = HollowFleet.PURPOSE)
public final class HollowFleet implements Callable<Integer> {
    static final String PURPOSE = "Measures how the list of servers spreads over many hollow gatekeepers.";

    /** Longest part of a run; with it a run ends by itself. */
    private static final int PATIENCE_S = 60;
    private static final int START_SERVER_PORT = 7_000;
    private static final int WORKER_HEAP_LIMIT_MB = 10_000;

    @Option(names = "--distribution", defaultValue = "POLL", description = "${COMPLETION-CANDIDATES} (${DEFAULT-VALUE})")
    private Distribution distribution;

    @Option(names = "--servers", split = ",", defaultValue = "36,256", description = "listed servers (${DEFAULT-VALUE})")
    private List<Integer> servers;

    @Option(names = "--gatekeepers", split = ",", defaultValue = "50,200", description = "hollow gatekeepers (${DEFAULT-VALUE})")
    private List<Integer> gatekeepers;

    @Option(names = "--services", defaultValue = "280", description = "at most one a server (${DEFAULT-VALUE})")
    private int services;

    @Option(names = "--called", defaultValue = "20", description = "services of a gatekeeper (${DEFAULT-VALUE})")
    private int called;

    @Option(names = "--regions", defaultValue = "2", description = "1 or 2; a service has a zone in each (${DEFAULT-VALUE})")
    private int regions;

    @Option(names = "--machines", defaultValue = "12", description = "control machines to ask (${DEFAULT-VALUE})")
    private int machineCount;

    @Option(names = "--workers", defaultValue = "2", description = "processes that hold them (${DEFAULT-VALUE})")
    private int workers;

    @Option(names = "--loops", defaultValue = "1", description = "event loops of each process (${DEFAULT-VALUE})")
    private int loops;

    @Option(names = "--heap-mb", defaultValue = "1024", description = "heap of each process at the most (${DEFAULT-VALUE})")
    private int heapMb;

    @Option(names = "--in-use", defaultValue = "324", description = "servers a gatekeeper works with (${DEFAULT-VALUE})")
    private int inUse;

    @Option(names = "--changes", defaultValue = "5", description = "changes of the list in a reading (${DEFAULT-VALUE})")
    private int changes;

    @Option(names = "--every-ms", defaultValue = "2000", description = "ms between two changes (${DEFAULT-VALUE})")
    private int everyMs;

    @Option(names = "--idle", defaultValue = "10", description = "seconds of a reading without changes (${DEFAULT-VALUE})")
    private int idleSeconds;

    @Option(names = "--spread-ms", defaultValue = "1000", description = "ms over which starts are spread (${DEFAULT-VALUE})")
    private int spreadMs;

    @Option(names = "--json", defaultValue = "target/bench/hollow-fleet.json", description = "the result (${DEFAULT-VALUE})")
    private Path json;

    /** Runs all sizes; exits with 0 once the result is written. */
    public static void main(String[] args) {
        System.exit(new CommandLine(new HollowFleet()).execute(args));
    }

    @Override
    public Integer call() throws Exception {
        if (workers * heapMb > WORKER_HEAP_LIMIT_MB) {
            throw new IllegalArgumentException(
                "heaps of " + workers + " times " + heapMb + " MB are more than " + WORKER_HEAP_LIMIT_MB);
        }
        ResultTable table = new ResultTable("HollowFleet", List.of("--distribution=" + distribution, "--servers=" + servers,
            "--gatekeepers=" + gatekeepers, "--services=" + services, "--called=" + called, "--regions=" + regions,
            "--machines=" + machineCount,
            "--workers=" + workers, "--loops=" + loops, "--in-use=" + inUse,
            "--changes=" + changes,
            "--every-ms=" + everyMs, "--idle=" + idleSeconds, "--spread-ms=" + spreadMs),
            "distribution", "servers", "gatekeepers", "part", "seconds", "KB/s a gatekeeper", "messages/s a gatekeeper",
            "core % a gatekeeper", "MB in all at control", "peak MB/s at one machine", "peak messages/s at one machine",
            "all current after s", "changes held by all", "last holds after s, worst", "heap KB a gatekeeper",
            "RSS KB a gatekeeper",
            "load average");
        for (int listed : servers) {
            for (int count : gatekeepers) {
                try (Run run = new Run(listed, count, table)) {
                    run.all();
                }
            }
        }
        table.publish(json);
        return 0;
    }

    /** One size. */
    private final class Run implements AutoCloseable {
        private final int listed;
        private final int count;
        private final FleetPlan plan;
        private final ResultTable table;
        private final ControlPlane control = distribution.controlPlane(machineCount);
        private final List<WorkerProcess> processes = new ArrayList<>();
        private final List<Host> hosts;
        private final List<Address> machines;
        private final TrafficMeter meter;
        private final WorkerReport empty;
        private int changed;

        Run(int listed, int count, ResultTable table) throws Exception {
            this.listed = listed;
            this.count = count;
            this.table = table;
            plan = FleetPlan.fitting(listed, services, called, regions);
            hosts = new ArrayList<>(StandInFleet.hosts(listed, List.of(START_SERVER_PORT)));
            machines = control.open(plan);
            control.publish(hosts, plan);
            control.awaitReady();
            List<String> addresses = machines.stream().map(a -> a.host() + ":" + a.port()).toList();
            for (int i = 0; i < workers; i++) {
                int from = i * count / workers;
                int until = (i + 1) * count / workers;
                processes.add(new WorkerProcess(heapMb,
                    List.of("--distribution=" + distribution, "--machines=" + String.join(",", addresses),
                        "--first=" + from, "--gatekeepers=" + (until - from), "--listed=" + listed,
                        "--services=" + plan.services(), "--called=" + plan.called(), "--regions=" + plan.regions(),
                        "--in-use=" + inUse,
                        "--spread-ms=" + spreadMs, "--loops=" + loops, "--most-seconds=" + 8 * PATIENCE_S)));
            }
            meter = new TrafficMeter(control, machines.size());
            empty = report();
        }

        void all() throws Exception {
            start("start of all");
            idle();
            change("changes");
            killed();
            start("restart of all");
        }

        /** Starts all gatekeepers, or all anew, and waits until each has the whole list. */
        private void start(String part) throws Exception {
            Reading reading = new Reading(part);
            long fromUs = nowUs();
            for (WorkerProcess each : processes) {
                each.send("start");
            }
            for (WorkerProcess each : processes) {
                each.read();
            }
            WorkerReport now = awaitCurrent();
            reading.add(now, now.current() == count ? seconds(now.lastCurrentUs() - fromUs) : "not all: " + now.current(),
                Map.of());
        }

        private WorkerReport awaitCurrent() throws Exception {
            long endNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(PATIENCE_S);
            WorkerReport now = report();
            while (now.current() < count && System.nanoTime() < endNs) {
                Thread.sleep(500);
                now = report();
            }
            return now;
        }

        private void idle() throws Exception {
            Reading reading = new Reading("no changes");
            Thread.sleep(idleSeconds * 1000L);
            reading.add(report(), "-", Map.of());
        }

        private void change(String part) throws Exception {
            Reading reading = new Reading(part);
            Map<Long, Integer> made = makeChanges(changes);
            reading.add(awaitHeld(made), "-", made);
        }

        /** One control machine ends; changes are made while it is down, and it comes back empty. */
        private void killed() throws Exception {
            Reading reading = new Reading(
                machines.size() > 1 ? "one machine of " + machines.size() + " killed" : "the one machine down");
            control.kill(0);
            Map<Long, Integer> made = makeChanges(changes);
            if (machines.size() > 1) {
                awaitHeld(made);
            }
            control.restart(0);
            reading.add(awaitHeld(made), "-", made);
        }

        private Map<Long, Integer> makeChanges(int number) throws Exception {
            Map<Long, Integer> made = new HashMap<>();
            for (int i = 0; i < number; i++) {
                int place = nextPlace();
                Host before = hosts.get(place);
                long startedMs = System.currentTimeMillis();
                hosts.set(place, new Host(before.id(), before.zone(), before.port(), before.group(), false, startedMs));
                control.publish(hosts, plan);
                made.put(startedMs * 1000, distribution.holders(plan, place, count));
                Thread.sleep(everyMs);
            }
            return made;
        }

        /** The next server of the list that any gatekeeper calls. */
        private int nextPlace() {
            while (distribution.holders(plan, changed % listed, count) == 0) {
                changed++;
            }
            return changed++ % listed;
        }

        private WorkerReport awaitHeld(Map<Long, Integer> made) throws Exception {
            long endNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(PATIENCE_S);
            WorkerReport now = report();
            while (heldByAll(now, made).size() < made.size() && System.nanoTime() < endNs) {
                Thread.sleep(500);
                now = report();
            }
            return now;
        }

        private List<Holders> heldByAll(WorkerReport report, Map<Long, Integer> made) {
            return report.changes().stream()
                .filter(c -> made.containsKey(c.startedUs()) && c.holders() >= made.get(c.startedUs())).toList();
        }

        private WorkerReport report() throws IOException {
            for (WorkerProcess each : processes) {
                each.send("report");
            }
            WorkerReport sum = null;
            for (WorkerProcess each : processes) {
                WorkerReport report = WorkerReport.parse(each.read());
                sum = sum == null ? report : sum.and(report);
            }
            return sum;
        }

        /** One part of a run: what it cost from its beginning to its end. */
        private final class Reading {
            private final String part;
            private final WorkerReport before = report();
            private final long fromNs = System.nanoTime();
            private final Traffic trafficBefore = meter.begin();

            Reading(String part) throws IOException {
                this.part = part;
            }

            void add(WorkerReport now, Object allCurrent, Map<Long, Integer> made) throws IOException {
                double elapsed = (System.nanoTime() - fromNs) / 1e9;
                Traffic traffic = meter.total().since(trafficBefore);
                List<Holders> held = heldByAll(now, made);
                Object worst = held.isEmpty() ? "-"
                    : seconds(held.stream().mapToLong(c -> c.lastUs() - c.startedUs()).max().orElse(0));
                table.add(distribution.toString(), listed, count, part, elapsed, traffic.bytes() / elapsed / count / 1000,
                    traffic.messages() / elapsed / count, (now.cpuNs() - before.cpuNs()) / 1e7 / elapsed / count,
                    traffic.bytes() / 1e6, meter.peakBytes() / 1e6, meter.peakMessages(), allCurrent,
                    made.isEmpty() ? "-" : held.size() + " of " + made.size(), worst,
                    (now.heapKb() - empty.heapKb()) / (double) count,
                    (now.residentKb() - empty.residentKb()) / (double) count, MachineState.now().loadAverage());
                System.out.printf(Locale.ROOT,
                    "%s, %d servers, %d gatekeepers, %s: %.2f KB/s and %.3f %% of a core each; current %s, held %s, last %s%n",
                    distribution, listed, count, part, traffic.bytes() / elapsed / count / 1000,
                    (now.cpuNs() - before.cpuNs()) / 1e7 / elapsed / count, allCurrent, held.size(), worst);
            }
        }

        @Override
        public void close() throws IOException {
            meter.close();
            for (WorkerProcess each : processes) {
                each.close();
            }
            control.close();
        }
    }

    private static double seconds(long us) {
        return us / 1e6;
    }

    private static long nowUs() {
        return System.currentTimeMillis() * 1000;
    }
}
