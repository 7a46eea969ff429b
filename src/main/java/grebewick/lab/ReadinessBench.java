package grebewick.lab;

import grebewick.lab.measure.Deciles;
import grebewick.lab.measure.MachineState;
import grebewick.lab.measure.ResultTable;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.OptionalDouble;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/**
 * How long many gatekeepers that are started at once take until each serves: from the start of its process to its line
 * {@code serves at}, as deciles. All are ended before the next round; it ends by itself.
 */
@Command(name = "ReadinessBench", mixinStandardHelpOptions = true, sortOptions = false, description = ReadinessBench.PURPOSE)
public final class ReadinessBench implements Callable<Integer> {
    static final String PURPOSE = "Measures how soon many gatekeepers that start at once serve.";

    private static final int LARGEST = 10;
    private static final int ANSWER_MS = 1;
    private static final int HOLD_MS = 1_000;
    private static final int LINES = 1_000;
    /** Longest end of one gatekeeper. */
    private static final int END_S = 20;

    @Option(names = "--gatekeepers", defaultValue = "30", description = "started at once (${DEFAULT-VALUE})")
    private int gatekeepers;

    @Option(names = "--rounds", defaultValue = "5", description = "times that all are started (${DEFAULT-VALUE})")
    private int rounds;

    @Option(names = "--servers", defaultValue = "36", description = "listed servers (${DEFAULT-VALUE})")
    private int servers;

    @Option(names = "--sockets", defaultValue = "1024", description = "descriptors of a gatekeeper (${DEFAULT-VALUE})")
    private int sockets;

    @Option(names = "--patience", defaultValue = "60", description = "s that a round waits at the most (${DEFAULT-VALUE})")
    private int patienceS;

    @Option(names = "--json", defaultValue = "target/bench/readiness.json", description = "the result (${DEFAULT-VALUE})")
    private Path json;

    @Parameters(arity = "0..*", description = "after --: the command that starts a gatekeeper")
    private List<String> command = new ArrayList<>();

    /** Runs all rounds; exits with 0 if every gatekeeper served in time. */
    public static void main(String[] args) {
        System.exit(new CommandLine(new ReadinessBench()).execute(args));
    }

    @Override
    public Integer call() throws Exception {
        System.out.println(rounds + " rounds of " + (patienceS + END_S) + " s at the most");
        List<String> columns = new ArrayList<>(List.of("round", "gatekeepers", "served"));
        IntStream.rangeClosed(1, Deciles.CUTS).forEach(i -> columns.add("served after ms, " + i + "0 %"));
        columns.addAll(List.of("served after ms, all", "processors", "load average before", "load average after"));
        ResultTable table = new ResultTable("ReadinessBench", List.of("--gatekeepers=" + gatekeepers, "--rounds=" + rounds,
            "--servers=" + servers, "--sockets=" + sockets, "--patience=" + patienceS), columns.toArray(String[]::new));
        table.note("Begun at " + MachineState.now() + ".");
        Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
        boolean allServed = true;
        try {
            StandInPlatform platform = StandInPlatform.open(vertx,
                new StandInPlatform.Size(servers, ANSWER_MS, HOLD_MS, LINES, gatekeepers, sockets), id -> {});
            for (int round = 1; round <= rounds; round++) {
                allServed &= round(round, platform, table);
            }
        } finally {
            Futures.await(vertx.close());
        }
        table.note("Ended at " + MachineState.now() + ".");
        table.publish(json);
        return allServed ? 0 : 1;
    }

    /** Whether all served in time. */
    private boolean round(int round, StandInPlatform platform, ResultTable table) throws Exception {
        MachineState before = MachineState.now();
        List<GatekeeperProcess> started = new ArrayList<>();
        List<Double> servedMs = new ArrayList<>();
        try {
            for (int i = 0; i < gatekeepers; i++) {
                started.add(GatekeeperProcess.launch(GatekeeperProcess.commandOr(command), platform.config().atAnyPort()));
            }
            long endNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(patienceS);
            for (GatekeeperProcess each : started) {
                OptionalDouble ms = each.awaitServing(endNs);
                ms.ifPresent(servedMs::add);
            }
        } finally {
            end(started);
        }
        add(round, servedMs, before, table);
        return servedMs.size() == gatekeepers;
    }

    /** All are told to end before the first is waited for. */
    private static void end(List<GatekeeperProcess> started) throws IOException {
        started.forEach(GatekeeperProcess::terminate);
        for (GatekeeperProcess each : started) {
            each.close();
        }
    }

    private void add(int round, List<Double> servedMs, MachineState before, ResultTable table) throws IOException {
        List<Object> cells = new ArrayList<>(List.of(round, gatekeepers, servedMs.size()));
        Deciles deciles = servedMs.isEmpty() ? null : Deciles.of(servedMs);
        IntStream.rangeClosed(1, LARGEST).forEach(i -> cells.add(deciles == null ? "-" : (Object) deciles.get(i)));
        cells.addAll(List.of(before.processors(), before.loadAverage(), MachineState.now().loadAverage()));
        table.add(cells.toArray());
        System.out.printf(Locale.ROOT, "round %d: %d of %d served%s%n", round, servedMs.size(), gatekeepers, deciles == null ? ""
            : String.format(Locale.ROOT, ", half of them within %.0f ms, all within %.0f ms", deciles.get(5),
                deciles.get(LARGEST)));
    }
}
