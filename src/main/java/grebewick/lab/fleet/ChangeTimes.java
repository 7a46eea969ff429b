package grebewick.lab.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/** When the gatekeepers of one process came to hold each change and the whole list; all times are Unix times, us. */
final class ChangeTimes {
    /** us; later ones count as this. */
    static final long LONGEST_US = 600_000_000;
    private static final int DIGITS = 3;

    /**
     * One change, of one server or of several at once.
     *
     * @param startedUs the moment of the change, which is the start that the list tells of its servers
     * @param holders gatekeepers whose module has been told of it, counted once for each of its servers
     * @param lastUs when the latest of them was
     */
    record Holders(long startedUs, int holders, long lastUs) {
        Holders and(Holders other) {
            return new Holders(startedUs, holders + other.holders, Math.max(lastUs, other.lastUs));
        }
    }

    private final Map<Long, Holders> changes = new TreeMap<>();
    private Histogram delaysUs = newHistogram();
    private long fromUs;
    private int currentCount;
    private long lastCurrentUs;

    /** An empty histogram of times from a change to a gatekeeper that holds it, us. */
    static Histogram newHistogram() {
        return new Histogram(LONGEST_US, DIGITS);
    }

    /** From now on counts the changes since this moment, and forgets earlier ones. */
    synchronized void begin(long sinceUs) {
        changes.clear();
        delaysUs = newHistogram();
        fromUs = sinceUs;
    }

    /** One more gatekeeper holds a change of one server. */
    synchronized void held(long startedUs, long nowUs) {
        if (startedUs < fromUs) {
            return;
        }
        changes.merge(startedUs, new Holders(startedUs, 1, nowUs), Holders::and);
        delaysUs.recordValue(Math.min(LONGEST_US, Math.max(0, nowUs - startedUs)));
    }

    /** One more gatekeeper has the whole list. */
    synchronized void current(long nowUs) {
        currentCount++;
        lastCurrentUs = Math.max(lastCurrentUs, nowUs);
    }

    /** All gatekeepers start anew: what they held is forgotten. */
    synchronized void clear() {
        begin(fromUs);
        currentCount = 0;
        lastCurrentUs = 0;
    }

    synchronized List<Holders> changes() {
        return new ArrayList<>(changes.values());
    }

    /** Times from a change to each that holds it, us. */
    synchronized Histogram delaysUs() {
        return delaysUs.copy();
    }

    synchronized int currentCount() {
        return currentCount;
    }

    synchronized long lastCurrentUs() {
        return lastCurrentUs;
    }
}
