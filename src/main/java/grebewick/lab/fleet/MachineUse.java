package grebewick.lab.fleet;

import java.util.List;
import java.util.function.ToLongFunction;
import java.util.stream.IntStream;

/**
 * What one control machine has used up to a moment.
 *
 * @param isPrimary of a region; otherwise gatekeepers ask it
 * @param cpuNs processor time of all its processes so far
 * @param residentKb memory in RAM of the present one; 0: none runs
 * @param messages queries and answers so far
 */
record MachineUse(boolean isPrimary, long cpuNs, long residentKb, long messages) {
    private static final double NS_PER_PERCENT = 1e7;
    private static final double KB_PER_MB = 1024;

    /**
     * The most that any machine of a kind used between two moments; each figure may be another machine's.
     *
     * @param core % of a core
     * @param residentMb at the later moment
     */
    record Busiest(double messagesPerSecond, double core, double residentMb) {}

    /** The busiest primary, or the busiest replica, of the same machines at two moments that are so far apart. */
    static Busiest busiest(boolean isPrimary, List<MachineUse> before, List<MachineUse> after, double seconds) {
        return new Busiest(most(isPrimary, before, after, MachineUse::messages) / seconds,
            most(isPrimary, before, after, MachineUse::cpuNs) / NS_PER_PERCENT / seconds,
            after.stream().filter(use -> use.isPrimary == isPrimary).mapToLong(MachineUse::residentKb).max().orElse(0)
                / KB_PER_MB);
    }

    private static long most(boolean isPrimary, List<MachineUse> before, List<MachineUse> after,
                             ToLongFunction<MachineUse> count) {
        return IntStream.range(0, after.size()).filter(i -> after.get(i).isPrimary == isPrimary)
            .mapToLong(i -> count.applyAsLong(after.get(i)) - count.applyAsLong(before.get(i))).max().orElse(0);
    }
}
