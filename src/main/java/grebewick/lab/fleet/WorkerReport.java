package grebewick.lab.fleet;

import grebewick.lab.fleet.ChangeTimes.Holders;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.zip.DataFormatException;
import org.HdrHistogram.Histogram;

/**
 * What one process of hollow gatekeepers tells the tool that runs it, as lines of text.
 *
 * @param current gatekeepers that have the whole list
 * @param lastCurrentUs when the latest of them had it, Unix time
 * @param cpuNs processor time of the process
 * @param residentKb memory in RAM
 * @param heapKb heap in use
 * @param changes who holds each change
 * @param delaysUs times from a change to each that holds it
 */
record WorkerReport(int current, long lastCurrentUs, long cpuNs, long residentKb, long heapKb, List<Holders> changes,
                    Histogram delaysUs) {
    /** The line after the last of a report. */
    static final String END = "end";
    private static final String STATE = "state";
    private static final String CHANGE = "change";
    private static final String DELAYS = "delays";

    List<String> lines() {
        List<String> lines = new ArrayList<>();
        lines.add(String.join(" ", STATE, "" + current, "" + lastCurrentUs, "" + cpuNs, "" + residentKb, "" + heapKb));
        changes.forEach(c -> lines.add(String.join(" ", CHANGE, "" + c.startedUs(), "" + c.holders(), "" + c.lastUs())));
        lines.add(DELAYS + " " + text(delaysUs));
        lines.add(END);
        return lines;
    }

    private static String text(Histogram histogram) {
        ByteBuffer bytes = ByteBuffer.allocate(histogram.getNeededByteBufferCapacity());
        int length = histogram.encodeIntoCompressedByteBuffer(bytes);
        return Base64.getEncoder().encodeToString(Arrays.copyOf(bytes.array(), length));
    }

    private static Histogram histogram(String text) {
        try {
            return Histogram.decodeFromCompressedByteBuffer(ByteBuffer.wrap(Base64.getDecoder().decode(text)),
                ChangeTimes.LONGEST_US);
        } catch (DataFormatException e) {
            throw new IllegalArgumentException("a report with delays that cannot be read", e);
        }
    }

    static WorkerReport parse(List<String> lines) {
        String[] state = null;
        List<Holders> changes = new ArrayList<>();
        Histogram delaysUs = ChangeTimes.newHistogram();
        for (String line : lines) {
            String[] words = line.split(" ");
            switch (words[0]) {
                case STATE -> state = words;
                case CHANGE -> changes
                    .add(new Holders(Long.parseLong(words[1]), Integer.parseInt(words[2]), Long.parseLong(words[3])));
                case DELAYS -> delaysUs.add(histogram(words[1]));
                default -> throw new IllegalArgumentException("a report with the line " + line);
            }
        }
        if (state == null) {
            throw new IllegalArgumentException("a report without its state: " + lines);
        }
        return new WorkerReport(Integer.parseInt(state[1]), Long.parseLong(state[2]), Long.parseLong(state[3]),
            Long.parseLong(state[4]), Long.parseLong(state[5]), changes, delaysUs);
    }

    /** Both processes together. */
    WorkerReport and(WorkerReport other) {
        Map<Long, Holders> sum = new TreeMap<>();
        changes.forEach(each -> sum.merge(each.startedUs(), each, Holders::and));
        other.changes.forEach(each -> sum.merge(each.startedUs(), each, Holders::and));
        Histogram delays = delaysUs.copy();
        delays.add(other.delaysUs);
        return new WorkerReport(current + other.current, Math.max(lastCurrentUs, other.lastCurrentUs), cpuNs + other.cpuNs,
            residentKb + other.residentKb, heapKb + other.heapKb, List.copyOf(sum.values()), delays);
    }

    /** The changes of those made that all hold who are to. */
    List<Holders> heldByAll(Map<Long, Integer> expectedHolders) {
        return changes.stream()
            .filter(c -> expectedHolders.containsKey(c.startedUs()) && c.holders() >= expectedHolders.get(c.startedUs()))
            .toList();
    }
}
