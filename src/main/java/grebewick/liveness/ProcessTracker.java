package grebewick.liveness;

import java.util.ArrayList;
import java.util.List;

/**
 * The processes behind the address of one server. An address may be taken over by another process, which knows nothing of the
 * calls of the one before: each connection is therefore known to reach one process, and a sign of life renews the lease of
 * that process alone. Two connections reach the same process where the older one is heard after the newer one came up, as an
 * address has one process at a time; and where a connection follows one that the process ended itself.
 *
 * <p>Times are microseconds of one monotonic clock, handed in. Not thread safe.
 */
public final class ProcessTracker {
    /** Looks in time without evidence before a lease may run out: a gatekeeper that stood still has listened to nobody. */
    static final int LEAST_QUIET_LOOKS = 5;
    /** us. A look that comes so long after the one before is late. */
    static final long LATE_LOOK_US = 400_000;

    /** What is due for a process with calls. */
    public enum Action { PROBE, EXPIRE }

    /** An action that is due. */
    public record Due(ProcessLease process, Action action) {}

    private final LeaseTimes times;
    private final ProbeBudget budget;
    /** The oldest first; the last is the one that new connections reach. */
    private final List<ProcessLease> processes = new ArrayList<>();
    private long nextNumber = 1;
    private int moves;
    private long lookedUs = Long.MIN_VALUE;
    private boolean probesOften;

    /** Nothing is known of the address yet. */
    public ProcessTracker(LeaseTimes times, ProbeBudget budget) {
        this.times = times;
        this.budget = budget;
    }

    /** From now on evidence is to be fresh whatever it costs: this gatekeeper ends soon. */
    public void probeOften() {
        probesOften = true;
    }

    /** A connection came up; gives the process that it reaches. */
    public ProcessLease connected(long nowUs) {
        ProcessLease last = processes.isEmpty() ? null : processes.get(processes.size() - 1);
        if (last == null || last.moves() != moves || !last.isRejoined(nowUs, times.rejoinUs())) {
            last = new ProcessLease(nextNumber++, moves, nowUs);
            processes.add(last);
        }
        last.connected();
        last.heard(nowUs);
        return last;
    }

    /** Something came on a connection of this process. */
    public void heard(ProcessLease process, long nowUs) {
        ProcessLease alive = process.current();
        alive.heard(nowUs);
        absorbNewer(alive, nowUs - times.overlapUs());
    }

    /** What came up after that process, up to a moment, has turned out to be the same one. */
    private void absorbNewer(ProcessLease process, long upToUs) {
        int at = processes.indexOf(process);
        if (at < 0) {
            return;
        }
        processes.subList(at + 1, processes.size()).removeIf(other -> {
            boolean isSame = other.moves() == process.moves() && other.sinceUs() <= upToUs;
            if (isSame) {
                process.absorb(other);
            }
            return isSame;
        });
    }

    /** Where tests are forbidden: all connections of that process are written to. */
    public void challenged(ProcessLease process, long nowUs) {
        process.current().challenged(nowUs);
    }

    /**
     * Where tests are forbidden: the address was reached by a new connection. Processes that keep connections from before are
     * taken to be alive, until these are reset as they are written to.
     */
    public void reached(long nowUs) {
        for (ProcessLease process : processes) {
            if (process.connections() > 0 && process.moves() == moves) {
                process.assume(nowUs, times);
            }
        }
    }

    /**
     * A connection of this process has ended, whoever ended it. Where it was the last, and the process had just been heard, what
     * came up a moment before has reached the same process, as what comes up after it will.
     */
    public void disconnected(ProcessLease process, long nowUs) {
        ProcessLease left = process.current();
        left.disconnected(nowUs, times.freshUs());
        if (left.isRejoined(nowUs, times.rejoinUs())) {
            absorbNewer(left, nowUs);
        }
        tidy();
    }

    /** The server has another address: what comes up from now on reaches another process, whatever the old one says. */
    public void moved() {
        moves++;
    }

    /** A call stands at this process. One that was given up is known again: it has just answered. */
    public void callStands(ProcessLease process) {
        ProcessLease alive = process.current();
        if (!processes.contains(alive)) {
            processes.add(0, alive);
        }
        alive.callStands();
    }

    /** A call that stood there is over, or is forgotten. */
    public void callEnds(ProcessLease process) {
        process.current().callEnds();
        tidy();
    }

    /** What is due now, to be asked for at regular looks. A lease that has run out is told once. */
    public List<Due> due(long nowUs) {
        boolean inTime = lookedUs == Long.MIN_VALUE || nowUs - lookedUs < LATE_LOOK_US;
        lookedUs = nowUs;
        List<Due> due = new ArrayList<>();
        for (ProcessLease process : List.copyOf(processes)) {
            process.look(inTime);
            if (!process.hasCalls()) {
                continue;
            }
            if (nowUs - process.heardUs() >= times.leaseUs() && process.quietLooks() >= LEAST_QUIET_LOOKS) {
                processes.remove(process);
                due.add(new Due(process, Action.EXPIRE));
            } else if (isProbed(process, nowUs)) {
                process.probed(nowUs);
                due.add(new Due(process, Action.PROBE));
            }
        }
        return due;
    }

    private boolean isProbed(ProcessLease process, long nowUs) {
        if (process.isProbeDue(nowUs, times) || probesOften && process.isProbeUseful(nowUs, times)) {
            budget.spend();
            return true;
        }
        return process.isProbeUseful(nowUs, times) && budget.tryTake();
    }

    /** Processes with calls that have left probes without an answer for a while. */
    public List<ProcessLease> suspects(long nowUs) {
        return processes.stream().filter(process -> process.hasCalls() && process.isSuspect(nowUs, times.suspectUs())).toList();
    }

    /** What nothing leans on and no connection reaches is forgotten, but for the last: it may yet be rejoined. */
    private void tidy() {
        ProcessLease last = processes.isEmpty() ? null : processes.get(processes.size() - 1);
        processes.removeIf(process -> process != last && !process.hasCalls() && process.connections() == 0);
    }
}
