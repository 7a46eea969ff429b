package grebewick.lab.faults;

import java.util.Collections;
import java.util.List;

/**
 * What became of the calls that stood on the struck servers.
 *
 * @param calls that stood there as the fault struck
 * @param toldUs us from the fault until each caller was told that its call is over
 * @param untold calls whose callers were not told
 * @param runs whether the gatekeeper still runs
 * @param log the gatekeeper's
 */
record TrialResult(VanishingFault fault, long seed, int calls, List<Long> toldUs, List<Long> untold, boolean runs,
                   List<String> log) {
    /** us. By then the caller of a call that is over is to be told. */
    static final long TOLD_WITHIN_US = 8_000_000;

    /** Whether all that are over were told in time, and none that stands. */
    boolean isKept() {
        if (!runs || calls == 0) {
            return false;
        }
        return fault.endsCalls ? untold.isEmpty() && longestUs() <= TOLD_WITHIN_US : toldUs.isEmpty();
    }

    /** us until the last caller was told that was; 0: none was. */
    long longestUs() {
        return toldUs.isEmpty() ? 0 : Collections.max(toldUs);
    }

    /** us until half of them were told; 0: none was. */
    long medianUs() {
        return toldUs.isEmpty() ? 0 : toldUs.stream().sorted().toList().get(toldUs.size() / 2);
    }

    /** Lines of the log that name one of the calls that went wrong. */
    List<String> explanation() {
        return log.stream().filter(line -> untold.stream().anyMatch(id -> line.contains(String.format("call=%016x", id))))
            .toList();
    }
}
