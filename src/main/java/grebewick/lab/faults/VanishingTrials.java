package grebewick.lab.faults;

import grebewick.lab.measure.ResultTable;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** Plays faults of servers with calls standing on them against real gatekeepers. Exits with 1 where a rule was broken. */
@Command(name = "VanishingTrials", mixinStandardHelpOptions = true, sortOptions = false, description = VanishingTrials.PURPOSE)
public final class VanishingTrials implements Callable<Integer> {
    static final String PURPOSE = "Checks that callers are told of calls whose servers are gone, and of no others.";

    @Option(names = "--faults", split = ",", description = "some of ${COMPLETION-CANDIDATES} (all)")
    private List<VanishingFault> faults = List.of(VanishingFault.values());

    @Mixin
    private PlayOptions play;

    @Option(names = "--probes", arity = "1", defaultValue = "true", description = "whether tests are allowed (${DEFAULT-VALUE})")
    private boolean probes;

    @Option(names = "--probe-fee", defaultValue = "0.0029", description = "price of a test for each first try (${DEFAULT-VALUE})")
    private double probeFee;

    @Option(names = "--json", defaultValue = "target/faults/vanishing.json", description = "the results (${DEFAULT-VALUE})")
    private Path json;

    @Option(names = "--logs", description = "prints the gatekeeper's log of each trial in which a rule was broken")
    private boolean logs;

    /** Plays all; exits with 0 if every rule was kept. */
    public static void main(String[] args) {
        System.exit(new CommandLine(new VanishingTrials()).execute(args));
    }

    @Override
    public Integer call() throws Exception {
        SeedRange range = play.seeds();
        ResultTable table = new ResultTable("VanishingTrials", arguments(),
            "fault", "seed", "kept", "calls", "told", "median ms", "longest ms");
        ExecutorService pool = Executors.newFixedThreadPool(play.parallel());
        List<Future<TrialResult>> results = new ArrayList<>();
        for (VanishingFault fault : faults) {
            for (long seed = range.first(); seed <= range.last(); seed++) {
                long each = seed;
                results.add(pool.submit(() -> play(fault, each)));
            }
        }
        boolean allKept = true;
        for (Future<TrialResult> each : results) {
            try {
                TrialResult result = each.get();
                allKept &= result.isKept();
                add(result, table);
            } catch (ExecutionException e) {
                // One that could not be played says nothing of the gatekeeper, and must not hide the others.
                allKept = false;
                System.out.println("NOT PLAYED " + e.getCause());
            }
        }
        pool.shutdown();
        table.publish(json);
        return allKept ? 0 : 1;
    }

    private List<String> arguments() {
        List<String> arguments = new ArrayList<>(play.asGiven());
        arguments.add("--probes=" + probes);
        arguments.add("--probe-fee=" + probeFee);
        return arguments;
    }

    private TrialResult play(VanishingFault fault, long seed) throws Exception {
        try (VanishingTrial trial = new VanishingTrial(fault, seed, probes, probeFee, play.command())) {
            return trial.play();
        }
    }

    private void add(TrialResult result, ResultTable table) {
        table.add(result.fault(), result.seed(), result.isKept(), result.calls(), result.toldUs().size(),
            result.medianUs() / 1000, result.longestUs() / 1000);
        System.out.printf(Locale.ROOT, "%s %s seed %d: %d calls, %d told, median %d ms, longest %d ms%n",
            result.isKept() ? "kept  " : "BROKEN", result.fault(), result.seed(), result.calls(), result.toldUs().size(),
            result.medianUs() / 1000, result.longestUs() / 1000);
        if (!result.isKept()) {
            result.explanation().forEach(line -> System.out.println("    " + line));
            if (logs) {
                result.log().forEach(line -> System.out.println("  | " + line));
            }
        }
    }
}
