package grebewick.lab.measure;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.Locale;

/**
 * The conditions of a run, to be stated beside its figures.
 *
 * @param at Unix time, to the second
 * @param processors that the JVM sees
 * @param loadAverage of the last minute
 * @param running threads that ran or waited for a processor at that moment
 * @param otherJavaProcesses Java processes beside this one and its children
 */
public record MachineState(Instant at, int processors, double loadAverage, int running, long otherJavaProcesses) {

    /** Reads it now. */
    public static MachineState now() throws IOException {
        String loadavg = Files.readString(Path.of("/proc/loadavg"));
        long ownPid = ProcessHandle.current().pid();
        long others = ProcessHandle.allProcesses().filter(p -> p.info().command().orElse("").endsWith("java"))
            .filter(p -> p.pid() != ownPid && p.parent().map(ProcessHandle::pid).orElse(0L) != ownPid).count();
        return of(Instant.now().truncatedTo(ChronoUnit.SECONDS), Runtime.getRuntime().availableProcessors(), loadavg, others);
    }

    /** From the text of {@code /proc/loadavg}: {@code 0.20 0.18 0.12 1/80 11206}. */
    static MachineState of(Instant at, int processors, String loadavg, long otherJavaProcesses) {
        String[] fields = loadavg.strip().split(" ");
        return new MachineState(at, processors, Double.parseDouble(fields[0]), Integer.parseInt(fields[3].split("/")[0]),
            otherJavaProcesses);
    }

    @Override
    public String toString() {
        return String.format(Locale.ROOT, "%s, %d processors, load average %.2f, %d running, %d other Java processes", at,
            processors, loadAverage, running, otherJavaProcesses);
    }
}
