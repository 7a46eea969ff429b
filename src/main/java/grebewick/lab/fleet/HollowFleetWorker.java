package grebewick.lab.fleet;

import grebewick.config.Address;
import grebewick.config.NodeConfig;
import grebewick.core.CallControl.Settings;
import grebewick.core.Clock;
import grebewick.lab.GatekeeperConfig;
import grebewick.lab.StandInFleet;
import grebewick.lab.fleet.ServerListSource.Task;
import grebewick.lab.measure.ProcessSample;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.internal.VertxInternal;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.lang.management.ManagementFactory;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * One process of hollow gatekeepers, driven by lines on its standard input, each answered by a report: {@code begin} with a
 * Unix time in us, of which on changes count; {@code start} all anew; {@code collect} the garbage; {@code report}. It ends with
 * its input, and by itself when its time is up.
 */
@Command(name = "HollowFleetWorker", mixinStandardHelpOptions = true)
public final class HollowFleetWorker implements Callable<Integer> {
    @Option(names = "--distribution", required = true)
    private Distribution distribution;

    @Option(names = "--machines", split = ",", required = true, description = "addresses of the control machines")
    private List<String> machines;

    @Option(names = "--first", required = true, description = "number of the first gatekeeper")
    private int first;

    @Option(names = "--gatekeepers", required = true)
    private int count;

    @Option(names = "--listed", required = true, description = "servers in a whole list")
    private int listed;

    @Option(names = "--services", required = true)
    private int services;

    @Option(names = "--called", required = true, description = "services that a gatekeeper calls")
    private int called;

    @Option(names = "--regions", required = true)
    private int regions;

    @Option(names = "--in-use", required = true, description = "servers that a gatekeeper works with at the most")
    private int inUse;

    @Option(names = "--module", required = true, arity = "1", description = "whether gatekeepers have one")
    private boolean hasModule;

    @Option(names = "--spread-ms", required = true, description = "ms over which starts are spread")
    private int spreadMs;

    @Option(names = "--loops", required = true, description = "event loops")
    private int loops;

    @Option(names = "--most-seconds", required = true, description = "seconds after which it ends by itself")
    private int mostSeconds;

    private final ChangeTimes times = new ChangeTimes();
    private final List<HollowGatekeeper> gatekeepers = new ArrayList<>();
    private final Clock clock = () -> System.currentTimeMillis() * 1000;
    private Vertx vertx;

    /** Runs until its input ends. */
    public static void main(String[] args) {
        System.exit(new CommandLine(new HollowFleetWorker()).execute(args));
    }

    @Override
    public Integer call() throws Exception {
        vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(loops));
        vertx.setTimer(TimeUnit.SECONDS.toMillis(mostSeconds), t -> Runtime.getRuntime().halt(3));
        Settings settings = NodeConfig
            .parse(new GatekeeperConfig(1, 1, StandInFleet.hosts(listed, List.of(1)), 1, 1024).json(), Map.of())
            .settings();
        print(List.of(WorkerReport.END));
        BufferedReader commands = new BufferedReader(new InputStreamReader(System.in, StandardCharsets.US_ASCII));
        for (String line = commands.readLine(); line != null; line = commands.readLine()) {
            run(line, settings);
            print(report().lines());
        }
        return 0;
    }

    private void run(String line, Settings settings) throws Exception {
        String[] words = line.split(" ");
        switch (words[0]) {
            case "begin" -> times.begin(Long.parseLong(words[1]));
            case "start" -> startAll(settings);
            case "collect" -> System.gc();
            case "report" -> {}
            default -> throw new IOException("no such command: " + line);
        }
    }

    /** Ends those that run, and starts as many anew, each at a moment of its own. */
    private void startAll(Settings settings) throws Exception {
        List<Future<Void>> closed = new ArrayList<>();
        gatekeepers.forEach(g -> closed.add(g.close()));
        Future.join(closed).toCompletionStage().toCompletableFuture().get(30, TimeUnit.SECONDS);
        gatekeepers.clear();
        times.clear();
        List<Address> addresses = machines.stream().map(Address::parse).toList();
        FleetPlan plan = new FleetPlan(listed, services, called, regions);
        Random random = new Random(first);
        for (int i = 0; i < count; i++) {
            Task task = new Task(plan, first + i, addresses, ThreadLocalRandom.current().nextLong());
            CompletableFuture<HollowGatekeeper> made = new CompletableFuture<>();
            int delayMs = 1 + random.nextInt(Math.max(1, spreadMs));
            Context context = ((VertxInternal) vertx).createEventLoopContext();
            context.runOnContext(v -> {
                HollowGatekeeper gatekeeper = new HollowGatekeeper(vertx, settings, distribution, task, inUse, hasModule,
                    clock, times);
                vertx.setTimer(delayMs, t -> gatekeeper.start());
                made.complete(gatekeeper);
            });
            gatekeepers.add(made.get(30, TimeUnit.SECONDS));
        }
    }

    private WorkerReport report() throws IOException {
        long heapKb = ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed() / 1024;
        ProcessSample sample = ProcessSample.ofThisProcess();
        return new WorkerReport(times.currentCount(), times.lastCurrentUs(), sample.cpuNs(), sample.residentKb(), heapKb,
            times.changes(), times.delaysUs());
    }

    private static void print(List<String> lines) {
        lines.forEach(System.out::println);
        System.out.flush();
    }
}
