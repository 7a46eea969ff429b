package grebewick.lifecycle;

import grebewick.config.NodeConfig;
import grebewick.lab.StandInCallers;
import grebewick.lab.StandInNames;
import grebewick.lab.StandInServer;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * A gatekeeper that serves a few calls between stand-ins of its own on loopback, and ends. Run once after the build
 * with {@code -XX:ArchiveClassesAtExit}, it leaves the archive from which later starts load their classes: a restarting
 * gatekeeper takes no calls, and half of its time to start went into loading and verifying classes. What it does not
 * play is loaded from the jar when it first happens, and costs the loop up to 50 ms then: so each way in which a
 * call can end is played.
 */
public final class ClassArchiveTraining {
    private static final int PATIENCE_S = 30;
    private static final int CALLS = 12;
    private static final long CALL_EVERY_MS = 15;
    /** Turns of the calls' timer after which the training ends with whatever has happened by then. */
    private static final long MOST_TURNS = PATIENCE_S * 1_000 / CALL_EVERY_MS / 2;
    /** ms. Far longer than a call takes on a busy machine: none is to be given up. */
    private static final long DEADLINE_MS = 5_000;
    private static final String CONFIG = """
        {"listen":"127.0.0.1:%d","names":"127.0.0.1:%d","known":{"index":1,"updates":[{"snapshot":true,"endpoints":[
          {"name":"s-1","address":"127.0.0.1:%d","zone":"a","type":"a","group":0,"status":"up","weight":1,"since_ms":0}]}]},
         "settings":{"FamilyInfo":{"MeanHold":[1000000],"PoolsByClass":[[0,1]],"Release":10000,"Resend":100000,"Shape":"pools"},
          "Bounds":{"AttemptsCap":4,"Cancel":true,"ConnectTimeout":500000,"MaxOpen":100,"Probes":true,"RetryAfter":true},
          "ReplicasOfMe":1,
          "Grades":[{"Name":"a","GoalTime":200000,"HardLimit":6000000,"Effect":"retryable","Worth":1.0}],
          "Report":{"Fields":["free","size","can_take","queue"],"How":"inline"},
          "Rules":{"Cold":1000000,"ColdFrom":0.5,"DrainGrace":2000000,"Fall":2000000,"OverloadFactor":3}}}""";

    private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
    private final CountDownLatch done = new CountDownLatch(1);
    private final Consumer<NodeConfig> daemon;
    private int turns;

    private ClassArchiveTraining(Consumer<NodeConfig> daemon) {
        this.daemon = daemon;
    }

    /** Plays it with the gatekeeper that {@code daemon} starts; gives the outcomes of the calls by name. */
    public static String run(Consumer<NodeConfig> daemon) throws Exception {
        return new ClassArchiveTraining(daemon).play();
    }

    private String play() throws Exception {
        StandInServer server = new StandInServer(vertx, 2, 20, 3, id -> {});
        StandInServer other = new StandInServer(vertx, 2, 20, 1, id -> {});
        StandInNames names = new StandInNames(vertx);
        int port = freePort();
        int serverPort = await(() -> server.listen(0));
        int otherPort = await(() -> other.listen(0));
        int namesPort = await(names::listen);
        daemon.accept(NodeConfig.parse(CONFIG.formatted(port, namesPort, serverPort), Map.of()));
        names.list(List.of(new StandInNames.Host("s-1", "a", serverPort, 0, false, 0),
            new StandInNames.Host("s-2", "a", otherPort, 1, false, 0)));
        StandInCallers callers = new StandInCallers(vertx, "a", DEADLINE_MS);
        connect(callers, port);
        vertx.setPeriodic(CALL_EVERY_MS, t -> {
            if (turns++ < CALLS) {
                callers.call(turns % 2, System.nanoTime() / 1000);
                if (turns % 3 == 0) {
                    callers.hangUp();
                }
            } else if (callers.unanswered() == 0 && callers.standing() == 0 || turns > MOST_TURNS) {
                vertx.cancelTimer(t);
                server.cutAll();
                server.die().compose(v -> other.die()).onComplete(v -> done.countDown());
            }
        });
        if (!done.await(PATIENCE_S, TimeUnit.SECONDS)) {
            throw new IOException("the rehearsal does not end: " + callers.counts());
        }
        return callers.counts().toString();
    }

    private <T> T await(Callable<Future<T>> step) throws Exception {
        CompletableFuture<T> result = new CompletableFuture<>();
        vertx.getOrCreateContext().runOnContext(v -> {
            try {
                step.call().onSuccess(result::complete).onFailure(result::completeExceptionally);
            } catch (Exception e) {
                result.completeExceptionally(e);
            }
        });
        return result.get(PATIENCE_S, TimeUnit.SECONDS);
    }

    private static int freePort() throws IOException {
        try (ServerSocket probe = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return probe.getLocalPort();
        }
    }

    /** The daemon starts beside this thread: it listens soon. */
    private void connect(StandInCallers callers, int port) throws Exception {
        long endNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(PATIENCE_S);
        while (true) {
            try {
                await(() -> callers.connect(port, 2));
                return;
            } catch (Exception e) {
                if (System.nanoTime() > endNs) {
                    throw e;
                }
                Thread.yield();
            }
        }
    }
}
