package grebewick.lab.fleet;

import grebewick.lab.fleet.ChangeTimes.Holders;
import grebewick.lab.fleet.MachineUse.Busiest;
import grebewick.lab.measure.Traffic;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.HdrHistogram.Histogram;

/**
 * What one part of a run cost, and how long it took.
 *
 * @param gatekeepers in the run
 * @param seconds from its beginning to its end
 * @param traffic of all machines that gatekeepers ask
 * @param cpuNs processor time of all workers
 * @param replica the busiest machine that gatekeepers ask; null: machines have no processes of their own
 * @param primary the busiest primary; null as above
 * @param peakMessages the most messages of one machine in a second
 * @param peakBytes likewise
 * @param current gatekeepers that had the whole list at its end
 * @param currentUs from its beginning until the last gatekeeper had the whole list; negative: it had it before
 * @param made holders expected of each change, by the change's start
 * @param held the changes that all of them hold
 * @param delaysUs from a change to each gatekeeper that holds it
 * @param metUs from the end of a split until all held all; negative: no split
 * @param heapKb of a gatekeeper, after a collection; negative: not read
 * @param residentKb of a gatekeeper, likewise
 * @param loadAverage of the machine at its end
 */
record FleetReading(FleetPart part, int gatekeepers, double seconds, Traffic traffic, long cpuNs, Busiest replica,
                    Busiest primary,
                    long peakMessages, long peakBytes, int current, long currentUs, Map<Long, Integer> made, List<Holders> held,
                    Histogram delaysUs, long metUs, double heapKb, double residentKb, double loadAverage) {
    /** What the cells of a row are, after the run's own. */
    static final List<String> COLUMNS = List.of("part", "seconds", "KB/s a gatekeeper", "messages/s a gatekeeper",
        "core % a gatekeeper", "messages/s of the busiest replica", "core % of the busiest replica",
        "RSS MB of the largest replica", "messages/s of the busiest primary", "core % of the busiest primary",
        "RSS MB of the largest primary", "peak messages/s at one machine", "peak MB/s at one machine", "all current after s",
        "changes held by all", "last holds after s, worst", "held after s, 99 %", "all held after the split's end, s",
        "heap KB a gatekeeper", "RSS KB a gatekeeper", "load average");
    private static final String NONE = "-";
    private static final double US_PER_S = 1e6;
    private static final double NS_PER_PERCENT = 1e7;
    private static final int PERCENTILE = 99;

    /** KB a second of each gatekeeper, both ways. */
    double kilobytesPerSecond() {
        return traffic.bytes() / seconds / gatekeepers / 1000;
    }

    /** % of a core of each gatekeeper. */
    double core() {
        return cpuNs / NS_PER_PERCENT / seconds / gatekeepers;
    }

    /** From a change to the last gatekeeper that holds it, s, the worst of all changes; "-": none made, or none held by all. */
    Object worst() {
        return held.isEmpty() ? NONE
            : (Object) (held.stream().mapToLong(c -> c.lastUs() - c.startedUs()).max().orElse(0) / US_PER_S);
    }

    private Object allCurrent() {
        if (current < gatekeepers) {
            return "not all: " + current;
        }
        return currentUs < 0 ? NONE : (Object) (currentUs / US_PER_S);
    }

    /** The cells of a row. */
    List<Object> cells() {
        List<Object> cells = new ArrayList<>(List.of(part.title(), seconds, kilobytesPerSecond(),
            traffic.messages() / seconds / gatekeepers, core()));
        addBusiest(cells, replica);
        addBusiest(cells, primary);
        cells.addAll(List.of(peakMessages, peakBytes / 1e6, allCurrent(),
            made.isEmpty() ? NONE : held.size() + " of " + made.size(), worst(),
            made.isEmpty() || delaysUs.getTotalCount() == 0 ? NONE
                : (Object) (delaysUs.getValueAtPercentile(PERCENTILE) / US_PER_S),
            metUs < 0 ? NONE : (Object) (metUs / US_PER_S), heapKb < 0 ? NONE : (Object) heapKb,
            heapKb < 0 ? NONE : (Object) residentKb, loadAverage));
        return cells;
    }

    private static void addBusiest(List<Object> cells, Busiest machine) {
        cells.addAll(machine == null ? List.of(NONE, NONE, NONE)
            : List.of(machine.messagesPerSecond(), machine.core(), machine.residentMb()));
    }

    @Override
    public String toString() {
        return String.format(Locale.ROOT,
            "%s, %.1f s: %.2f KB/s and %.3f %% of a core each; all current after %s s, held by all %d of %d, worst %s s",
            part.title(), seconds, kilobytesPerSecond(), core(), allCurrent(), held.size(), made.size(), worst());
    }
}
