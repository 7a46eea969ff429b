package grebewick.lab.faults;

import grebewick.lab.GatekeeperProcess;
import grebewick.lab.faults.SeedRange.SeedReader;
import java.util.ArrayList;
import java.util.List;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** What every tool that plays faults by seed takes from its command line. */
final class PlayOptions {
    @Option(names = "--seeds", defaultValue = "1-3", converter = SeedReader.class, description = "FIRST-LAST (${DEFAULT-VALUE})")
    private SeedRange seeds;

    @Option(names = "--parallel", defaultValue = "3", description = "plays at a time (${DEFAULT-VALUE})")
    private int parallel;

    @Parameters(arity = "0..*", description = "after --: the command that starts a gatekeeper")
    private List<String> command = new ArrayList<>();

    SeedRange seeds() {
        return seeds;
    }

    int parallel() {
        return parallel;
    }

    List<String> command() {
        return GatekeeperProcess.commandOr(command);
    }

    /** As they stand in a table of results. */
    List<String> asGiven() {
        return List.of("--seeds=" + seeds.first() + "-" + seeds.last(), "--parallel=" + parallel);
    }
}
