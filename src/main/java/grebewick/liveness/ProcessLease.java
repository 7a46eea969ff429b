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
    /** Evidence that is not proven yet, where tests are forbidden. */
    private final AssumedLife assumed = new AssumedLife();
    /** us. The last probe, and the first since the last evidence; 0: there is none since then. */
    private long probedUs;
    private long unansweredUs;
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
        return Math.max(heardUs, assumed.lastUs());
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
        answered();
    }

    /** Its address was reached, by a connection of its own or of another process. */
    void assume(long nowUs, LeaseTimes times) {
        heardUs = Math.max(heardUs, assumed.reached(nowUs, heardUs, times));
        answered();
    }

    private void answered() {
        quietLooks = 0;
        unansweredUs = 0;
    }

    /** Its connections are written to. */
    void challenged(long nowUs) {
        assumed.challenged(nowUs);
    }

    void disconnected(long nowUs, long freshUs) {
        connections--;
        endedUs = nowUs;
        long aliveUs = Math.max(heardUs, assumed.unbrokenUs());
        endedAlive = nowUs - aliveUs <= freshUs;
        if (connections == 0) {
            heardUs = endedAlive ? aliveUs : heardUs;
            assumed.clear();
        }
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
        other.same = this;
    }

    void look(boolean inTime) {
        quietLooks = inTime ? quietLooks + 1 : 0;
    }

    int quietLooks() {
        return quietLooks;
    }

    /** Whether it is to be probed now, whatever that costs. */
    boolean isProbeDue(long nowUs, LeaseTimes times) {
        return unansweredUs > 0 ? nowUs - probedUs >= times.repeatProbeUs() : nowUs - heardUs() >= times.dueProbeUs();
    }

    /** Whether a probe would be of use, and none is out. */
    boolean isProbeUseful(long nowUs, LeaseTimes times) {
        return unansweredUs == 0 && nowUs - heardUs() >= times.earlyProbeUs();
    }

    void probed(long nowUs) {
        probedUs = nowUs;
        unansweredUs = unansweredUs == 0 ? nowUs : unansweredUs;
    }

    /** Whether a probe has had no answer for so long. */
    boolean isSuspect(long nowUs, long us) {
        return unansweredUs > 0 && nowUs - unansweredUs >= us;
    }
}
