package grebewick.lab.measure;

/** Processor time that one thread, or a whole process, has used since its start. */
public record ThreadTime(String name, long cpuNs) {
    /** ns in a clock tick of {@code /proc/PID/task/TID/stat}: USER_HZ is 100 on every Linux that runs a JVM here. */
    private static final long TICK_NS = 10_000_000;
    /** Fields after the name in parentheses, counted from the state: utime and stime (proc(5), fields 14 and 15). */
    private static final int USER_TIME = 11;
    private static final int SYSTEM_TIME = 12;

    /** Reads a line of {@code /proc/PID/task/TID/stat} or {@code /proc/PID/stat}; the name may have blanks and parentheses. */
    public static ThreadTime parseStat(String line) {
        int open = line.indexOf('(');
        int close = line.lastIndexOf(')');
        if (open < 0 || close < open) {
            throw new IllegalArgumentException("no name in parentheses: " + line);
        }
        String[] rest = line.substring(close + 1).strip().split(" ");
        if (rest.length <= SYSTEM_TIME) {
            throw new IllegalArgumentException("too few fields: " + line);
        }
        long ticks = Long.parseLong(rest[USER_TIME]) + Long.parseLong(rest[SYSTEM_TIME]);
        return new ThreadTime(line.substring(open + 1, close), ticks * TICK_NS);
    }

    /** ns on a processor, of a line of {@code /proc/PID/task/TID/schedstat}: finer than the ticks. */
    public static long parseSchedstat(String line) {
        return Long.parseLong(line.strip().split(" ")[0]);
    }
}
