package grebewick.lab.fleet;

import grebewick.config.Endpoint;
import grebewick.core.CallControl.Fleet;
import grebewick.core.CallControl.Scope;
import grebewick.core.CallControl.Settings;
import grebewick.core.CallControl.State;
import grebewick.core.Clock;
import grebewick.core.Gatekeeper;
import grebewick.core.Logic;
import grebewick.core.Offer;
import grebewick.core.Servers;
import grebewick.core.Timers;
import grebewick.discovery.DeterministicSubset;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The control code of one gatekeeper as {@code Node} wires it, without callers and without connections to servers: each
 * probe of a server is answered at once with a report of a server at rest. It tells {@link ChangeTimes} when a server's new
 * start and when the whole list reached its module.
 */
final class HollowGatekeeper {
    /** free, size, can_take, queue. */
    private static final List<Double> AT_REST = List.of(1000.0, 1000.0, 1000.0, 0.0);

    private final Context loop;
    private final Clock clock;
    private final DeterministicSubset subset;
    /** Null: none. */
    private final Gatekeeper<byte[]> core;
    private final ServerListSource source;
    private final ChangeTimes times;
    private final int listed;
    private final Map<String, Long> startedUs = new HashMap<>();
    private boolean current;
    private boolean isClosed;

    /**
     * A gatekeeper that does not ask yet.
     *
     * @param task what it asks for, and its number
     * @param inUse servers that it works with at the most
     * @param hasModule whether its module hears of the list; otherwise the list's client alone is there
     */
    HollowGatekeeper(Vertx vertx, Settings settings, Distribution distribution, ServerListSource.Task task, int inUse,
                     boolean hasModule, Clock clock, ChangeTimes times) {
        loop = vertx.getOrCreateContext();
        this.clock = clock;
        this.times = times;
        listed = distribution.listedFor(task.plan(), task.gatekeeper());
        Timers timers = (us, due) -> {
            long id = vertx.setTimer(Math.max(1, (us + 999) / 1000), t -> {
                if (!isClosed) {
                    due.run();
                }
            });
            return () -> vertx.cancelTimer(id);
        };
        subset = new DeterministicSubset(inUse, settings.familyInfo().poolsByClass(), "g" + task.gatekeeper(), line -> {});
        core = hasModule
            ? new Gatekeeper<>(settings, new Logic(settings, task.seed()), clock, timers, new RestingServers(),
                (peer, bytes) -> {},
                line -> {})
            : null;
        source = distribution.sources().create(vertx, clock, timers, task, this::tell, line -> {});
    }

    /** Starts asking for the list. */
    void start() {
        source.start();
    }

    /** Asks no more, and its module does nothing more. */
    Future<Void> close() {
        Promise<Void> closed = Promise.promise();
        loop.runOnContext(v -> {
            isClosed = true;
            source.close().onComplete(closed);
        });
        return closed.future();
    }

    private void tell(List<Endpoint> whole) {
        List<Endpoint> used = subset.of(whole);
        if (core != null) {
            core.fleet(new Fleet(Scope.COMPLETE, 0, used.stream().map(Endpoint::entry).toList()), Map.of());
        }
        long nowUs = clock.nowUs();
        for (Endpoint each : whole) {
            long launchedUs = each.entry().startedAtUs();
            if (launchedUs > startedUs.getOrDefault(each.entry().server(), 0L)) {
                startedUs.put(each.entry().server(), launchedUs);
                times.held(launchedUs, nowUs);
            }
        }
        if (!current && whole.size() == listed) {
            current = true;
            times.current(nowUs);
        }
    }

    /** Servers that take no calls and answer each probe. */
    private final class RestingServers implements Servers<byte[]> {
        @Override
        public void setUp(long call, int copy, String server, Offer<byte[]> offer, long waitUs) {
            throw new IllegalStateException("a hollow gatekeeper has no calls");
        }

        @Override
        public void giveUp(long call, int copy, String server) {
            throw new IllegalStateException("a hollow gatekeeper has no calls");
        }

        @Override
        public void release(long call, String server) {
            throw new IllegalStateException("a hollow gatekeeper has no calls");
        }

        @Override
        public void probe(String server) {
            core.checked(server, State.OK, 0, AT_REST);
        }

        @Override
        public void closeIdle(String server) {
            // Nothing is open.
        }
    }
}
