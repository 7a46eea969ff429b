package grebewick.lab;

import grebewick.config.Endpoint;
import grebewick.config.NodeConfig;
import grebewick.core.CallControl;
import grebewick.core.CallControl.Fleet;
import grebewick.core.CallControl.Scope;
import grebewick.core.Clock;
import grebewick.core.Gatekeeper;
import grebewick.core.Logic;
import grebewick.core.Timers;
import grebewick.discovery.dns.ServerListPoller;
import grebewick.eventloop.AfterReadQueue;
import grebewick.eventloop.BoundedAcceptor;
import grebewick.sip.SipFront;
import grebewick.trunk.Trunk;
import io.netty.channel.EventLoop;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.internal.ContextInternal;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.HdrHistogram.Histogram;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * A gatekeeper of the real parts with probes at their seams, to say where the time of a call goes: how long the module
 * holds a call before its first attempt, how late timers come, how long chosen attempts wait for input that is there.
 * Its event loop can be Netty's own, with timers of a millisecond or of a microsecond: the difference is what the service's
 * loop costs. Not for service.
 */
@Command(name = "ProbedGatekeeper", mixinStandardHelpOptions = true)
public final class ProbedGatekeeper implements Callable<Integer> {
    /** What the event loop is. */
    enum LoopKind {
        /** As in service: it sleeps whole milliseconds, and attempts wait for input that is there. */
        SERVICE,
        /** Netty's own. */
        NETTY
    }

    /** Smallest step of timers. */
    enum TimerStep { MILLISECOND, MICROSECOND }

    @Option(names = "--timers", defaultValue = "MILLISECOND", description = "${COMPLETION-CANDIDATES} (${DEFAULT-VALUE})")
    private TimerStep timerStep;

    @Option(names = "--loop", defaultValue = "SERVICE", description = "${COMPLETION-CANDIDATES} (${DEFAULT-VALUE})")
    private LoopKind loopKind;

    private final Histogram afterInputUs = new Histogram(CallTimes.MOST_US, 3);
    private final Histogram heldUs = new Histogram(CallTimes.MOST_US, 3);
    private final Histogram lateUs = new Histogram(CallTimes.MOST_US, 3);
    private final Map<Long, Long> offeredUs = new HashMap<>();
    private long atOnce;

    /** Runs until SIGTERM, then prints what the probes saw. */
    public static void main(String[] args) {
        int code = new CommandLine(new ProbedGatekeeper()).execute(args);
        if (code != 0) {
            System.exit(code);
        }
    }

    @Override
    public Integer call() throws Exception {
        NodeConfig config = NodeConfig.load(System.getenv());
        VertxOptions options = new VertxOptions().setEventLoopPoolSize(1);
        AfterReadQueue reads = new AfterReadQueue();
        Vertx vertx = loopKind == LoopKind.NETTY ? Vertx.vertx(options)
            : Vertx.builder().with(options).withTransport(new BoundedAcceptor(config.sockets() / 2, reads)).build();
        Runtime.getRuntime().addShutdownHook(new Thread(this::report));
        return Futures.onLoop(vertx, () -> {
            Timers plain = timers(vertx, ((ContextInternal) vertx.getOrCreateContext()).nettyEventLoop());
            start(vertx, config, probed(loopKind == LoopKind.NETTY ? plain : reads.timers(vertx, vertx.getOrCreateContext())));
            return 0;
        });
    }

    private void start(Vertx vertx, NodeConfig config, Timers timers) {
        long zeroUs = System.currentTimeMillis() * 1000 - Pacer.nowUs();
        Clock clock = () -> zeroUs + Pacer.nowUs();
        Consumer<String> log = System.err::println;
        Trunk trunk = new Trunk(vertx, config.settings(), config.sockets() / 2, new Random(config.seed()), clock, timers, log);
        Gatekeeper<byte[]> core = new Gatekeeper<>(config.settings(), probed(new Logic(config.settings(), config.seed())), clock,
            timers, trunk, (peer, bytes) -> {}, log);
        trunk.attach(core);
        SipFront front = new SipFront(vertx, config.settings(), config.sockets(), core, clock, timers, log);
        tell(trunk, core, Scope.PERSISTED, config.known());
        new ServerListPoller(vertx, clock, timers, config.names(), config.index(), config.known(),
            list -> tell(trunk, core, Scope.COMPLETE, list), log).start();
        front.listen(config.listen()).onFailure(e -> log.accept("cannot listen: " + e.getMessage()));
    }

    private static void tell(Trunk trunk, Gatekeeper<byte[]> core, Scope scope, List<Endpoint> list) {
        Map<String, Long> dead = trunk.list(list);
        core.fleet(new Fleet(scope, 0, list.stream().map(Endpoint::entry).toList()), dead);
        trunk.takeBackUnsent();
    }

    private Timers timers(Vertx vertx, EventLoop loop) {
        return (us, task) -> {
            if (timerStep == TimerStep.MILLISECOND) {
                long id = vertx.setTimer(Math.max(1, (us + 999) / 1000), t -> task.run());
                return () -> vertx.cancelTimer(id);
            }
            var scheduled = loop.schedule(task, Math.max(1, us), TimeUnit.MICROSECONDS);
            return () -> scheduled.cancel(false);
        };
    }

    private Timers probed(Timers timers) {
        return new Timers() {
            @Override
            public Runnable after(long us, Runnable task) {
                long dueUs = Pacer.nowUs() + us;
                return timers.after(us, () -> {
                    lateUs.recordValue(Math.max(0, Pacer.nowUs() - dueUs));
                    task.run();
                });
            }

            @Override
            public void afterInput(Runnable task) {
                long sinceUs = Pacer.nowUs();
                timers.afterInput(() -> {
                    afterInputUs.recordValue(Pacer.nowUs() - sinceUs);
                    task.run();
                });
            }
        };
    }

    private CallControl probed(CallControl module) {
        return (nowUs, event, out) -> {
            long offered = event instanceof CallControl.Call call ? call.call() : 0;
            if (offered != 0) {
                offeredUs.put(offered, nowUs);
            }
            module.handle(nowUs, event, action -> {
                if (action instanceof CallControl.Attempt attempt) {
                    Long sinceUs = offeredUs.remove(attempt.call());
                    if (sinceUs != null) {
                        heldUs.recordValue(nowUs - sinceUs);
                        atOnce += attempt.call() == offered ? 1 : 0;
                    }
                }
                out.accept(action);
            });
        };
    }

    private void report() {
        System.out
            .println("probes, loop " + loopKind + ", timers of a " + timerStep + ": first attempts " + heldUs.getTotalCount()
                + ", chosen in the turn of the call " + atOnce + "; held by the module, us: " + text(heldUs)
                + "; waited for input, us: " + text(afterInputUs) + "; timers late, us: " + text(lateUs));
    }

    private static String text(Histogram h) {
        return "median " + h.getValueAtPercentile(50) + ", 99 % " + h.getValueAtPercentile(99) + ", most " + h.getMaxValue();
    }
}
