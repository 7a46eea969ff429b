package grebewick.lab.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** When the gatekeepers of one process came to hold each change and the whole list; all times are Unix times, us. */
final class ChangeTimes {
    /**
     * One change.
     *
     * @param startedUs the moment of the change, which is the start that the list tells of a server
     * @param holders gatekeepers whose module has been told of it
     * @param lastUs when the latest of them was
     */
    record Holders(long startedUs, int holders, long lastUs) {
        Holders and(Holders other) {
            return new Holders(startedUs, holders + other.holders, Math.max(lastUs, other.lastUs));
        }
    }

    private final Map<Long, Holders> changes = new TreeMap<>();
    private int currentCount;
    private long lastCurrentUs;

    /** One more gatekeeper holds a change. */
    synchronized void held(long startedUs, long nowUs) {
        changes.merge(startedUs, new Holders(startedUs, 1, nowUs), Holders::and);
    }

    /** One more gatekeeper has the whole list. */
    synchronized void current(long nowUs) {
        currentCount++;
        lastCurrentUs = Math.max(lastCurrentUs, nowUs);
    }

    /** All gatekeepers start anew: what they held is forgotten. */
    synchronized void clear() {
        changes.clear();
        currentCount = 0;
        lastCurrentUs = 0;
    }

    synchronized List<Holders> changes() {
        return new ArrayList<>(changes.values());
    }

    synchronized int currentCount() {
        return currentCount;
    }

    synchronized long lastCurrentUs() {
        return lastCurrentUs;
    }
}
