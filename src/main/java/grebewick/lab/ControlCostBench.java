package grebewick.lab;

import grebewick.lab.measure.LinearFit;
import grebewick.lab.measure.MachineState;
import grebewick.lab.measure.ProcessSample;
import grebewick.lab.measure.ResultTable;
import grebewick.lab.measure.Traffic;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/**
 * What one real gatekeeper process spends on control without a call: datagrams and bytes to and from a stand-in name
 * service, processor time, memory and descriptors, by the number of listed servers and of changes of the list a second.
 * A change is a restart of one server: its record gets a new start time.
 */
@Command(name = "ControlCostBench", mixinStandardHelpOptions = true, sortOptions = false, description = ControlCostBench.PURPOSE)
public final class ControlCostBench implements Callable<Integer> {
    static final String PURPOSE = "Measures what one gatekeeper without calls spends on discovery and health.";

    @Option(names = "--servers", split = ",", defaultValue = "36,256,1024,3800", description = "listed servers")
    private List<Integer> servers;

    @Option(names = "--changes", split = ",", defaultValue = "0,1,10", description = "changes a second (${DEFAULT-VALUE})")
    private List<Double> changes;

    @Option(names = "--sockets", defaultValue = "1024", description = "descriptors of the gatekeeper (${DEFAULT-VALUE})")
    private int sockets;

    @Option(names = "--peers", defaultValue = "1", description = "other gatekeepers in its file (${DEFAULT-VALUE})")
    private int peers;

    @Option(names = "--warm-up", defaultValue = "6", description = "seconds before a reading (${DEFAULT-VALUE})")
    private int warmUpSeconds;

    @Option(names = "--seconds", defaultValue = "15", description = "seconds of a reading (${DEFAULT-VALUE})")
    private int seconds;

    @Option(names = "--runs", defaultValue = "2", description = "times that each size is run (${DEFAULT-VALUE})")
    private int runs;

    @Option(names = "--json", defaultValue = "target/bench/control-cost.json", description = "the result (${DEFAULT-VALUE})")
    private Path json;

    @Parameters(arity = "0..*", description = "after --: the command that starts a gatekeeper")
    private List<String> command = new ArrayList<>();

    /** One size's run. */
    private record Size(int listed, double changesPerSecond) {}

    /** What one run told: rates a second. */
    private record Cost(double datagrams, double bytes, double core, double loop, double serverBytes, boolean cut) {}

    /** Runs all sizes; exits with 0 once the result is written. */
    public static void main(String[] args) {
        System.exit(new CommandLine(new ControlCostBench()).execute(args));
    }

    @Override
    public Integer call() throws Exception {
        ResultTable table = new ResultTable("ControlCostBench", List.of("--servers=" + servers, "--changes=" + changes,
            "--sockets=" + sockets, "--peers=" + peers, "--warm-up=" + warmUpSeconds, "--seconds=" + seconds),
            "run", "servers", "changes/s", "datagrams in/s", "datagrams out/s", "KB in/s", "KB out/s", "core %",
            "event loop %", "other threads %", "RSS MB", "peak MB", "descriptors", "KB/s with servers", "list", "load average");
        Map<Size, List<Cost>> costs = new LinkedHashMap<>();
        for (int run = 1; run <= runs; run++) {
            for (int listed : servers) {
                for (double rate : changes) {
                    Size size = new Size(listed, rate);
                    costs.computeIfAbsent(size, s -> new ArrayList<>()).add(measure(run, size, table));
                }
            }
        }
        addFits(table, costs);
        table.note("In and out are the gatekeeper's own directions, payload of UDP without headers (28 bytes each over IPv4).");
        table.publish(json);
        return 0;
    }

    private Cost measure(int run, Size size, ResultTable table) throws Exception {
        Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
        try {
            StandInPlatform platform = StandInPlatform.open(vertx,
                new StandInPlatform.Size(size.listed, 1, 1, 1000, peers, sockets), id -> {});
            StandInNames names = platform.names();
            StandInFleet fleet = platform.fleet();
            try (
                GatekeeperProcess gatekeeper = GatekeeperProcess.start(GatekeeperProcess.commandOr(command), platform.config())) {
                if (size.changesPerSecond > 0) {
                    int[] next = {0};
                    vertx.setPeriodic((long) (1000 / size.changesPerSecond), t -> {
                        fleet.restart(next[0]++ % size.listed, System.currentTimeMillis());
                        names.list(fleet.hosts());
                    });
                }
                Thread.sleep(warmUpSeconds * 1000L);
                return read(run, size, names, fleet, gatekeeper, table);
            }
        } finally {
            Futures.await(vertx.close());
        }
    }

    private Cost read(int run, Size size, StandInNames names, StandInFleet fleet, GatekeeperProcess gatekeeper, ResultTable table)
        throws Exception {
        double load = MachineState.now().loadAverage();
        ProcessSample before = gatekeeper.sample();
        Traffic lists = names.traffic();
        Traffic health = fleet.traffic();
        Thread.sleep(seconds * 1000L);
        ProcessSample after = gatekeeper.sample();
        Traffic asked = names.traffic().since(lists);
        double elapsed = (after.atNs() - before.atNs()) / 1e9;
        double core = after.coresSince(before);
        double loop = after.coresSince(before, "vert.x-eventloo");
        double healthBytes = fleet.traffic().since(health).bytes() / elapsed;
        boolean cut = names.cutAnswers() > 0;
        // What the stand-in sends is what the gatekeeper takes.
        table.add(Integer.toString(run), size.listed, size.changesPerSecond, asked.messagesOut() / elapsed,
            asked.messagesIn() / elapsed, asked.bytesOut() / elapsed / 1000, asked.bytesIn() / elapsed / 1000, core * 100,
            loop * 100, (core - loop) * 100, after.residentKb() / 1024.0, after.peakKb() / 1024.0, after.descriptors(),
            healthBytes / 1000, cut ? "cut: a datagram cannot hold it, so it is not followed" : "whole", load);
        System.out.printf(Locale.ROOT, "run %d, %d servers, %.2f changes/s: %.1f KB/s, %.2f %% of a core, load %.1f%n", run,
            size.listed, size.changesPerSecond, asked.bytes() / elapsed / 1000, core * 100, load);
        return new Cost(asked.messages() / elapsed, asked.bytes() / elapsed, core, loop, healthBytes, cut);
    }

    /** Lines over the sizes whose list was followed, by changes a second: what extrapolations stand on. */
    private void addFits(ResultTable table, Map<Size, List<Cost>> costs) {
        for (double rate : changes) {
            List<LinearFit.Point> bytes = new ArrayList<>();
            List<LinearFit.Point> core = new ArrayList<>();
            List<LinearFit.Point> datagrams = new ArrayList<>();
            costs.forEach((size, all) -> all.stream().filter(c -> !c.cut && size.changesPerSecond == rate).forEach(c -> {
                bytes.add(new LinearFit.Point(size.listed, c.bytes / 1000));
                core.add(new LinearFit.Point(size.listed, c.core * 100));
                datagrams.add(new LinearFit.Point(size.listed, c.datagrams));
            }));
            if (bytes.stream().mapToDouble(LinearFit.Point::x).distinct().count() > 1) {
                table.note(String.format(Locale.ROOT,
                    "At %.2f changes/s, by least squares over %s: KB/s %s; core %% %s; datagrams/s %s.",
                    rate, bytes.stream().mapToInt(p -> (int) p.x()).distinct().boxed().toList(), line(bytes), line(core),
                    line(datagrams)));
            }
        }
    }

    private static String line(List<LinearFit.Point> points) {
        LinearFit fit = LinearFit.of(points);
        return String.format(Locale.ROOT, "%.3f + %.5f a server (off by %.0f %% at most; extrapolated to 3,800: %.1f)",
            fit.intercept(), fit.slope(), fit.largestError() * 100, fit.at(3_800));
    }
}
