package grebewick.liveness;

/**
 * One process behind a server's address, as far as connections can tell, and the lease of the calls that stand there. It is
 * renewed by each sign of life on a connection that is known to reach this process.
 */
public final class ProcessLease {
    private final long number;
    /** How often the server had moved to another address before. */
    private final int moves;
    /** us. When its first connection came up. */
    private final long sinceUs;
    private long heardUs;
    /** us. Since then it may have been alive, which is not proven yet; 0: there is nothing to prove. */
    private long assumedUs;
    private long probedUs;
    /** Looks in time, one after the other, since the last evidence. */
    private int quietLooks;
    private int connections;
    private int calls;
    /** us. When its last connection ended; looked at where there is none. */
    private long endedUs;
    /** As that connection ended, it had just been heard. */
    private boolean endedAlive;
    /** Another one turned out to be the same process, which is kept in its place. */
    private ProcessLease same;

    ProcessLease(long number, int moves, long nowUs) {
        this.number = number;
        this.moves = moves;
        sinceUs = nowUs;
        heardUs = nowUs;
        probedUs = nowUs;
    }

    /** The one that stands for this process now. */
    public ProcessLease current() {
        ProcessLease current = this;
        while (current.same != null) {
            current = current.same;
        }
        return current;
    }

    /** Its number among those at this address, for the log. */
    public long number() {
        return number;
    }

    /** us. When it last showed that it is alive, as far as nothing has disproved it. */
    public long heardUs() {
        return Math.max(heardUs, assumedUs);
    }

    /** Calls that stand there. */
    public int calls() {
        return calls;
    }

    /** Whether calls lean on it. */
    public boolean hasCalls() {
        return calls > 0;
    }

    int moves() {
        return moves;
    }

    long sinceUs() {
        return sinceUs;
    }

    int connections() {
        return connections;
    }

    void callStands() {
        calls++;
    }

    void callEnds() {
        calls--;
    }

    void connected() {
        connections++;
    }

    void heard(long nowUs) {
        heardUs = Math.max(heardUs, nowUs);
        quietLooks = 0;
    }

    /**
     * Its address was reached, by a connection of its own or of another process. Another one would reset connections that it
     * does not know once they are written to: if none is for so long, this was the process itself.
     */
    void assume(long nowUs, long disprovedWithinUs) {
        if (assumedUs != 0 && nowUs - assumedUs < disprovedWithinUs) {
            return;
        }
        heardUs = Math.max(heardUs, assumedUs);
        assumedUs = nowUs;
        quietLooks = 0;
    }

    void disconnected(long nowUs, long freshUs) {
        connections--;
        if (connections == 0) {
            assumedUs = 0;
        }
        endedUs = nowUs;
        endedAlive = nowUs - heardUs <= freshUs;
    }

    /** Whether a connection that comes up now is taken to reach this process: it ended the last one itself, just before. */
    boolean isRejoined(long nowUs, long rejoinUs) {
        return connections == 0 && endedAlive && nowUs - endedUs <= rejoinUs;
    }

    /** Takes over what leans on another, which is the same process. */
    void absorb(ProcessLease other) {
        connections += other.connections;
        calls += other.calls;
        heardUs = Math.max(heardUs, other.heardUs);
        assumedUs = Math.max(assumedUs, other.assumedUs);
        other.same = this;
    }

    void look(boolean inTime) {
        quietLooks = inTime ? quietLooks + 1 : 0;
    }

    int quietLooks() {
        return quietLooks;
    }

    boolean isProbeDue(long nowUs, long everyUs) {
        return nowUs - Math.max(heardUs(), probedUs) >= everyUs;
    }

    void probed(long nowUs) {
        probedUs = nowUs;
    }
}
