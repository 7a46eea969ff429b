package grebewick;

import grebewick.config.Endpoint;
import grebewick.config.NodeConfig;
import grebewick.core.CallControl.Fleet;
import grebewick.core.CallControl.Scope;
import grebewick.core.Clock;
import grebewick.core.Gatekeeper;
import grebewick.core.Logic;
import grebewick.core.Timers;
import grebewick.names.FleetPoller;
import grebewick.peers.PeerLink;
import grebewick.sip.SipFront;
import grebewick.trunk.Trunk;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.file.FileSystemOptions;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** One gatekeeper on sockets: wires the parts together on one event loop, and ends them. */
final class Daemon {
    /** ms. How long after SIGTERM calls still come in and are taken. */
    private static final long STILL_COMING_MS = 700;
    private static final long CHECK_MS = 20;

    private final Vertx vertx;
    private final NodeConfig config;
    private final CountDownLatch ended = new CountDownLatch(1);
    private Gatekeeper core;
    private SipFront front;
    private long timer = -1;

    private Daemon(Vertx vertx, NodeConfig config) {
        this.vertx = vertx;
        this.config = config;
    }

    static void start(NodeConfig config) {
        Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1).setWorkerPoolSize(1)
            .setInternalBlockingPoolSize(1)
            .setFileSystemOptions(new FileSystemOptions().setFileCachingEnabled(false).setClassPathResolvingEnabled(false)));
        Daemon daemon = new Daemon(vertx, config);
        vertx.getOrCreateContext().runOnContext(v -> daemon.run());
        Runtime.getRuntime().addShutdownHook(new Thread(daemon::terminate, "sigterm"));
    }

    private void run() {
        // Monotonic, and the Unix time at the start: so the list's Unix times need no second conversion.
        long zeroUs = System.currentTimeMillis() * 1000 - System.nanoTime() / 1000;
        Clock clock = () -> zeroUs + System.nanoTime() / 1000;
        Timers timers = momentUs -> {
            if (timer >= 0) {
                vertx.cancelTimer(timer);
            }
            timer = vertx.setTimer(Math.max(1, (momentUs - clock.nowUs() + 999) / 1000), t -> core.wake());
        };
        Trunk trunk = new Trunk(vertx, config.settings(), Daemon::log);
        PeerLink[] peers = new PeerLink[1];
        core = new Gatekeeper(config.settings(), new Logic(config.settings(), config.seed()), clock, timers, trunk,
            (peer, bytes) -> {
                if (peers[0] != null) {
                    peers[0].send(peer, bytes);
                }
            }, Daemon::log);
        trunk.attach(core);
        if (config.peerListen() != null) {
            peers[0] = new PeerLink(vertx, config.peers(), config.peersAll(), core::neighbourSays);
            peers[0].listen(config.peerListen()).onFailure(e -> log("peers: " + e.getMessage()));
        }
        tell(trunk, Scope.PERSISTED, config.known());
        if (config.names() != null) {
            new FleetPoller(vertx, config.names(), config.index(), list -> tell(trunk, Scope.COMPLETE, list),
                Daemon::log).start();
        }
        front = new SipFront(vertx, core, Daemon::log);
        front.listen(config.listen()).onSuccess(s -> log(config.name() + " serves")).onFailure(e -> {
            System.err.println("grebewick: cannot listen at " + config.listen() + ": " + e.getMessage());
            Runtime.getRuntime().halt(2);
        });
    }

    private void tell(Trunk trunk, Scope scope, List<Endpoint> list) {
        // The lines first: the module may send to a new server within the turn that tells of it.
        trunk.list(list);
        core.fleet(new Fleet(scope, 0, list.stream().map(Endpoint::entry).toList()));
    }

    /** SIGTERM: tests fail at once, calls are taken while they still come, and all that was taken is seen to its end. */
    private void terminate() {
        vertx.runOnContext(v -> {
            log("stops: " + core.calls() + " calls");
            front.failTests();
            vertx.setTimer(STILL_COMING_MS, t -> {
                front.refuseCalls();
                vertx.setPeriodic(CHECK_MS, p -> {
                    if (core.calls() == 0) {
                        ended.countDown();
                    }
                });
            });
        });
        try {
            if (!ended.await(60, TimeUnit.SECONDS)) {
                log("stops with calls still standing");
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void log(String line) {
        System.err.println(line);
    }
}
