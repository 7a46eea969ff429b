package grebewick.eventloop;

import static org.assertj.core.api.Assertions.assertThat;

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
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A gatekeeper on the loop of the daemon, which is held still while callers and servers go on. */
class AfterReadQueueTest {
    private final Scenario s = new Scenario();
    /** What has passed beside the system's clock. */
    private final AtomicLong leaptNs = new AtomicLong();
    private final AfterReadQueue afterRead = new AfterReadQueue(() -> System.nanoTime() + leaptNs.get());
    private final Vertx vertx = Vertx.builder().with(new VertxOptions().setEventLoopPoolSize(1))
        .withTransport(new BoundedAcceptor(100, afterRead)).build();
    private final Context loop = vertx.getOrCreateContext();
    private final Timers timers = afterRead.timers(vertx, loop);
    /** Run on the loop whenever something is put off until all input has been read. */
    private Runnable onPutOff = () -> {
    };
    private CountDownLatch still;
    private int port;

    @BeforeEach
    void start() throws Exception {
        NodeConfig config = new NodeConfig("n0", new Address("127.0.0.1", 0), 1, null, List.of(), null, null, 0,
            List.of(new Endpoint(Sites.entry("s1", 0, Stage.HEALTHY, 0),
                new Address("127.0.0.1", s.server("s1", new TrunkDialect())))),
            64, Sites.settings());
        CompletableFuture<Integer> ready = new CompletableFuture<>();
        loop.runOnContext(v -> new Node(vertx, config, () -> System.nanoTime() / 1000, watched(), line -> {}).start()
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

    private Timers watched() {
        return new Timers() {
            @Override
            public Runnable after(long us, Runnable task) {
                return timers.after(us, task);
            }

            @Override
            public void afterInput(Runnable task) {
                timers.afterInput(task);
                onPutOff.run();
            }
        };
    }

    private void hold() {
        CountDownLatch latch = new CountDownLatch(1);
        still = latch;
        loop.runOnContext(v -> await(latch));
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

    /**
     * Guards the servers against set-ups of callers that leave while a round of reads is under way and takes long: it
     * has looked at their connections before. The slow part of it is a socket whose handler waits.
     */
    @Test
    void whoLeftDuringASlowRoundIsNotSentOn() throws Exception {
        CountDownLatch slow = new CountDownLatch(1);
        CountDownLatch left = new CountDownLatch(1);
        int slowPort = vertx.createNetServer().connectHandler(socket -> socket.handler(bytes -> {
            slow.countDown();
            await(left);
        })).listen(0, "127.0.0.1").toCompletionStage().toCompletableFuture().get(20, TimeUnit.SECONDS).actualPort();
        try (Socket c = new Socket(InetAddress.getByName("127.0.0.1"), port);
            Socket waker = new Socket(InetAddress.getByName("127.0.0.1"), slowPort)) {
            // Accepted and read from by now: what the loop reads next comes in the next round.
            c.getOutputStream().write(new SipDialect().encode("OPTIONS 77").getBytes());
            assertThat(c.getInputStream().read()).isNotNegative();
            onPutOff = () -> {
                onPutOff = () -> {
                };
                writeByte(waker);
            };
            c.getOutputStream().write(new SipDialect().encode("INVITE 01").getBytes());
            assertThat(slow.await(20, TimeUnit.SECONDS)).isTrue();
            c.close();
            leaptNs.addAndGet(2 * AfterReadQueue.FRESH_NS);
            left.countDown();
            s.play("d > INVITE 02\n s1 < set-up 02*\n s1 > answer 02 desc\n d < 200 INVITE 02 desc\n s1 has no more");
        }
    }

    private static void writeByte(Socket to) {
        try {
            to.getOutputStream().write(1);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static void await(CountDownLatch latch) {
        try {
            latch.await(20, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
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
