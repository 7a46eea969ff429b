package grebewick.discovery.replica;

import grebewick.config.Address;
import grebewick.config.ConfigurationException;
import grebewick.core.Clock;
import grebewick.core.Timers;
import grebewick.discovery.transfer.DiscoveryConfig;
import grebewick.discovery.transfer.ZoneContent;
import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.file.FileSystemOptions;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;

/** The process of the command {@code replica}: one event loop, its source and its server, until it is closed. */
public final class ReplicaProcess implements ZoneSource.Listener {
    private static final long US_PER_MS = 1_000;
    /** us. For answers that have begun when the process ends. */
    private static final long ANSWERS_US = 1_000_000;
    /** s. For the start and for the end of all of it. */
    private static final long PATIENCE_S = 10;

    private final ReplicaConfig config;
    private final Consumer<String> log;
    private final Vertx vertx;
    private final Context loop;
    private final ReplicaState state;
    private final ReplicaServer server;
    private final Timers timers;
    private final ZoneSource source;
    private Runnable nextCounters = () -> {};

    private ReplicaProcess(String file, Consumer<String> log) {
        this.log = log;
        config = ReplicaConfig.load(file);
        vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1).setWorkerPoolSize(1).setInternalBlockingPoolSize(1)
            .setFileSystemOptions(new FileSystemOptions().setFileCachingEnabled(false).setClassPathResolvingEnabled(false)));
        vertx.exceptionHandler(e -> log.accept("uncaught: " + e));
        loop = vertx.getOrCreateContext();
        long zeroUs = System.currentTimeMillis() * US_PER_MS - System.nanoTime() / US_PER_MS;
        Clock clock = () -> zeroUs + System.nanoTime() / US_PER_MS;
        timers = this::after;
        state = new ReplicaState(config.history(), config.limits());
        server = new ReplicaServer(vertx, state, config.server(), clock, timers, log);
        try {
            source = source(file, clock);
        } catch (ConfigurationException e) {
            vertx.close();
            throw e;
        }
    }

    private ZoneSource source(String file, Clock clock) {
        if (config.sources().isEmpty()) {
            return new PrimarySource(vertx, config.zoneFile(), config.markFile(), System.currentTimeMillis());
        }
        return new SecondarySource(vertx, clock, timers, new SplittableRandom(), config.sources(),
            () -> sources(file, config.sources().size()), log);
    }

    private static List<DiscoveryConfig> sources(String file, int number) {
        List<DiscoveryConfig> sources = ReplicaConfig.load(file).sources();
        if (sources.isEmpty()) {
            throw new ConfigurationException(file + ": replica: field role cannot change without a restart");
        }
        if (sources.size() != number) {
            throw new ConfigurationException(file + ": replica: field sources cannot change its length without a restart");
        }
        return sources;
    }

    private Runnable after(long us, Runnable task) {
        long id = vertx.setTimer(Math.max(1, (us + US_PER_MS - 1) / US_PER_MS), fired -> task.run());
        return () -> vertx.cancelTimer(id);
    }

    /**
     * Starts a replica.
     *
     * @param file its configuration
     * @throws ConfigurationException it cannot work, or the address cannot be listened at; nothing is left behind
     */
    public static ReplicaProcess start(String file, Consumer<String> log) {
        ReplicaProcess process = new ReplicaProcess(file, log);
        try {
            get(process.run());
            return process;
        } catch (ConfigurationException e) {
            process.vertx.close();
            throw e;
        }
    }

    private CompletableFuture<Address> run() {
        CompletableFuture<Address> started = new CompletableFuture<>();
        loop.runOnContext(v -> {
            source.start(this);
            server.listen(config.listen()).onSuccess(at -> {
                log.accept("replica serves " + state.held() + " of " + state.served().size() + " zones at " + at);
                countLater();
                started.complete(at);
            }).onFailure(e -> started.completeExceptionally(
                new ConfigurationException("replica: field listen: " + config.listen() + ": " + e.getMessage())));
        });
        return started;
    }

    private void countLater() {
        nextCounters = timers.after(config.countersUs(), () -> {
            log.accept(counters());
            countLater();
        });
    }

    private String counters() {
        return "replica: " + state.counters() + "; " + state.held() + " of " + state.served().size() + " zones held, "
            + state.historyBytes() + " bytes of history";
    }

    @Override
    public void serve(Set<String> zones) {
        state.serve(zones);
    }

    @Override
    public void news(String zone, ZoneContent content) {
        state.take(zone, content);
    }

    @Override
    public void confirmed(String zone, long asOfUs) {
        state.confirmed(zone, asOfUs);
    }

    /** Reads the configuration of its zones anew; what cannot work is logged and changes nothing. */
    public void reload() {
        loop.runOnContext(v -> source.reread()
            .onSuccess(read -> log.accept("replica: zones read anew, " + state.served().size() + " are served"))
            .onFailure(e -> log.accept("replica: zones not read anew: " + e.getMessage())));
    }

    /** Ends: answers that have begun are finished, for a second at the most. Returns when all is closed. */
    public void close() {
        CompletableFuture<Void> closed = new CompletableFuture<>();
        loop.runOnContext(v -> {
            nextCounters.run();
            source.close().eventually(() -> server.close(ANSWERS_US)).onComplete(done -> {
                log.accept(counters());
                log.accept("replica ends");
                vertx.close().onComplete(all -> closed.complete(null));
            });
        });
        try {
            get(closed);
        } catch (ConfigurationException e) {
            log.accept(e.getMessage());
        }
    }

    private static <T> T get(CompletableFuture<T> future) {
        try {
            return future.get(PATIENCE_S, TimeUnit.SECONDS);
        } catch (ExecutionException e) {
            throw e.getCause() instanceof ConfigurationException bad ? bad : new IllegalStateException(e.getCause());
        } catch (TimeoutException e) {
            throw new ConfigurationException("replica: the event loop stands still");
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new ConfigurationException("replica: interrupted");
        }
    }
}
