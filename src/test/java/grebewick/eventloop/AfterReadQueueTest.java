package grebewick.eventloop;

import grebewick.Node;
import grebewick.config.Address;
import grebewick.config.Endpoint;
import grebewick.config.NodeConfig;
import grebewick.core.CallControl.Stage;
import grebewick.core.Timers;
import grebewick.play.Scenario;
import grebewick.play.Sites;
import grebewick.sip.SipDialect;
import grebewick.trunk.TrunkDialect;
import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.net.InetAddress;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A gatekeeper on the loop of the daemon, which is held still while callers and servers go on. */
class AfterReadQueueTest {
    private final Scenario s = new Scenario();
    private final AfterReadQueue afterRead = new AfterReadQueue();
    private final Vertx vertx = Vertx.builder().with(new VertxOptions().setEventLoopPoolSize(1))
        .withTransport(new BoundedAcceptor(100, afterRead)).build();
    private final Context loop = vertx.getOrCreateContext();
    private final Timers timers = afterRead.timers(vertx, loop);
    private CountDownLatch still;
    private int port;

    @BeforeEach
    void start() throws Exception {
        NodeConfig config = new NodeConfig("n0", new Address("127.0.0.1", 0), 1, null, List.of(), null, null, 0,
            List.of(new Endpoint(Sites.entry("s1", 0, Stage.HEALTHY, 0),
                new Address("127.0.0.1", s.server("s1", new TrunkDialect())))),
            64, Sites.settings());
        CompletableFuture<Integer> ready = new CompletableFuture<>();
        loop.runOnContext(v -> new Node(vertx, config, () -> System.nanoTime() / 1000, timers, line -> {}).start()
            .onSuccess(ready::complete));
        port = ready.get(20, TimeUnit.SECONDS);
        s.client("d", new SipDialect(), port);
        s.play("s1 reached 2\n d > OPTIONS 77\n d < 200 OPTIONS 77");
    }

    @AfterEach
    void close() throws Exception {
        s.close();
        vertx.close().toCompletionStage().toCompletableFuture().get(20, TimeUnit.SECONDS);
    }

    private void hold() {
        CountDownLatch latch = new CountDownLatch(1);
        still = latch;
        loop.runOnContext(v -> {
            try {
                latch.await(20, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
    }

    /** Guards the servers against set-ups of callers that have left while the loop stood still: close, reset, CANCEL. */
    @ParameterizedTest
    @ValueSource(strings = {"closes", "resets", "cancels"})
    void whoLeftWhileTheLoopStoodStillIsNotSentOn(String how) throws Exception {
        SipDialect dialect = new SipDialect();
        try (Socket c = new Socket(InetAddress.getByName("127.0.0.1"), port)) {
            hold();
            c.getOutputStream().write(dialect.encode("INVITE 01").getBytes());
            if (how.equals("cancels")) {
                c.getOutputStream().write(dialect.encode("CANCEL 01").getBytes());
            } else {
                c.setSoLinger(how.equals("resets"), 0);
                c.close();
            }
            still.countDown();
            s.play("d > INVITE 02\n s1 < set-up 02*\n s1 > answer 02 desc\n d < 200 INVITE 02 desc\n s1 has no more");
        }
    }

    /** What is put off leaves without anything else to wake the loop. */
    @Test
    void aTaskOfATimerIsRunAfterTheNextRound() throws Exception {
        CompletableFuture<Void> done = new CompletableFuture<>();
        loop.runOnContext(v -> timers.after(1_000, () -> timers.afterInput(() -> done.complete(null))));
        done.get(20, TimeUnit.SECONDS);
    }
}
