package grebewick.lab.fleet;

import grebewick.lab.fleet.ChangeTimes.Holders;
import java.util.ArrayList;
import java.util.List;

/**
 * What one process of hollow gatekeepers tells the tool that runs it, as lines of text.
 *
 * @param current gatekeepers that have the whole list
 * @param lastCurrentUs when the latest of them had it, Unix time
 * @param cpuNs processor time of the process
 * @param residentKb memory in RAM
 * @param heapKb heap in use after a collection
 * @param changes who holds each change
 */
record WorkerReport(int current, long lastCurrentUs, long cpuNs, long residentKb, long heapKb, List<Holders> changes) {
    /** The line after the last of a report. */
    static final String END = "end";
    private static final String STATE = "state";
    private static final String CHANGE = "change";

    List<String> lines() {
        List<String> lines = new ArrayList<>();
        lines.add(String.join(" ", STATE, "" + current, "" + lastCurrentUs, "" + cpuNs, "" + residentKb, "" + heapKb));
        changes.forEach(c -> lines.add(String.join(" ", CHANGE, "" + c.startedUs(), "" + c.holders(), "" + c.lastUs())));
        lines.add(END);
        return lines;
    }

    static WorkerReport parse(List<String> lines) {
        String[] state = null;
        List<Holders> changes = new ArrayList<>();
        for (String line : lines) {
            String[] words = line.split(" ");
            if (words[0].equals(STATE)) {
                state = words;
            } else if (words[0].equals(CHANGE)) {
                changes.add(new Holders(Long.parseLong(words[1]), Integer.parseInt(words[2]), Long.parseLong(words[3])));
            }
        }
        if (state == null) {
            throw new IllegalArgumentException("a report without its state: " + lines);
        }
        return new WorkerReport(Integer.parseInt(state[1]), Long.parseLong(state[2]), Long.parseLong(state[3]),
            Long.parseLong(state[4]), Long.parseLong(state[5]), changes);
    }

    /** Both processes together. */
    WorkerReport and(WorkerReport other) {
        ChangeSum sum = new ChangeSum();
        changes.forEach(sum::add);
        other.changes.forEach(sum::add);
        return new WorkerReport(current + other.current, Math.max(lastCurrentUs, other.lastCurrentUs), cpuNs + other.cpuNs,
            residentKb + other.residentKb, heapKb + other.heapKb, sum.list());
    }

    /** Adds holders up by change. */
    private static final class ChangeSum {
        private final java.util.Map<Long, Holders> sum = new java.util.TreeMap<>();

        void add(Holders each) {
            sum.merge(each.startedUs(), each, Holders::and);
        }

        List<Holders> list() {
            return List.copyOf(sum.values());
        }
    }
}
