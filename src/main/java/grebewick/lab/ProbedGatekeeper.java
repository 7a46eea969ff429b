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
import grebewick.names.FleetPoller;
import grebewick.sip.SipFront;
import grebewick.trunk.Trunk;
import io.netty.channel.EventLoop;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.internal.ContextInternal;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
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
 * Its event loop is Netty's own, without the gatekeeper's handler for whole milliseconds and rounds of reads; so its
 * difference from the real process is what those cost. Not for service.
 */
@Command(name = "ProbedGatekeeper", mixinStandardHelpOptions = true)
public final class ProbedGatekeeper implements Callable<Integer> {
    /** Smallest step of timers. */
    enum TimerStep { MILLISECOND, MICROSECOND }

    @Option(names = "--timers", defaultValue = "MILLISECOND", description = "${COMPLETION-CANDIDATES} (${DEFAULT-VALUE})")
    private TimerStep timerStep;

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
        Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
        Runtime.getRuntime().addShutdownHook(new Thread(this::report));
        return Futures.onLoop(vertx, () -> {
            start(vertx, config);
            return 0;
        });
    }

    private void start(Vertx vertx, NodeConfig config) {
        long zeroUs = System.currentTimeMillis() * 1000 - Pacer.nowUs();
        Clock clock = () -> zeroUs + Pacer.nowUs();
        Timers timers = probed(vertx, ((ContextInternal) vertx.getOrCreateContext()).nettyEventLoop());
        Consumer<String> log = System.err::println;
        Trunk trunk = new Trunk(vertx, config.settings(), config.sockets() / 2, clock, timers, log);
        Gatekeeper<byte[]> core = new Gatekeeper<>(config.settings(), probed(new Logic(config.settings(), config.seed())), clock,
            timers, trunk, (peer, bytes) -> {}, log);
        trunk.attach(core);
        SipFront front = new SipFront(vertx, config.settings(), config.sockets(), core, clock, timers, log);
        tell(trunk, core, Scope.PERSISTED, config.known());
        new FleetPoller(vertx, timers, config.names(), config.index(), config.known(),
            list -> tell(trunk, core, Scope.COMPLETE, list), log).start();
        front.listen(config.listen()).onFailure(e -> log.accept("cannot listen: " + e.getMessage()));
    }

    private static void tell(Trunk trunk, Gatekeeper<byte[]> core, Scope scope, List<Endpoint> list) {
        Map<String, Long> dead = trunk.list(list);
        core.fleet(new Fleet(scope, 0, list.stream().map(Endpoint::entry).toList()), dead);
        trunk.recall();
    }

    private Timers probed(Vertx vertx, EventLoop loop) {
        return (us, task) -> {
            long dueUs = Pacer.nowUs() + us;
            Runnable probed = () -> {
                lateUs.recordValue(Math.max(0, Pacer.nowUs() - dueUs));
                task.run();
            };
            if (timerStep == TimerStep.MILLISECOND) {
                long id = vertx.setTimer(Math.max(1, (us + 999) / 1000), t -> probed.run());
                return () -> vertx.cancelTimer(id);
            }
            var scheduled = loop.schedule(probed, Math.max(1, us), TimeUnit.MICROSECONDS);
            return () -> scheduled.cancel(false);
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
        System.out.println("probes, timers of a " + timerStep + ": first attempts " + heldUs.getTotalCount()
            + ", chosen in the turn of the call "
            + atOnce + "; held by the module, us: " + text(heldUs) + "; timers late, us: " + text(lateUs));
    }

    private static String text(Histogram h) {
        return "median " + h.getValueAtPercentile(50) + ", 99 % " + h.getValueAtPercentile(99) + ", most " + h.getMaxValue();
    }
}
