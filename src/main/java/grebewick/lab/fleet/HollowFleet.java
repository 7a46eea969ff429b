package grebewick.lab.fleet;

import grebewick.lab.measure.MachineState;
import grebewick.lab.measure.ResultTable;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/**
 * How the list of servers spreads over a fleet of hollow gatekeepers, and what that costs: bytes, processor time and memory of
 * each and of the busiest control machine, and the time until a change holds at the last one, in the parts of
 * {@link FleetPart}. It ends by itself; how long that can take is said first.
 */
@Command(name = "HollowFleet", mixinStandardHelpOptions = true, sortOptions = false, description = HollowFleet.PURPOSE)
public final class HollowFleet implements Callable<Integer> {
    static final String PURPOSE = "Measures how the list of servers spreads over many hollow gatekeepers.";

    @Option(names = "--servers", split = ",", defaultValue = "36,256", description = "listed servers (${DEFAULT-VALUE})")
    private List<Integer> servers;

    @Option(names = "--gatekeepers", split = ",", defaultValue = "50,200", description = "hollow gatekeepers (${DEFAULT-VALUE})")
    private List<Integer> gatekeepers;

    @Mixin
    private FleetOptions options;

    @Option(names = "--json", defaultValue = "target/bench/hollow-fleet.json", description = "the result (${DEFAULT-VALUE})")
    private Path json;

    /** Runs all sizes; exits with 0 once the result is written. */
    public static void main(String[] args) {
        System.exit(new CommandLine(new HollowFleet()).execute(args));
    }

    @Override
    public Integer call() throws Exception {
        options.check();
        long sizes = (long) servers.size() * gatekeepers.size();
        System.out
            .println(sizes + " runs of " + FleetPart.mostSecondsOfAll(options) + " s at the most, with parts " + options.parts);
        List<String> arguments = new ArrayList<>(List.of("--servers=" + servers, "--gatekeepers=" + gatekeepers));
        arguments.addAll(options.arguments());
        List<String> columns = new ArrayList<>(List.of("distribution", "servers", "gatekeepers"));
        columns.addAll(FleetReading.COLUMNS);
        ResultTable table = new ResultTable("HollowFleet", arguments, columns.toArray(String[]::new));
        table.note("Begun at " + MachineState.now() + ".");
        try {
            for (int listed : servers) {
                for (int count : gatekeepers) {
                    run(listed, count, table);
                }
            }
        } finally {
            table.note("Ended at " + MachineState.now() + ".");
            table.publish(json);
        }
        return 0;
    }

    private void run(int listed, int count, ResultTable table) throws Exception {
        try (FleetRun run = new FleetRun(options, listed, count, reading -> {
            List<Object> cells = new ArrayList<>(List.of(options.distribution.toString(), listed, count));
            cells.addAll(reading.cells());
            table.add(cells.toArray());
            System.out.println(options.distribution + ", " + listed + " servers, " + count + " gatekeepers, " + reading);
        })) {
            run.all();
        }
    }
}
