package grebewick.lab.measure;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * What a process has used up to a moment, as Linux tells it in {@code /proc}.
 *
 * @param atNs {@code System.nanoTime()} of the reading
 * @param cpuNs processor time of the process, with that of threads that have ended
 * @param threadNs processor time by name of the threads that live; threads of one name are added up
 * @param residentKb memory in RAM, {@code VmRSS}
 * @param peakKb the most that it ever was, {@code VmHWM}
 * @param descriptors open file descriptors
 */
public record ProcessSample(long atNs, long cpuNs, Map<String, Long> threadNs, long residentKb, long peakKb, int descriptors) {

    /** Reads it now. */
    public static ProcessSample of(long pid) throws IOException {
        Path process = Path.of("/proc", Long.toString(pid));
        Map<String, Long> threadNs = new TreeMap<>();
        File[] tasks = process.resolve("task").toFile().listFiles();
        for (File task : tasks == null ? new File[0] : tasks) {
            try {
                ThreadTime time = ThreadTime.parseStat(Files.readString(task.toPath().resolve("stat")));
                threadNs.merge(time.name(), preciseNs(task.toPath(), time.cpuNs()), Long::sum);
            } catch (IOException e) {
                // A thread that has just ended: its time is lost to this reading.
                threadNs.merge("ended", 0L, Long::sum);
            }
        }
        List<String> status = Files.readAllLines(process.resolve("status"));
        String[] open = process.resolve("fd").toFile().list();
        long cpuNs = ThreadTime.parseStat(Files.readString(process.resolve("stat"))).cpuNs();
        return new ProcessSample(System.nanoTime(), cpuNs, threadNs, statusKb(status, "VmRSS"), statusKb(status, "VmHWM"),
            open == null ? -1 : open.length);
    }

    /** This process, now. */
    public static ProcessSample ofThisProcess() throws IOException {
        return of(ProcessHandle.current().pid());
    }

    private static long preciseNs(Path task, long ticksNs) throws IOException {
        Path schedstat = task.resolve("schedstat");
        return Files.exists(schedstat) ? ThreadTime.parseSchedstat(Files.readString(schedstat)) : ticksNs;
    }

    /** kB of a line such as {@code VmRSS:     1234 kB} of {@code /proc/PID/status}; -1: there is none. */
    static long statusKb(List<String> status, String key) {
        return status.stream().filter(line -> line.startsWith(key + ":"))
            .mapToLong(line -> Long.parseLong(line.replaceAll("\\D", ""))).findFirst().orElse(-1);
    }

    /** Processor time of the threads whose name begins so, ns. */
    public long threadsNs(String prefix) {
        return threadNs.entrySet().stream().filter(e -> e.getKey().startsWith(prefix)).mapToLong(Map.Entry::getValue).sum();
    }

    /** Part of one core that the process used since an earlier reading. */
    public double coresSince(ProcessSample before) {
        return (cpuNs - before.cpuNs) / (double) (atNs - before.atNs);
    }

    /** Part of one core that the threads whose name begins so used since an earlier reading. */
    public double coresSince(ProcessSample before, String prefix) {
        return (threadsNs(prefix) - before.threadsNs(prefix)) / (double) (atNs - before.atNs);
    }
}
