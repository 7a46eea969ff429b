package grebewick.lab.fleet;

import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import picocli.CommandLine.Option;

/** What {@link HollowFleet} is told, but for the sizes and the file. */
final class FleetOptions {
    private static final int MEMORY_LIMIT_MB = 11_000;
    private static final String CONTROL_JVM = "-XX:+UseSerialGC -Xmx128m -Dio.netty.jfr.enabled=false";
    /** The first compiler alone, as gatekeepers have. */
    private static final String WORKER_JVM = "-XX:+UseSerialGC -XX:TieredStopAtLevel=1 -Dio.netty.jfr.enabled=false";
    private static final String ALL_PARTS = "START,IDLE,CHANGES,BURST,ZONE,KILL,SPLIT,RESTART";

    @Option(names = "--distribution", defaultValue = "POLL", description = "${COMPLETION-CANDIDATES} (${DEFAULT-VALUE})")
    Distribution distribution = Distribution.POLL;

    @Option(names = "--services", defaultValue = "280", description = "at most one a server (${DEFAULT-VALUE})")
    int services;

    @Option(names = "--called", defaultValue = "20", description = "services of a gatekeeper (${DEFAULT-VALUE})")
    int called;

    @Option(names = "--regions", defaultValue = "2", description = "1 or 2; a service has a zone in each (${DEFAULT-VALUE})")
    int regions;

    @Option(names = "--machines", defaultValue = "12", description = "control machines to ask (${DEFAULT-VALUE})")
    int machines;

    @Option(names = "--control-jvm", split = " ", defaultValue = CONTROL_JVM, description = "JVM options of a control machine")
    List<String> controlJvm = List.of();

    @Option(names = "--control-mb", defaultValue = "250", description = "memory expected of each (${DEFAULT-VALUE})")
    int controlMb;

    @Option(names = "--workers", defaultValue = "2", description = "processes that hold them (${DEFAULT-VALUE})")
    int workers;

    @Option(names = "--loops", defaultValue = "1", description = "event loops of each process (${DEFAULT-VALUE})")
    int loops;

    @Option(names = "--heap-mb", defaultValue = "1024", description = "heap of each process at the most (${DEFAULT-VALUE})")
    int heapMb;

    @Option(names = "--worker-jvm", split = " ", defaultValue = WORKER_JVM, description = "further JVM options of a worker")
    List<String> workerJvm = List.of();

    @Option(names = "--module", defaultValue = "true", arity = "1", description = "false: the list's client alone")
    boolean hasModule;

    @Option(names = "--in-use", defaultValue = "324", description = "servers a gatekeeper works with (${DEFAULT-VALUE})")
    int inUse;

    @Option(names = "--parts", split = ",", defaultValue = ALL_PARTS, description = "${COMPLETION-CANDIDATES} (all)")
    Set<FleetPart> parts = EnumSet.allOf(FleetPart.class);

    @Option(names = "--changes", defaultValue = "5", description = "changes of the list in a part (${DEFAULT-VALUE})")
    int changes;

    @Option(names = "--every-ms", defaultValue = "2000", description = "ms between two changes (${DEFAULT-VALUE})")
    int everyMs;

    @Option(names = "--burst", defaultValue = "240", description = "servers that change at once (${DEFAULT-VALUE})")
    int burst;

    @Option(names = "--gone-seconds", defaultValue = "3", description = "s that a zone's servers are gone (${DEFAULT-VALUE})")
    int goneS;

    @Option(names = "--split-seconds", defaultValue = "10", description = "s that regions are split (${DEFAULT-VALUE})")
    int splitS;

    @Option(names = "--idle", defaultValue = "10", description = "seconds of the part without changes (${DEFAULT-VALUE})")
    int idleS;

    @Option(names = "--spread-ms", defaultValue = "1000", description = "ms over which starts are spread (${DEFAULT-VALUE})")
    int spreadMs;

    @Option(names = "--patience", defaultValue = "60", description = "s of the longest wait in a part (${DEFAULT-VALUE})")
    int patienceS;

    /** Refuses what the machine is too small for, and adds the part that has to be there. */
    void check() {
        parts = EnumSet.copyOf(parts);
        parts.add(FleetPart.START);
        int controlProcesses = distribution == Distribution.TRANSFER ? machines + regions : 0;
        int expectedMb = workers * heapMb + controlProcesses * controlMb;
        if (expectedMb > MEMORY_LIMIT_MB) {
            throw new IllegalArgumentException(workers + " workers of " + heapMb + " MB and " + controlProcesses
                + " control machines of " + controlMb + " MB are more than " + MEMORY_LIMIT_MB + " MB");
        }
    }

    /** As they stand in a result. */
    List<String> arguments() {
        return List.of("--distribution=" + distribution, "--services=" + services, "--called=" + called, "--regions=" + regions,
            "--machines=" + machines, "--control-jvm=" + String.join(" ", controlJvm), "--workers=" + workers, "--loops=" + loops,
            "--heap-mb=" + heapMb, "--worker-jvm=" + String.join(" ", workerJvm), "--module=" + hasModule, "--in-use=" + inUse,
            "--parts=" + parts, "--changes=" + changes, "--every-ms=" + everyMs, "--burst=" + burst, "--gone-seconds=" + goneS,
            "--split-seconds=" + splitS, "--idle=" + idleS, "--spread-ms=" + spreadMs, "--patience=" + patienceS);
    }
}
