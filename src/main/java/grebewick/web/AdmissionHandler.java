package grebewick.web;

import grebewick.core.CallControl.Fleet;
import grebewick.core.CallControl.Scope;
import grebewick.core.CallControl.ServerEntry;
import grebewick.core.CallControl.Stage;
import grebewick.core.CallControl.State;
import grebewick.core.Callers;
import grebewick.core.Clock;
import grebewick.core.Ending;
import grebewick.core.Gatekeeper;
import grebewick.core.Logic;
import grebewick.core.Offer;
import grebewick.core.Servers;
import grebewick.core.Timers;
import io.netty.channel.EventLoop;
import io.vertx.core.Handler;
import io.vertx.core.Vertx;
import io.vertx.core.internal.ContextInternal;
import io.vertx.ext.web.RoutingContext;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Overload control of a Vert.x-Web route by the gatekeeper's own core: a request is let on, waits briefly, or is
 * refused with 503 and {@code Retry-After}. What the route answers is its outcome: 503 counts as a full processor,
 * another 5xx as a failure, a broken connection as a reset. Put it before the handlers that it protects; all
 * requests of one instance must come on one event loop.
 */
public final class AdmissionHandler implements Handler<RoutingContext>, Servers<RoutingContext> {
    private static final String ROUTE = "route";

    private final AdmissionOptions options;
    private final Gatekeeper<RoutingContext> core;
    private final Map<Long, RoutingContext> let = new HashMap<>();
    private long nextOffer = 1;

    private AdmissionHandler(AdmissionOptions options, long seed, Clock clock, Timers timers) {
        this.options = options;
        core = new Gatekeeper<>(options.settings(), new Logic(options.settings(), seed), clock, timers, this,
            (peer, bytes) -> {}, line -> {});
        core.fleet(new Fleet(Scope.PERSISTED, 0, List.of(new ServerEntry(ROUTE, 0, Stage.HEALTHY, 0, "", "", 1))), Map.of());
    }

    /** A handler on the system's monotonic clock. */
    public static AdmissionHandler create(Vertx vertx, AdmissionOptions options) {
        long zeroNs = System.nanoTime();
        return create(options, zeroNs, () -> 1 + (System.nanoTime() - zeroNs) / 1000, new Timers() {
            @Override
            public Runnable after(long us, Runnable task) {
                long id = vertx.setTimer(Math.max(1, (us + 999) / 1000), t -> task.run());
                return () -> vertx.cancelTimer(id);
            }

            /**
             * The first step waits until what the loop is just reading is read, the second, as a task of its clock, for its
             * next look at all sockets: a loop that comes late reads a request first, and in the next look that its client has
             * left.
             */
            @Override
            public void afterInput(Runnable task) {
                ContextInternal context = (ContextInternal) vertx.getOrCreateContext();
                EventLoop loop = context.nettyEventLoop();
                loop.execute(() -> loop.schedule(() -> context.runOnContext(v -> task.run()), 0, TimeUnit.NANOSECONDS));
            }
        });
    }

    /** A handler on any clock. */
    public static AdmissionHandler create(AdmissionOptions options, long seed, Clock clock, Timers timers) {
        return new AdmissionHandler(options, seed, clock, timers);
    }

    @Override
    public void handle(RoutingContext context) {
        context.request().pause();
        Waiting waiting = new Waiting(context);
        waiting.call = core.offer(new Offer<>(nextOffer++, ROUTE, "", options.deadlineUs(), false, false, 1, 0, -1, context),
            waiting);
        context.addEndHandler(done -> {
            if (let.remove(waiting.call) == null) {
                core.hangup(waiting.call);
            } else if (done.failed()) {
                core.ended(waiting.call, 0, State.RESET_BY_PEER, 0, List.of());
            } else if (context.response().getStatusCode() >= 500) {
                boolean full = context.response().getStatusCode() == 503;
                core.ended(waiting.call, 0, full ? State.QUEUE_FULL : State.FAILED, full ? 3 : 0, List.of());
            } else if (core.stood(waiting.call, 0, context, List.of())) {
                core.over(waiting.call, Ending.NORMAL, List.of());
            }
        });
    }

    /** Requests that wait or are in the route. */
    public int open() {
        return core.calls();
    }

    @Override
    public void setUp(long call, int copy, String server, Offer<RoutingContext> offer, long waitUs) {
        let.put(call, offer.description());
        offer.description().request().resume();
        offer.description().next();
    }

    @Override
    public void giveUp(long call, int copy, String server) {
        let.remove(call);
    }

    @Override
    public void release(long call, String server) {
        let.remove(call);
    }

    @Override
    public void probe(String server) {}

    @Override
    public void closeIdle(String server) {}

    private static final class Waiting implements Callers<RoutingContext> {
        final RoutingContext context;
        long call;

        Waiting(RoutingContext context) {
            this.context = context;
        }

        @Override
        public void stands(long number, RoutingContext done) {}

        @Override
        public void refused(long number, long comeBackUs) {
            turnAway(Math.max(1, (comeBackUs + 999_999) / 1_000_000));
        }

        @Override
        public void failed(long number) {
            turnAway(1);
        }

        private void turnAway(long seconds) {
            // An answer that has begun is the route's to finish.
            if (!context.response().headWritten() && !context.response().ended() && !context.response().closed()) {
                context.request().resume();
                context.response().setStatusCode(503).putHeader("Retry-After", Long.toString(seconds)).end();
            }
        }

        @Override
        public void released(long number, Ending ending) {}
    }
}
