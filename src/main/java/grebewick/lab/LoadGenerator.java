package grebewick.lab;

import grebewick.lab.measure.ProcessSample;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/**
 * Drives one gatekeeper process with open-loop calls, cuts all standing calls at once, and says what its event loop
 * cost and how soon each end was told. Exits with 1 where an end was not told within a second.
 */
@Command(name = "LoadGenerator", mixinStandardHelpOptions = true, sortOptions = false, description = LoadGenerator.PURPOSE)
public final class LoadGenerator implements Callable<Integer> {
    static final String PURPOSE = "Drives one gatekeeper with open-loop calls.";

    private static final long DEADLINE_MS = 3_000;
    private static final int CONNECTIONS = 4;
    private static final int REPORT_EVERY_S = 5;
    /** us. An end that is told later fails the run. */
    private static final long TOLD_WITHIN_US = 1_000_000;

    @Option(names = "--rate", defaultValue = "50", description = "calls a second (${DEFAULT-VALUE})")
    private long rate;

    @Option(names = "--seconds", defaultValue = "20", description = "seconds with calls (${DEFAULT-VALUE})")
    private long seconds;

    @Option(names = "--hold", defaultValue = "700", description = "ms that a call stands (${DEFAULT-VALUE})")
    private long holdMs;

    @Option(names = "--cut", defaultValue = "0", description = "second at which all calls are cut; 0: never (${DEFAULT-VALUE})")
    private long cutAtSecond;

    @Option(names = "--work", defaultValue = "30", description = "ms of a server from set-up to answer (${DEFAULT-VALUE})")
    private long workMs;

    @Option(names = "--lines", defaultValue = "2000", description = "calls at once of a server's process (${DEFAULT-VALUE})")
    private int lines;

    @Option(names = "--servers", defaultValue = "2", description = "listed servers (${DEFAULT-VALUE})")
    private int servers;

    @Option(names = "--peers", defaultValue = "1", description = "other gatekeepers in its file (${DEFAULT-VALUE})")
    private int peers;

    @Option(names = "--sockets", defaultValue = "512", description = "descriptors of the gatekeeper (${DEFAULT-VALUE})")
    private int sockets;

    @Parameters(arity = "0..*", description = "after --: the command that starts a gatekeeper")
    private List<String> command = new ArrayList<>();

    /** Prints what it measured. */
    public static void main(String[] args) {
        System.exit(new CommandLine(new LoadGenerator()).execute(args));
    }

    @Override
    public Integer call() throws Exception {
        Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
        Map<Long, Long> endedUs = new HashMap<>();
        StandInPlatform platform = StandInPlatform.open(vertx,
            new StandInPlatform.Size(servers, Math.max(1, workMs), Math.max(1, holdMs), lines, peers, sockets),
            id -> endedUs.putIfAbsent(id, nowUs()));
        GatekeeperConfig config = platform.config();
        try (GatekeeperProcess gatekeeper = GatekeeperProcess.start(GatekeeperProcess.commandOr(command), config)) {
            StandInCallers callers = new StandInCallers(vertx, "a", DEADLINE_MS);
            Futures.await(callers.connect(config.port(), CONNECTIONS));
            return drive(vertx, gatekeeper, callers, platform.fleet(), endedUs) ? 0 : 1;
        } finally {
            vertx.close();
        }
    }

    private boolean drive(Vertx vertx, GatekeeperProcess gatekeeper, StandInCallers callers, StandInFleet fleet,
                          Map<Long, Long> endedUs)
        throws Exception {
        long startUs = nowUs();
        CountDownLatch done = callAll(vertx, callers, startUs);
        if (cutAtSecond > 0) {
            vertx.setTimer(cutAtSecond * 1000, t -> System.out
                .println("cut " + fleet.processes().stream().mapToInt(StandInServer::cutAll).sum() + " calls at once"));
        }
        long loopMs = 0;
        for (long second = REPORT_EVERY_S; second <= seconds; second += REPORT_EVERY_S) {
            Thread.sleep(Math.max(0, (startUs + second * 1_000_000 - nowUs()) / 1000));
            ProcessSample sample = gatekeeper.sample();
            long untilNowMs = sample.threadsNs("vert.x-eventloo") / 1_000_000;
            System.out.println("second " + second + ": loop " + (untilNowMs - loopMs) + " ms in " + REPORT_EVERY_S
                + " s; all threads, ms: " + milliseconds(sample.threadNs()));
            loopMs = untilNowMs;
        }
        done.await(seconds + 10, TimeUnit.SECONDS);
        ProcessSample last = gatekeeper.sample();
        System.out.println("memory, kB at most: " + last.peakKb() + "; descriptors: " + last.descriptors());
        Thread.sleep(200);
        return report(callers, endedUs, loopMs);
    }

    /** Open loop: what was meant for a moment past leaves now, and counts from that moment. */
    private CountDownLatch callAll(Vertx vertx, StandInCallers callers, long startUs) {
        long everyUs = 1_000_000 / rate;
        long total = seconds * rate;
        CountDownLatch done = new CountDownLatch(1);
        long[] sent = {0};
        vertx.setPeriodic(1, t -> {
            while (sent[0] < total && startUs + sent[0] * everyUs <= nowUs()) {
                callers.call((int) (sent[0] % servers), startUs + sent[0] * everyUs);
                sent[0]++;
            }
            if (sent[0] >= total && callers.standing() == 0) {
                done.countDown();
            }
        });
        return done;
    }

    private static boolean report(StandInCallers callers, Map<Long, Long> endedUs, long loopMs) {
        System.out.println("outcomes " + callers.counts());
        List<Long> answers = new ArrayList<>(callers.answerUs());
        System.out.println("answers, us: " + quantiles(answers));
        List<Long> told = new ArrayList<>();
        int untold = 0;
        for (Map.Entry<Long, Long> end : endedUs.entrySet()) {
            Long heard = callers.overUs().get(end.getKey());
            long lateUs = heard == null ? Long.MAX_VALUE : heard - end.getValue();
            if (lateUs > TOLD_WITHIN_US) {
                untold++;
                System.out
                    .println("call " + end.getKey() + " was told " + (heard == null ? "never" : lateUs + " us after its end"));
            }
            told.add(lateUs);
        }
        System.out.println("ends, us to be told: " + quantiles(told) + "; not within a second: " + untold);
        System.out.println("loop time a call: " + loopMs * 1000 / Math.max(1, answers.size()) + " us");
        return untold == 0;
    }

    private static String quantiles(List<Long> us) {
        if (us.isEmpty()) {
            return "none";
        }
        us.sort(Long::compare);
        return us.size() + " of them, median " + us.get(us.size() / 2) + ", 99 % " + us.get((int) (us.size() * 0.99)) + ", most "
            + us.get(us.size() - 1);
    }

    private static Map<String, Long> milliseconds(Map<String, Long> threadNs) {
        Map<String, Long> ms = new TreeMap<>();
        threadNs.forEach((thread, ns) -> ms.put(thread, ns / 1_000_000));
        ms.values().removeIf(each -> each == 0);
        return ms;
    }

    private static long nowUs() {
        return System.nanoTime() / 1000;
    }
}
