package grebewick.trunk;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Tells a set-up that broke on its way to a server from a call that the server cut. Both end with cause 41, and the answer
 * in between may be late or lost: then the call stood and is over, while the gatekeeper has seen a reset alone. A set-up
 * that is reset in the moment in which its server cuts standing calls is taken to be cut with them.
 *
 * <p>One instance a server. Decisions only: the time is handed in, in microseconds of one monotonic clock.
 */
final class CutDetector {
    /** us. What a server ends in one moment comes within this time. */
    static final long WINDOW_US = 100_000;

    private final Map<Long, Long> resetAtUs = new LinkedHashMap<>();
    private boolean hasCut;
    private long cutUs;

    /** A standing call was cut; gives the set-ups that were reset in the same moment. */
    List<Long> cut(long nowUs) {
        hasCut = true;
        cutUs = nowUs;
        forget(nowUs);
        List<Long> also = new ArrayList<>(resetAtUs.keySet());
        resetAtUs.clear();
        return also;
    }

    /** The set-up of that call was reset by its server; true: standing calls were cut in the same moment. */
    boolean reset(long call, long nowUs) {
        if (hasCut && nowUs - cutUs <= WINDOW_US) {
            return true;
        }
        forget(nowUs);
        resetAtUs.put(call, nowUs);
        return false;
    }

    private void forget(long nowUs) {
        Iterator<Long> eldest = resetAtUs.values().iterator();
        while (eldest.hasNext() && nowUs - eldest.next() > WINDOW_US) {
            eldest.remove();
        }
    }
}
