package grebewick.lab.hostile;

import grebewick.lab.measure.ProcessSample;
import io.vertx.core.Vertx;
import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Plays each kind of hostile traffic against each front, and prints a line a play; exit code 1 where one breaks a limit. */
@Command(name = "HostilePlays", mixinStandardHelpOptions = true)
public final class HostilePlays implements Callable<Integer> {
    private static final int START_S = 20;
    private static final int POLL_MS = 50;
    private static final int WARM_MS = 2_000;
    private static final int AFTER_MS = 1_500;

    /** The fronts that can be played. */
    enum Front { SIP, DIAMETER, WEB, CHALLENGES }

    @Option(names = "--fronts", split = ",", description = "of ${COMPLETION-CANDIDATES}; all by default")
    private Set<Front> fronts = EnumSet.allOf(Front.class);

    @Option(names = "--traffic", split = ",", description = "of ${COMPLETION-CANDIDATES}; all by default")
    private Set<HostileTraffic> kinds = EnumSet.allOf(HostileTraffic.class);

    @Option(names = "--seconds", defaultValue = "6", description = "seconds of hostile traffic (${DEFAULT-VALUE})")
    private int seconds;

    @Option(names = "--most-mb", defaultValue = "192", description = "memory limit of the process, MB (${DEFAULT-VALUE})")
    private int mostMb;

    @Option(names = "--most-wait-ms", defaultValue = "1000", description = "limit of 99 in 100 waits, ms (${DEFAULT-VALUE})")
    private int mostWaitMs;

    @Parameters(arity = "0..*", description = "after --: the command that starts a gatekeeper")
    private List<String> command = new ArrayList<>();

    /** Prints what it measured. */
    public static void main(String[] args) {
        System.exit(new CommandLine(new HostilePlays()).setCaseInsensitiveEnumValuesAllowed(true).execute(args));
    }

    @Override
    public Integer call() throws Exception {
        int broken = 0;
        for (Front front : fronts) {
            for (HostileTraffic kind : kinds) {
                Vertx vertx = Vertx.vertx();
                broken += play(front, under(front, vertx), kind) ? 0 : 1;
                vertx.close();
            }
        }
        System.out.println(broken + " plays broke a limit");
        return broken == 0 ? 0 : 1;
    }

    private static FrontUnderTest under(Front front, Vertx vertx) {
        return switch (front) {
            case SIP -> new SipUnderTest(vertx);
            case DIAMETER -> new DiameterUnderTest();
            case WEB -> new WebUnderTest();
            case CHALLENGES -> new ChallengesUnderTest();
        };
    }

    private boolean play(Front name, FrontUnderTest front, HostileTraffic kind) throws Exception {
        Path folder = Files.createTempDirectory("hostile");
        Map<String, String> variables = front.open(folder);
        ProcessBuilder builder = new ProcessBuilder(front.command(command)).redirectErrorStream(true)
            .redirectOutput(new File(folder.toFile(), "log"));
        builder.environment().putAll(variables);
        Process process = builder.start();
        try {
            awaitListening(front.port());
            SoundClients sound = new SoundClients(front);
            HostileClients hostile = new HostileClients(front, kind);
            sound.start();
            Thread.sleep(WARM_MS);
            hostile.start();
            Thread.sleep(seconds * 1_000L);
            hostile.stop();
            Thread.sleep(AFTER_MS);
            sound.stop();
            return report(name, front, kind, process, sound, hostile);
        } finally {
            process.destroyForcibly().waitFor();
        }
    }

    private static void awaitListening(int port) throws InterruptedException, IOException {
        for (int i = 0; i < START_S * 1_000 / POLL_MS; i++) {
            try (Socket probe = new Socket(InetAddress.getLoopbackAddress(), port)) {
                return;
            } catch (IOException e) {
                Thread.sleep(POLL_MS);
            }
        }
        throw new IOException("nothing listens at port " + port);
    }

    private boolean report(Front name, FrontUnderTest front, HostileTraffic kind, Process process, SoundClients sound,
                           HostileClients hostile)
        throws IOException {
        long peakMb = process.isAlive() ? ProcessSample.of(process.pid()).peakKb() / 1_024 : -1;
        long waitMs = sound.waitUs.getValueAtPercentile(99) / 1_000;
        Map<Long, Integer> reached = front.reached();
        long twice = reached.values().stream().filter(times -> times > 1).count();
        boolean kept = process.isAlive() && peakMb <= mostMb && waitMs <= mostWaitMs && sound.unanswered.get() == 0 && twice == 0;
        System.out.printf("%-10s %-18s %s hostile=%d sound=%d p50-ms=%d p99-ms=%d max-ms=%d refused=%d unanswered=%d peak-mb=%d "
            + "alive=%b reached=%d twice=%d%n", name, kind, kept ? "kept  " : "BROKEN", hostile.sent.get(),
            sound.waitUs.getTotalCount(),
            sound.waitUs.getValueAtPercentile(50) / 1_000, waitMs, sound.waitUs.getMaxValue() / 1_000, sound.refused.get(),
            sound.unanswered.get(), peakMb, process.isAlive(), reached.size(), twice);
        return kept;
    }
}
