package grebewick.lab;

import grebewick.lab.ProbedGatekeeper.LoopKind;
import grebewick.lab.ProbedGatekeeper.TimerStep;
import grebewick.lab.measure.MachineState;
import grebewick.lab.measure.ProcessSample;
import grebewick.lab.measure.ResultTable;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.function.LongConsumer;
import org.HdrHistogram.Histogram;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/**
 * The latency that a gatekeeper adds to a call, open loop, from the moment that each call was meant for: the same load
 * goes straight to the stand-in servers and through a gatekeeper process, and the difference is what is added. The first
 * seconds after the start are told apart from those after a warm-up.
 */
@Command(name = "LatencyBench", mixinStandardHelpOptions = true, sortOptions = false, description = LatencyBench.PURPOSE)
public final class LatencyBench implements Callable<Integer> {
    static final String PURPOSE = "Measures the latency that one gatekeeper adds to a call.";

    private static final int CONNECTIONS = 4;
    private static final int LINES = 2_000;
    private static final long HOLD_MS = 500;
    private static final long DEADLINE_MS = 3_000;

    /** What stands between callers and servers. */
    enum Way {
        /** Nothing. */
        DIRECT,
        /** The process of the command line. */
        GATEKEEPER,
        /** {@link ProbedGatekeeper} with the service's event loop. */
        PROBED,
        /** {@link ProbedGatekeeper} with Netty's event loop and timers of whole milliseconds. */
        PROBED_NETTY,
        /** {@link ProbedGatekeeper} with Netty's event loop and timers of microseconds. */
        PROBED_MICROSECONDS
    }

    @Option(names = "--ways", split = ",", defaultValue = "DIRECT,GATEKEEPER", description = "${COMPLETION-CANDIDATES}")
    private List<Way> ways;

    @Option(names = "--rate", defaultValue = "118", description = "calls a second (${DEFAULT-VALUE})")
    private double rate;

    @Option(names = "--servers", defaultValue = "14", description = "listed servers (${DEFAULT-VALUE})")
    private int servers;

    @Option(names = "--work", split = ",", defaultValue = "1", description = "ms from set-up to answer (${DEFAULT-VALUE})")
    private List<Long> workMs;

    @Option(names = "--pacer", defaultValue = "THREAD", description = "${COMPLETION-CANDIDATES} (${DEFAULT-VALUE})")
    private Pacer.Kind pacer;

    @Option(names = "--first", defaultValue = "10", description = "seconds told apart as the start (${DEFAULT-VALUE})")
    private int firstSeconds;

    @Option(names = "--warm-up", defaultValue = "10", description = "further seconds that are not told (${DEFAULT-VALUE})")
    private int warmUpSeconds;

    @Option(names = "--seconds", defaultValue = "30", description = "seconds told as warm (${DEFAULT-VALUE})")
    private int seconds;

    @Option(names = "--json", defaultValue = "target/bench/latency.json", description = "file of the result (${DEFAULT-VALUE})")
    private Path json;

    @Parameters(arity = "0..*", description = "after --: the command that starts a gatekeeper")
    private List<String> command = new ArrayList<>();

    /** Runs all ways; exits with 0 once the result is written. */
    public static void main(String[] args) {
        System.exit(new CommandLine(new LatencyBench()).execute(args));
    }

    @Override
    public Integer call() throws Exception {
        ResultTable table = new ResultTable("LatencyBench", List.of("--ways=" + ways, "--rate=" + rate, "--servers=" + servers,
            "--work=" + workMs, "--pacer=" + pacer, "--first=" + firstSeconds, "--warm-up=" + warmUpSeconds,
            "--seconds=" + seconds),
            "way", "work ms", "phase", "span", "calls", "50 % us", "90 % us", "99 % us", "99.9 % us", "most us");
        for (long work : workMs) {
            for (Way way : ways) {
                table.note(way + ", work " + work + " ms, before: " + MachineState.now());
                measure(way, work, table);
                table.note(way + ", work " + work + " ms, after: " + MachineState.now());
            }
        }
        table.publish(json);
        return 0;
    }

    private void measure(Way way, long work, ResultTable table) throws Exception {
        Vertx callersSide = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
        Vertx serversSide = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
        try {
            StandInPlatform platform = StandInPlatform.open(serversSide,
                new StandInPlatform.Size(servers, work, HOLD_MS, LINES, 1, 1024), id -> {});
            StandInFleet fleet = platform.fleet();
            GatekeeperConfig config = platform.config();
            if (way == Way.DIRECT) {
                List<CallTimes> phases = new ArrayList<>();
                DirectCallers callers = new DirectCallers(callersSide, id -> answered(phases, id));
                Futures.await(callers.connect(fleet.hosts().stream().map(StandInNames.Host::port).distinct().toList()));
                drive(way, work, callersSide, fleet, phases, group -> callers.call(), table);
                return;
            }
            try (GatekeeperProcess gatekeeper = GatekeeperProcess.start(command(way), config)) {
                List<CallTimes> phases = new ArrayList<>();
                StandInCallers callers = new StandInCallers(callersSide, "a", DEADLINE_MS);
                callers.onAnswer(id -> answered(phases, id));
                Futures.await(callers.connect(config.port(), CONNECTIONS));
                ProcessSample before = gatekeeper.sample();
                drive(way, work, callersSide, fleet, phases, group -> callers.call(group, Pacer.nowUs()), table);
                table.note(String.format(Locale.ROOT, "%s, work %d ms: %.2f %% of a core, its event loop %.2f %%; outcomes %s",
                    way, work,
                    gatekeeper.sample().coresSince(before) * 100, gatekeeper.sample().coresSince(before, "vert.x-eventloo") * 100,
                    callers.counts()));
            }
        } finally {
            Futures.await(callersSide.close());
            Futures.await(serversSide.close());
        }
    }

    /** One call to a server's group; gives its id. */
    private interface CallStarter {
        long call(int group);
    }

    private void drive(Way way, long work, Vertx vertx, StandInFleet fleet, List<CallTimes> phases, CallStarter starter,
                       ResultTable table)
        throws Exception {
        long startUs = Pacer.nowUs();
        long firstUs = startUs + firstSeconds * 1_000_000L;
        long warmUs = firstUs + warmUpSeconds * 1_000_000L;
        CallTimes first = new CallTimes(startUs, firstUs);
        CallTimes warm = new CallTimes(warmUs, Long.MAX_VALUE);
        phases.addAll(List.of(first, warm));
        LongConsumer setUp = id -> phases.forEach(p -> p.setUp(id, Pacer.nowUs()));
        LongConsumer answerSent = id -> phases.forEach(p -> p.answerSent(id, Pacer.nowUs()));
        fleet.processes().forEach(server -> server.onCall(setUp, answerSent));
        int[] group = {0};
        new Pacer(vertx, startUs, rate, firstSeconds + warmUpSeconds + seconds, meantUs -> {
            long writtenUs = Pacer.nowUs();
            long id = starter.call(group[0]++ % servers);
            phases.forEach(p -> p.written(id, meantUs, writtenUs));
        }).run(pacer);
        Thread.sleep(DEADLINE_MS);
        add(table, way, work, "first " + firstSeconds + " s", first);
        add(table, way, work, "warm", warm);
    }

    private static void answered(List<CallTimes> phases, long id) {
        long nowUs = Pacer.nowUs();
        phases.forEach(p -> p.answered(id, nowUs));
    }

    private static void add(ResultTable table, Way way, long work, String phase, CallTimes times) {
        for (CallTimes.Span span : CallTimes.Span.values()) {
            Histogram h = times.histogram(span);
            table.add(way.toString(), work, phase, span.text, h.getTotalCount(), h.getValueAtPercentile(50),
                h.getValueAtPercentile(90),
                h.getValueAtPercentile(99), h.getValueAtPercentile(99.9), h.getMaxValue());
        }
        if (times.unanswered() > 0) {
            table.note(way + ", work " + work + " ms, " + phase + ": " + times.unanswered() + " calls without an answer");
        }
    }

    private List<String> command(Way way) {
        if (way == Way.GATEKEEPER) {
            return GatekeeperProcess.commandOr(command);
        }
        return JavaCommand.of(
            List.of("-XX:+UseSerialGC", "-Xmx64m", "-XX:TieredStopAtLevel=1", "-Dio.netty.jfr.enabled=false"),
            ProbedGatekeeper.class.getName(), List.of("--loop=" + (way == Way.PROBED ? LoopKind.SERVICE : LoopKind.NETTY),
                "--timers=" + (way == Way.PROBED_MICROSECONDS ? TimerStep.MICROSECOND : TimerStep.MILLISECOND)));
    }
}
