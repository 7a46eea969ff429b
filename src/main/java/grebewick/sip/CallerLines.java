package grebewick.sip;

import grebewick.core.EventLog;
import grebewick.core.EventLog.Event;
import grebewick.teardown.Abandonment;
import grebewick.teardown.TeardownRoutes;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;

/**
 * All connections from callers. Guards the descriptors against those who open connections and say nothing, or ask
 * once and stay: the servers' connections and the usual callers' need theirs.
 */
final class CallerLines implements TeardownRoutes<Long, SipMessage, CallerLine> {
    /** us. In which a new connection has to say something whole, and a message that has begun has to end. */
    static final long WORD_US = 1_800_000;
    /**
     * us. Usual callers close a connection that has carried no call for 4 s; one that stays for longer is of no use. While a
     * call stands on it, it may be the only way on which its end can be told.
     */
    static final long IDLE_US = 6_000_000;

    private final int most;
    private final EventLog eventLog;
    private final Set<CallerLine> all = new LinkedHashSet<>();

    CallerLines(int most, EventLog eventLog) {
        this.most = most;
        this.eventLog = eventLog;
    }

    /** Takes a connection in; true: there are more than the limit, and others are to go ({@link #evict}). */
    boolean add(CallerLine line) {
        all.add(line);
        return all.size() > most;
    }

    /**
     * Closes connections beyond the limit: strangers first, never one with an open set-up. To be called once all input is
     * read, as what a connection has sent may be a set-up.
     */
    void evict(long nowUs) {
        CallerLine victim = all.size() > most ? victim(nowUs) : null;
        while (victim != null) {
            remove(victim);
            victim.close();
            victim = all.size() > most ? victim(nowUs) : null;
        }
    }

    private CallerLine victim(long nowUs) {
        CallerLine victim = eldest(l -> !l.asked && l.open.isEmpty());
        victim = victim != null ? victim : eldest(l -> !l.proven && l.rests(nowUs));
        victim = victim != null ? victim : eldest(l -> l.rests(nowUs));
        return victim != null ? victim : eldest(l -> l.open.isEmpty() && nowUs - l.heardUs >= IDLE_US);
    }

    private CallerLine eldest(Predicate<CallerLine> which) {
        CallerLine found = null;
        for (CallerLine line : all) {
            if (which.test(line) && (found == null || line.heardUs < found.heardUs)) {
                found = line;
            }
        }
        return found;
    }

    void remove(CallerLine line) {
        all.remove(line);
    }

    /** Whether it is still there to be written to. */
    boolean has(CallerLine line) {
        return line != null && !line.closed && all.contains(line);
    }

    /** Where a caller is most likely to be heard: by rank, then the last one heard. Any caller takes any call's end. */
    @Override
    public CallerLine best(Long call, CallerLine but) {
        CallerLine best = null;
        for (CallerLine line : all) {
            if (line != but && line.spoke && !line.closed && (best == null || line.rank() > best.rank()
                || line.rank() == best.rank() && line.heardUs >= best.heardUs)) {
                best = line;
            }
        }
        return best;
    }

    @Override
    public int rank(CallerLine line) {
        return has(line) ? line.rank() : -1;
    }

    @Override
    public void write(Long call, SipMessage bye, CallerLine line, boolean again) {
        line.write(bye);
    }

    @Override
    public void abandoned(Long call, Abandonment why, int tries) {
        eventLog.write(Event.TEARDOWN_ABANDONED,
            () -> "call=" + EventLog.id(call) + " reason=" + why + " tries=" + tries + " callers=" + all.size());
    }

    /** Bytes that callers were sent and the network has not taken. */
    long unwritten() {
        long sum = 0;
        for (CallerLine line : all) {
            sum += line.unread();
        }
        return sum;
    }

    /** Closes what has been silent, half said or idle for too long, and has no call. */
    void sweep(long nowUs) {
        for (CallerLine line : List.copyOf(all)) {
            boolean silent = !line.spoke && nowUs - line.sinceUs >= WORD_US;
            boolean half = line.halfUs > 0 && nowUs - line.halfUs >= WORD_US;
            boolean idle = nowUs - line.heardUs >= IDLE_US;
            if (!line.closed && line.open.isEmpty() && line.standing == 0 && (silent || half || idle)) {
                line.close();
            }
        }
    }
}
