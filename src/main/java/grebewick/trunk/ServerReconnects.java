package grebewick.trunk;

import grebewick.core.TokenBucket;
import grebewick.trunk.ReconnectBudget.Wait;
import java.util.random.RandomGenerator;

/**
 * When connections to one server are opened again, and how many are kept in reserve. Two backoffs: one after breaks and
 * failures, and a slower one after orderly closes by the server of connections that nothing was open on. Both draw on a
 * budget of this server's, and on the gatekeeper's.
 *
 * <p>Decisions only: the time is handed in, in microseconds of one monotonic clock, and so is the source of randomness.
 */
final class ServerReconnects {
    /** us. After a break or a failure. */
    static final long FIRST_US = 20_000;
    /**
     * us. A server repeats its releases on the next connection to be opened, and a caller is to be told within a second of
     * the server's release: half of that is left for the way.
     */
    static final long LONGEST_US = 500_000;
    /** us. A connection that lived for this long before it broke was stable. */
    static final long STABLE_US = 1_000_000;
    /** Early breaks in a row after which there is no delay: all connections with a server may break at once. */
    static final int FREE_BREAKS = 6;
    /** us. A connection that the server ends in order, and that was unused for less than this, was not ended as idle. */
    static final long IDLE_US = 100_000;
    /** Idle closes in a row after which there is no delay. */
    static final int FREE_IDLE_CLOSES = 2;
    /** us. After an idle close. */
    static final long FIRST_IDLE_US = 100_000;
    /**
     * us. After an orderly close nothing is lost, but a release that comes while no connection is open, or the death of the
     * process, is heard with the next one: a caller is to be told within eight seconds of them.
     */
    static final long LONGEST_IDLE_US = 2_000_000;
    /** us. After an idle close no spare connection is kept for this long: the server would close it again. */
    static final long NO_SPARE_US = 30_000_000;
    /** Reconnects that may come at once, and those of each second. */
    static final int BURST = 6;
    static final double PER_S = 2;

    private final ReconnectBudget all;
    private final TokenBucket own = new TokenBucket(BURST, PER_S);
    private final ReconnectBackoff breaks;
    private final ReconnectBackoff idles;
    /** Connections that have ended or failed, and were not opened again yet. */
    private int due;
    /** One of them broke or failed: something may have been on its way to here on it. */
    private boolean broken;
    private long noSpareBeforeUs = Long.MIN_VALUE;

    ServerReconnects(ReconnectBudget all, RandomGenerator random) {
        this.all = all;
        breaks = new ReconnectBackoff(FREE_BREAKS, FIRST_US, LONGEST_US, STABLE_US, random);
        idles = new ReconnectBackoff(FREE_IDLE_CLOSES, FIRST_IDLE_US, LONGEST_IDLE_US, LONGEST_IDLE_US, random);
    }

    /** No connection came up. */
    void failed(long nowUs) {
        due++;
        broken = true;
        breaks.failed(nowUs);
    }

    /** A connection that came up at {@code sinceUs} broke, or ended under a set-up. */
    void broke(long sinceUs, long nowUs) {
        due++;
        broken = true;
        breaks.ended(sinceUs, nowUs);
    }

    /**
     * The server ended a connection in order that came up at {@code sinceUs}, was last used at {@code usedUs}, and had no
     * set-up open. A process that ends may close its connections so: whether it is gone is to be known at once.
     */
    void closed(long sinceUs, long usedUs, long nowUs) {
        if (nowUs - usedUs < IDLE_US) {
            broke(sinceUs, nowUs);
            return;
        }
        due++;
        idles.ended(sinceUs, nowUs);
        noSpareBeforeUs = nowUs + NO_SPARE_US;
    }

    /** The server has started anew or moved. */
    void restarted() {
        breaks.reset();
        idles.reset();
        noSpareBeforeUs = Long.MIN_VALUE;
    }

    /** The next try is due at once, if the budgets allow it. */
    void retryNow() {
        breaks.reset();
        idles.reset();
    }

    /** Connections to keep up, of those that the descriptors bear. */
    int spare(int borne, long nowUs) {
        return nowUs < noSpareBeforeUs ? Math.min(1, borne) : borne;
    }

    /**
     * Takes leave to open a connection and gives 0, or gives how long it has to wait, in microseconds. {@code needed}: a
     * set-up waits for it. No idle backoff holds it up then, nor after a break.
     */
    long tryOpen(boolean needed, long nowUs) {
        if (due == 0) {
            return 0;
        }
        long breakUs = breaks.waitUs(nowUs);
        long idleUs = needed || broken ? 0 : idles.waitUs(nowUs);
        long ownUs = own.waitUs(1, nowUs);
        long allUs = all.waitUs(nowUs);
        long waitUs = Math.max(Math.max(breakUs, idleUs), Math.max(ownUs, allUs));
        if (waitUs == 0) {
            due--;
            broken = false;
            own.take(1, nowUs);
            all.take(nowUs);
        } else if (waitUs == breakUs) {
            all.waits(Wait.BACKOFF, nowUs);
        } else if (waitUs == idleUs) {
            all.waits(Wait.IDLE_BACKOFF, nowUs);
        } else {
            all.waits(waitUs == ownUs ? Wait.SERVER_BUDGET : Wait.GATEKEEPER_BUDGET, nowUs);
        }
        return waitUs;
    }
}
