package grebewick.trunk;

import grebewick.core.TokenBucket;
import java.util.function.Consumer;

/**
 * How many connections may be opened again to all servers of this gatekeeper together: a token bucket. What was opened
 * again and what had to wait is counted, and said in the log at most every {@link #LOG_GAP_US}. The first connections to a
 * server, and further ones under load, are none of its business: {@link Quota} bounds them.
 *
 * <p>Decisions only: the time is handed in, in microseconds of one monotonic clock.
 */
final class ReconnectBudget {
    /** s. In which the bucket is refilled: as many connections as the descriptors bear. */
    static final double REFILL_S = 2;
    /** us. Between two lines of the log. */
    static final long LOG_GAP_US = 5_000_000;

    /** Why a connection is not opened again yet. */
    enum Wait { BACKOFF, IDLE_BACKOFF, SERVER_BUDGET, GATEKEEPER_BUDGET }

    private final TokenBucket tokens;
    private final Consumer<String> log;
    private final long[] waits = new long[Wait.values().length];
    private long opened;
    private long loggedUs = Long.MIN_VALUE;

    /** {@code connections}: those that the descriptors bear, to all servers together. */
    ReconnectBudget(int connections, Consumer<String> log) {
        tokens = new TokenBucket(connections, connections / REFILL_S);
        this.log = log;
    }

    /** How long until one more may be opened, in microseconds; 0: now. */
    long waitUs(long nowUs) {
        return tokens.waitUs(1, nowUs);
    }

    /** One is opened again; to be called where {@link #waitUs} is 0. */
    void take(long nowUs) {
        tokens.take(1, nowUs);
        opened++;
    }

    /** One has to wait. */
    void waits(Wait why, long nowUs) {
        waits[why.ordinal()]++;
        say(nowUs);
    }

    /** Connections opened again since the start. */
    long opened() {
        return opened;
    }

    /** Waits of that kind since the start. */
    long waits(Wait why) {
        return waits[why.ordinal()];
    }

    private void say(long nowUs) {
        if (loggedUs != Long.MIN_VALUE && nowUs - loggedUs < LOG_GAP_US) {
            return;
        }
        loggedUs = nowUs;
        log.accept("reconnects: " + opened + " so far; waits: " + waits(Wait.BACKOFF) + " for a backoff, "
            + waits(Wait.IDLE_BACKOFF) + " after idle closes, " + waits(Wait.SERVER_BUDGET) + " for a server's budget, "
            + waits(Wait.GATEKEEPER_BUDGET) + " for the gatekeeper's budget");
    }
}
