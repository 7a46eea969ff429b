package grebewick.diameter;

import grebewick.core.Timers;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongConsumer;
import java.util.function.LongPredicate;
import java.util.function.Predicate;

/**
 * Requests that were given up, until their servers are known to have heard so. A server reads what comes on one connection in
 * order, so it has heard of the STR once it answers that, or a watchdog request that was written after it. One that answers
 * neither in time is cut off if another server waits for the request, as it may have that only then.
 */
final class UnheardGiveUps {
    /** us. After which a server that has not answered the STR is asked by a watchdog request. */
    static final long ASK_AFTER_US = 100_000;
    /** us. After which a server that has answered neither loses its connection, if another one waits for the request. */
    static final long MOST_US = 2_000_000;
    /** us. Between later looks whether one does. */
    private static final long LOOK_US = 250_000;

    private final Timers timers;
    /** Whether the STR of a request has left. */
    private final Predicate<ServerSession> isTold;
    private final LongPredicate isAwaited;
    private final LongConsumer heard;
    /** By the core's number of the call: no call has two. */
    private final Map<Long, ServerSession> byCall = new HashMap<>();
    /** Connections on which a watchdog request waits for its answer. */
    private final Set<Connection> asked = new HashSet<>();

    /** {@code isAwaited}: whether a call's next attempt is held back; {@code heard} is told of each whose server has heard. */
    UnheardGiveUps(Timers timers, Predicate<ServerSession> isTold, LongPredicate isAwaited, LongConsumer heard) {
        this.timers = timers;
        this.isTold = isTold;
        this.isAwaited = isAwaited;
        this.heard = heard;
    }

    /** A request was given up; its STR is about to be written. */
    void add(ServerSession request) {
        byCall.put(request.call, request);
        timers.after(ASK_AFTER_US, () -> ask(request));
        timers.after(MOST_US, () -> cutOff(request));
    }

    /** Whether a server may not have heard yet that a request of that call was given up. */
    boolean has(long call) {
        return byCall.containsKey(call);
    }

    /** Its server has answered its STR. */
    void answered(ServerSession request) {
        if (byCall.remove(request.call, request)) {
            heard.accept(request.call);
        }
    }

    /** A connection has ended, and with it what was open on it. */
    void lost(Connection connection) {
        asked.remove(connection);
        on(connection).forEach(this::answered);
    }

    private List<ServerSession> on(Connection connection) {
        return byCall.values().stream().filter(request -> request.on == connection).toList();
    }

    private void ask(ServerSession request) {
        Connection on = request.on;
        if (byCall.get(request.call) != request || !asked.add(on)) {
            return;
        }
        List<ServerSession> told = on(on).stream().filter(isTold).toList();
        on.sendWatchdog(answer -> {
            asked.remove(on);
            if (answer != null) {
                told.forEach(this::answered);
                askForRest(on);
            }
        });
    }

    /** Those that were given up while the watchdog request was on its way. */
    private void askForRest(Connection connection) {
        Iterator<ServerSession> rest = on(connection).iterator();
        if (rest.hasNext()) {
            ask(rest.next());
        }
    }

    private void cutOff(ServerSession request) {
        if (byCall.get(request.call) != request) {
            return;
        }
        if (isAwaited.test(request.call)) {
            request.at.cutOff("it does not hear that a request was given up");
        } else {
            timers.after(LOOK_US, () -> cutOff(request));
        }
    }
}
