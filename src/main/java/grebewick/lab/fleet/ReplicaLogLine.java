package grebewick.lab.fleet;

import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The line of counters that a replica's process logs (docs/replica.md), since its start.
 *
 * @param queries that it has answered in one way or another
 * @param bytes of its answers
 * @param refused queries over its limits
 * @param held zones that it has a version of
 */
record ReplicaLogLine(long queries, long bytes, long refused, int held) {
    /** Before the first line. */
    static final ReplicaLogLine NONE = new ReplicaLogLine(0, 0, 0, 0);
    private static final Pattern FORM = Pattern
        .compile("replica: (\\d+) queries, .* (\\d+) bytes, .* (\\d+) refused, .*; (\\d+) of \\d+ zones held, .*");

    /** Empty: another line. */
    static Optional<ReplicaLogLine> parse(String line) {
        Matcher m = FORM.matcher(line);
        return m.matches()
            ? Optional.of(new ReplicaLogLine(Long.parseLong(m.group(1)), Long.parseLong(m.group(2)), Long.parseLong(m.group(3)),
                Integer.parseInt(m.group(4))))
            : Optional.empty();
    }
}
