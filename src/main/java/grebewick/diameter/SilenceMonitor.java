package grebewick.diameter;

import grebewick.liveness.LeaseTimes;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Servers with open sessions that fall silent on an open connection. The watchdog of RFC 3539 needs up to three of its
 * intervals to close it, of 6 s each at the least; sessions are over with their lease. A silent server is asked once before that.
 *
 * <p>Decisions only: times are microseconds of one monotonic clock, handed in at regular looks.
 */
final class SilenceMonitor<P> {
    /** us. Between looks. */
    static final long LOOK_US = 500_000;
    /** us. A look that comes so long after the one before is late: who stood still has listened to nobody. */
    private static final long LATE_US = 2 * LOOK_US;
    /** Looks in time, one after the other, that must find a server silent after it was asked. */
    private static final int LEAST_LOOKS = 3;

    /** What is to be done for a server now. */
    enum Action { NOTHING, ASK, EXPIRE }

    private final LeaseTimes times;
    /** Silent servers that were asked, with the looks in time since then. */
    private final Map<P, Integer> asked = new HashMap<>();
    /** Silent servers whose sessions were ended. */
    private final Set<P> expired = new HashSet<>();
    private long lookedUs = Long.MIN_VALUE;
    private boolean inTime;

    SilenceMonitor(LeaseTimes times) {
        this.times = times;
    }

    /** A look begins. */
    void look(long nowUs) {
        inTime = lookedUs == Long.MIN_VALUE || nowUs - lookedUs < LATE_US;
        lookedUs = nowUs;
    }

    /** What a server needs that was last heard at {@code heardUs}; to be asked once a look. */
    Action of(P server, long heardUs) {
        long silentUs = lookedUs - heardUs;
        if (silentUs < times.dueProbeUs()) {
            asked.remove(server);
            expired.remove(server);
            return Action.NOTHING;
        }
        Integer looks = asked.get(server);
        if (looks == null) {
            asked.put(server, 0);
            return Action.ASK;
        }
        asked.put(server, inTime ? looks + 1 : 0);
        boolean isOver = inTime && looks + 1 >= LEAST_LOOKS && silentUs >= times.leaseUs();
        return isOver && expired.add(server) ? Action.EXPIRE : Action.NOTHING;
    }

    /** No session is open there any more. */
    void retainAll(Set<P> servers) {
        asked.keySet().retainAll(servers);
        expired.retainAll(servers);
    }
}
