package grebewick.lab.faults;

import grebewick.lab.faults.RuleCheck.Finding;
import grebewick.lab.measure.ResultTable;
import java.nio.file.Files;
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

/** Plays drawn plans of faults against real gatekeepers. Exits with 1 where a rule was broken or a plan not played. */
@Command(name = "FaultSoak", mixinStandardHelpOptions = true, sortOptions = false, description = FaultSoak.PURPOSE)
public final class FaultSoak implements Callable<Integer> {
    static final String PURPOSE = "Plays combined faults, drawn by seed, and checks every call against the rules.";
    private static final int MOST_SHOWN = 5;

    @Mixin
    private PlayOptions play;

    @Option(names = "--json", defaultValue = "target/faults/soak.json", description = "the results (${DEFAULT-VALUE})")
    private Path json;

    @Option(names = "--logs", description = "folder for the gatekeepers' logs of each plan in which a rule was broken")
    private Path logs;

    private record Outcome(SoakPlan plan, int calls, long ended, List<Finding> findings, List<String> log) {}

    /** Plays all; exits with 0 if every rule was kept. */
    public static void main(String[] args) {
        System.exit(new CommandLine(new FaultSoak()).execute(args));
    }

    @Override
    public Integer call() throws Exception {
        SeedRange range = play.seeds();
        ResultTable table = new ResultTable("FaultSoak", play.asGiven(), "seed",
            "gatekeepers", "deadline ms", "faults", "calls", "ended", "result");
        ExecutorService pool = Executors.newFixedThreadPool(play.parallel());
        List<Future<Outcome>> outcomes = new ArrayList<>();
        for (long seed = range.first(); seed <= range.last(); seed++) {
            SoakPlan plan = SoakPlan.draw(seed);
            outcomes.add(pool.submit(() -> play(plan)));
        }
        boolean allKept = true;
        for (int i = 0; i < outcomes.size(); i++) {
            try {
                Outcome outcome = outcomes.get(i).get();
                allKept &= outcome.findings.isEmpty();
                add(outcome, table);
            } catch (ExecutionException e) {
                // One that could not be played says nothing of the gatekeeper, and must not hide the others.
                allKept = false;
                table.add(range.first() + i, "-", "-", "-", "-", "-", "not played: " + e.getCause());
                System.out.println("NOT PLAYED seed " + (range.first() + i) + ": " + e.getCause());
            }
        }
        pool.shutdown();
        table.publish(json);
        return allKept ? 0 : 1;
    }

    private Outcome play(SoakPlan plan) throws Exception {
        try (SoakRun run = new SoakRun(plan, play.command())) {
            List<Finding> findings = run.play();
            List<String> log = new ArrayList<>();
            findings.stream().limit(MOST_SHOWN).forEach(finding -> log.addAll(run.log(finding.call())));
            if (logs != null && !findings.isEmpty()) {
                Files.createDirectories(logs);
                Files.write(logs.resolve("seed-" + plan.seed() + ".log"), run.log());
            }
            return new Outcome(plan, run.calls(), run.ended(), findings, log);
        }
    }

    private static void add(Outcome outcome, ResultTable table) {
        String faults = String.join(" ", outcome.plan.events().stream()
            .map(event -> event.kind() + "(" + event.target() + ")@" + event.atMs() + "+" + event.forMs()).toList());
        String result = outcome.findings.isEmpty() ? "kept" : "BROKEN: " + outcome.findings.get(0).rule() + " "
            + outcome.findings.size();
        table.add(outcome.plan.seed(), outcome.plan.gatekeepers(), outcome.plan.deadlineMs(), faults, outcome.calls,
            outcome.ended, result);
        System.out.printf(Locale.ROOT, "seed %d: %s; %d calls, %d ended; %s%n", outcome.plan.seed(), result, outcome.calls,
            outcome.ended, faults);
        outcome.findings.stream().limit(MOST_SHOWN).forEach(each -> System.out.println("    " + each.rule() + " " + each.text()));
        outcome.log.forEach(line -> System.out.println("      | " + line));
    }
}
