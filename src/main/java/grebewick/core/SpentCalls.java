package grebewick.core;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The callers' ids of calls that ended without standing and that a server may have run. Guards the release time and servers'
 * work where an id comes again, as after the loss of its caller's connection: it is the same call, and does not run twice.
 * Times are microseconds of the core's clock.
 */
final class SpentCalls {
    /** us. Longer than a set-up can be on its way or come late. */
    static final long REMEMBERED_US = 60_000_000;
    /** Above it the eldest is forgotten early. */
    static final int MOST = 16_384;

    /** By id, when it is forgotten; in this order. */
    private final Map<Long, Long> untilById = new LinkedHashMap<>();

    void add(long id, long nowUs) {
        untilById.remove(id);
        untilById.put(id, nowUs + REMEMBERED_US);
        Iterator<Long> eldest = untilById.values().iterator();
        while (eldest.next() <= nowUs || untilById.size() > MOST) {
            eldest.remove();
        }
    }

    boolean has(long id, long nowUs) {
        Long until = untilById.get(id);
        return until != null && nowUs < until;
    }

    int size() {
        return untilById.size();
    }
}
