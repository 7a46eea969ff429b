package grebewick;

import grebewick.config.ConfigurationException;
import grebewick.config.NodeConfig;
import grebewick.core.CallControl.Grade;
import grebewick.core.CallControl.Settings;
import grebewick.core.Clock;
import grebewick.core.Timers;
import grebewick.diameter.DiameterConfig;
import grebewick.diameter.DiameterNode;
import grebewick.discovery.transfer.DiscoveryConfig;
import grebewick.eventloop.ActivityCount;
import grebewick.eventloop.AfterReadQueue;
import grebewick.eventloop.BoundedAcceptor;
import grebewick.eventloop.LoopLagMonitor;
import grebewick.lifecycle.ConfigReload;
import grebewick.lifecycle.GracefulShutdown;
import grebewick.lifecycle.PendingWork;
import grebewick.sip.SipFront;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.file.FileSystemOptions;
import java.lang.management.ManagementFactory;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** The process: one event loop, the fronts that the configuration names, and their end. */
final class Daemon {
    /** us. How long after SIGTERM calls still come in and are taken. */
    private static final long STILL_COMING_US = 700_000;
    /** us. A planned restart waits for the longest deadline, counted as this where it is longer. */
    private static final long LONGEST_US = 3_000_000;
    private static final long US_PER_MS = 1_000;
    /** us. In which peers have to take leave at the end. */
    private static final long MOST_LEAVE_US = 400_000;

    /** Connections that may be accepted and not yet looked at, beside those that the front holds. */
    static final int UNSEEN = 32;

    private final Vertx vertx;
    private final CountDownLatch ended = new CountDownLatch(1);
    private Node node;
    private DiameterNode diameter;
    /** A field, as a lambda that captured it would load its class where it is off. */
    private DiscoveryConfig discovery;
    private final Clock clock;
    private final Timers timers;
    private long longestUs;
    private volatile boolean told;

    private Daemon(int mostAccepted) {
        AfterReadQueue afterRead = new AfterReadQueue();
        vertx = Vertx.builder().with(new VertxOptions().setEventLoopPoolSize(1).setWorkerPoolSize(1)
            .setInternalBlockingPoolSize(1)
            // The file system is read-only.
            .setFileSystemOptions(new FileSystemOptions().setFileCachingEnabled(false).setClassPathResolvingEnabled(false)))
            .withTransport(new BoundedAcceptor(mostAccepted, afterRead)).build();
        // Monotonic, and the Unix time at the start: so the list's Unix times need no second conversion.
        long zeroUs = System.currentTimeMillis() * 1000 - System.nanoTime() / 1000;
        clock = () -> zeroUs + System.nanoTime() / 1000;
        timers = afterRead.timers(vertx, vertx.getOrCreateContext());
    }

    /** {@code config} or {@code diameter} may be null, not both; {@code discovery} null: the list is the name service's. */
    static void start(NodeConfig config, DiscoveryConfig discovery, DiameterConfig diameter, Map<String, String> env,
                      ConfigReload reload) {
        int sockets = config == null ? NodeConfig.SOCKETS : config.sockets();
        Daemon daemon = new Daemon(SipFront.mostLines(sockets) + UNSEEN);
        daemon.discovery = discovery;
        daemon.vertx.exceptionHandler(e -> log("uncaught: " + e));
        // Before anything is opened: what was taken by then would be lost with a signal that nobody hears.
        try {
            Runtime.getRuntime().addShutdownHook(new Thread(daemon::terminate, "sigterm"));
        } catch (IllegalStateException e) {
            // The signal came first: the process is already ending.
            return;
        }
        daemon.vertx.getOrCreateContext().runOnContext(v -> daemon.run(config, diameter));
        reload.ready(() -> daemon.reload(env));
    }

    private void run(NodeConfig config, DiameterConfig second) {
        if (told) {
            // The signal came first: nothing is opened any more.
            ended.countDown();
            return;
        }
        longestUs = Math.max(config == null ? 0 : longestUs(config.settings()), second == null ? 0 : second.requestUs());
        if (config != null) {
            node = new Node(vertx, config, discovery, clock, timers, Daemon::log);
            new LoopLagMonitor(clock, timers, this::activity, Daemon::log).start();
            node.start(clock.nowUs() - sinceProcessStartUs())
                .onSuccess(port -> log(config.name() + " serves at " + config.listen().host() + ":" + port))
                .onFailure(e -> fail(config.listen(), e));
        }
        if (second != null) {
            diameter = new DiameterNode(vertx, second, System.nanoTime(), clock, timers, Daemon::log);
            diameter.start().onSuccess(server -> log(second.host() + " serves Diameter"))
                .onFailure(e -> fail(second.listen(), e));
        }
    }

    /** The list in the configuration is of the process's start: what has changed since may not be in it. */
    private static long sinceProcessStartUs() {
        return ManagementFactory.getRuntimeMXBean().getUptime() * US_PER_MS;
    }

    /** A file that cannot work leaves everything as it was. */
    private void reload(Map<String, String> env) {
        if (!env.containsKey("RELAY_CONFIG")) {
            log("SIGHUP: there is no RELAY_CONFIG to read anew");
            return;
        }
        try {
            NodeConfig next = NodeConfig.load(env);
            String file = env.get("RELAY_DISCOVERY");
            DiscoveryConfig nextDiscovery = file == null ? null : DiscoveryConfig.load(file);
            vertx.runOnContext(v -> node.reload(next, nextDiscovery));
        } catch (ConfigurationException e) {
            log("SIGHUP: the old configuration stays: " + e.getMessage());
        }
    }

    private static void fail(Object address, Throwable e) {
        log("grebewick: cannot listen at " + address + ": " + e.getMessage());
        Runtime.getRuntime().halt(2);
    }

    /**
     * SIGTERM: tests fail at once, calls are taken while they still come, and all that was taken is seen to its end. The
     * time that the process has counts from the signal, however late the loop hears of it.
     */
    private void terminate() {
        long toldUs = clock.nowUs();
        told = true;
        vertx.runOnContext(v -> {
            if (node != null) {
                node.failTests();
            }
            if (diameter != null) {
                diameter.stop();
            }
            timers.after(toldUs + STILL_COMING_US - clock.nowUs(), () -> {
                if (node != null) {
                    node.refuseCalls();
                }
                long endUs = toldUs + STILL_COMING_US + Math.min(longestUs, LONGEST_US);
                long leaveUs = endUs - (diameter == null ? 0 : MOST_LEAVE_US);
                new GracefulShutdown(clock, timers, leaveUs, this::pendingWork, this::activity, Daemon::log, this::lastWords,
                    () -> leave(endUs)).start();
            });
        });
        try {
            // The loop itself ends in time; this guards against one that does not turn.
            if (!ended.await(60, TimeUnit.SECONDS)) {
                log("ends: the event loop stands still");
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void lastWords() {
        if (node != null) {
            node.lastWords();
        }
        if (diameter != null) {
            diameter.answerAll();
        }
    }

    private void leave(long endUs) {
        if (diameter == null) {
            ended.countDown();
        } else {
            diameter.leave(Math.max(0, Math.min(MOST_LEAVE_US, endUs - clock.nowUs())), ended::countDown);
        }
    }

    private PendingWork pendingWork() {
        return (node == null ? PendingWork.NONE : node.pendingWork()).and(diameter == null ? PendingWork.NONE
            : new PendingWork(0, diameter.unanswered(), diameter.pendingTeardowns(), 0));
    }

    private ActivityCount activity() {
        return (node == null ? ActivityCount.NONE : node.activity())
            .and(diameter == null ? ActivityCount.NONE : diameter.activity());
    }

    private static long longestUs(Settings settings) {
        return settings.grades().stream().mapToLong(Grade::hardLimitUs).max().orElse(0);
    }

    private static void log(String line) {
        System.err.println(line);
    }
}
