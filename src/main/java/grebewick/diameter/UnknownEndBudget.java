package grebewick.diameter;

import grebewick.core.Clock;
import grebewick.core.TokenBucket;
import java.util.HashMap;
import java.util.Map;

/**
 * Ends of sessions that nobody here knows, so many at once and in a second. Each may go to all servers: guards these against ends
 * under ever new and long names, and the ends of other clients against one connection that takes all.
 */
final class UnknownEndBudget {
    /** Of all connections. */
    private static final int MOST = 4_096;
    private static final int MOST_A_S = 256;
    /** The part of these that one connection may take is one in so many. */
    private static final int CONNECTION_PART = 2;
    /** Characters of a Session-Id from which its end counts for one more. */
    private static final int LONG_NAME = 256;

    private final Clock clock;
    private final TokenBucket all = new TokenBucket(MOST, MOST_A_S);
    private final Map<Connection, TokenBucket> byConnection = new HashMap<>();

    UnknownEndBudget(Clock clock) {
        this.clock = clock;
    }

    /** Whether the end of such a session may be passed on now; if so it is counted. */
    boolean tryTake(Connection on, String sessionId) {
        long nowUs = clock.nowUs();
        int cost = 1 + sessionId.length() / LONG_NAME;
        return (!on.isOpen() || of(on).tryTake(cost, nowUs)) && all.tryTake(cost, nowUs);
    }

    private TokenBucket of(Connection connection) {
        return byConnection.computeIfAbsent(connection,
            c -> new TokenBucket(MOST / CONNECTION_PART, MOST_A_S / CONNECTION_PART));
    }

    /** A connection has ended. */
    void forget(Connection connection) {
        byConnection.remove(connection);
    }
}
