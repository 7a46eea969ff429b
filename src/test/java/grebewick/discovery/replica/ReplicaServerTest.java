package grebewick.discovery.replica;

import static grebewick.discovery.transfer.TransferSamples.ZONE;
import static org.assertj.core.api.Assertions.assertThat;

import grebewick.config.Address;
import grebewick.discovery.transfer.FailureReason;
import grebewick.discovery.transfer.MessageFraming;
import grebewick.discovery.transfer.TransferCodec;
import grebewick.discovery.transfer.TransferRequest;
import grebewick.discovery.transfer.TransferResponse;
import grebewick.discovery.transfer.TransferResponse.Failed;
import grebewick.discovery.transfer.TransferResponse.FullCopy;
import grebewick.discovery.transfer.TransferResponse.Incremental;
import grebewick.discovery.transfer.TransferResponse.TooLarge;
import grebewick.discovery.transfer.TransferResponse.UpToDate;
import grebewick.discovery.transfer.TransferSamples;
import grebewick.discovery.transfer.ZoneContent;
import grebewick.discovery.transfer.ZoneVersion;
import grebewick.play.Scenario;
import io.vertx.core.Future;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A replica's sockets on loopback, on a hand-driven clock. */
@Timeout(100)
class ReplicaServerTest {
    private static final ZoneVersion FIRST = new ZoneVersion(1_764_650_000_000L, 1);
    private static final LimitSettings WIDE = new LimitSettings(64, 1L << 40, 1L << 40);
    private final Scenario s = new Scenario();
    private final TransferSamples samples = new TransferSamples(53);
    private final List<String> log = new ArrayList<>();
    private ReplicaState state;
    private ReplicaServer server;
    private BlockingClient client;

    private void start(LimitSettings limits, ServerLimits serverLimits, ZoneContent content) throws Exception {
        state = new ReplicaState(new HistoryLimits(4_096, 1 << 20), limits);
        state.serve(List.of(ZONE));
        state.take(ZONE, content);
        server = new ReplicaServer(s.vertx, state, serverLimits, s.clock, s.clock, log::add);
        client = new BlockingClient(s.await(() -> server.listen(new Address("127.0.0.1", 0))).port());
    }

    @AfterEach
    void end() throws Exception {
        client.close();
        s.await(() -> server.close(0));
        s.close();
        assertThat(log).isEmpty();
    }

    private static TransferRequest from(ZoneContent held) {
        return new TransferRequest(4_711, ZONE, Optional.of(held.version()));
    }

    private static TransferRequest fromNothing() {
        return new TransferRequest(4_712, ZONE, Optional.empty());
    }

    private ZoneContent change(ZoneContent content, int touched) {
        ZoneContent next = samples.next(content, touched);
        assertThat(s.on(() -> state.take(ZONE, next))).isTrue();
        return next;
    }

    @Test
    void changesComeInADatagram() throws Exception {
        ZoneContent first = samples.content(FIRST, 190);
        start(WIDE, ServerLimits.DEFAULT, first);
        assertThat(client.ask(from(first))).isEqualTo(new UpToDate(FIRST));
        ZoneContent second = change(first, 1);
        ZoneContent third = change(second, 1);
        Incremental answer = (Incremental) client.ask(from(first));
        assertThat(answer.changes()).hasSize(2);
        assertThat(first.apply(answer.changes().get(0)).apply(answer.changes().get(1))).isEqualTo(third);
        assertThat(s.on(() -> state.counters().incremental())).isEqualTo(1);
    }

    @Test
    void whatDoesNotFitADatagramComesOverTcp() throws Exception {
        ZoneContent first = samples.content(FIRST, 400);
        start(WIDE, ServerLimits.DEFAULT, first);
        ZoneContent next = change(first, 60);
        assertThat(client.ask(from(first))).isEqualTo(new TooLarge(next.version()));
        Incremental answer = (Incremental) client.askStream(from(first));
        assertThat(first.apply(answer.changes().get(0))).isEqualTo(next);
        assertThat(client.ask(fromNothing())).isEqualTo(new TooLarge(next.version()));
        assertThat(client.askStream(fromNothing())).as("on the same connection").isEqualTo(new FullCopy(next));
        assertThat(client.messages).isGreaterThan(10);
        assertThat(client.askStream(from(next))).isEqualTo(new UpToDate(next.version()));
        s.until(() -> state.transfers() == 0);
    }

    @Test
    void beyondTheLimitsTheAnswerIsRefused() throws Exception {
        start(new LimitSettings(64, 1_000_000, 3), ServerLimits.DEFAULT, samples.content(FIRST, 3));
        for (int i = 0; i < 3; i++) {
            assertThat(client.ask(fromNothing())).isInstanceOf(FullCopy.class);
        }
        assertThat(client.ask(fromNothing())).isEqualTo(new Failed(FailureReason.REFUSED));
        assertThat(client.askStream(fromNothing())).isEqualTo(new Failed(FailureReason.REFUSED));
        s.play("wait 400");
        assertThat(client.askStream(fromNothing())).isInstanceOf(FullCopy.class);
    }

    @Test
    void copiesBeyondTheBytesOfASecondAreRefused() throws Exception {
        start(new LimitSettings(64, 50_000, 1_000), ServerLimits.DEFAULT, samples.content(FIRST, 190));
        assertThat(client.askStream(fromNothing())).isInstanceOf(FullCopy.class);
        assertThat(client.askStream(fromNothing())).isEqualTo(new Failed(FailureReason.REFUSED));
        s.play("wait 1000");
        assertThat(client.askStream(fromNothing())).isInstanceOf(FullCopy.class);
    }

    /** One that does not read holds no more than the buffers, its transfer's place is given free, and others are served. */
    @Test
    void oneThatDoesNotReadIsClosed() throws Exception {
        ZoneContent content = samples.content(FIRST, 38_000);
        start(new LimitSettings(1, 1L << 40, 1_000), ServerLimits.DEFAULT, content);
        client.connect(4_096);
        client.write(MessageFraming.frame(TransferCodec.encodeQuery(fromNothing())));
        s.until(() -> state.transfers() == 1);
        try (BlockingClient other = new BlockingClient(client.port())) {
            assertThat(other.askStream(fromNothing())).isEqualTo(new Failed(FailureReason.REFUSED));
            assertThat(other.ask(from(content))).isEqualTo(new UpToDate(FIRST));
        }
        s.until(() -> {
            s.clock.pass(ServerLimits.DEFAULT.stalledUs());
            return server.connections() == 0;
        });
        assertThat(s.on(state::transfers)).isZero();
        assertThat(s.on(() -> state.counters().bytes())).as("of five million").isLessThan(1_000_000);
        try (BlockingClient other = new BlockingClient(client.port())) {
            assertThat(other.askStream(fromNothing())).isEqualTo(new FullCopy(content));
        }
    }

    @Test
    void oneThatReadsSlowlyGetsItAll() throws Exception {
        ZoneContent content = samples.content(FIRST, 38_000);
        start(WIDE, ServerLimits.DEFAULT, content);
        client.connect(4_096);
        client.write(MessageFraming.frame(TransferCodec.encodeQuery(fromNothing())));
        s.play("wait 2000");
        assertThat(client.readAnswer(fromNothing())).isEqualTo(new FullCopy(content));
    }

    /** One that reads a little again and again is closed after the time for a whole answer. */
    @Test
    void oneThatReadsAllTooSlowlyIsClosed() throws Exception {
        start(WIDE, ServerLimits.DEFAULT, samples.content(FIRST, 38_000));
        client.connect(4_096);
        client.write(MessageFraming.frame(TransferCodec.encodeQuery(fromNothing())));
        s.until(() -> state.transfers() == 1);
        for (int i = 0; i < 16; i++) {
            s.play("wait 2000");
            if (s.on(server::connections) > 0) {
                client.read(1_000);
            }
        }
        s.until(() -> server.connections() == 0 && state.transfers() == 0);
    }

    @Test
    void idleAndHalfQueriesAreClosed() throws Exception {
        start(WIDE, ServerLimits.DEFAULT, samples.content(FIRST, 3));
        for (byte[] begin : List.of(new byte[0], new byte[] {0, 80, 1})) {
            client.connect(65_536);
            client.write(begin);
            s.until(() -> server.connections() == 1);
            s.until(() -> {
                s.clock.pass(ServerLimits.DEFAULT.idleUs());
                return server.connections() == 0;
            });
            client.awaitEnd();
        }
    }

    @Test
    void connectionsAreLimited() throws Exception {
        start(WIDE, ServerLimits.DEFAULT.withConnections(2), samples.content(FIRST, 3));
        try (BlockingClient second = new BlockingClient(client.port());
            BlockingClient third = new BlockingClient(client.port())) {
            assertThat(client.askStream(fromNothing())).isInstanceOf(FullCopy.class);
            assertThat(second.askStream(fromNothing())).isInstanceOf(FullCopy.class);
            third.connect(65_536);
            third.awaitEnd();
            assertThat(second.askStream(fromNothing())).isInstanceOf(FullCopy.class);
        }
        s.until(() -> server.connections() == 1);
    }

    @Test
    void garbageIsToldSoOrNotAnswered() throws Exception {
        ZoneContent content = samples.content(FIRST, 3);
        start(WIDE, ServerLimits.DEFAULT, content);
        byte[] cut = Arrays.copyOf(TransferCodec.encodeQuery(fromNothing()), 40);
        client.send(cut);
        assertThat(TransferCodec.decodeDatagram(fromNothing(), client.receive())).isEqualTo(new Failed(FailureReason.FORMERR));
        client.send(new byte[] {1, 2, 3});
        client.send(TransferCodec.encodeDatagram(fromNothing(), new UpToDate(FIRST)));
        assertThat(client.ask(from(content))).as("nothing came before").isEqualTo(new UpToDate(FIRST));
        client.connect(65_536);
        client.write(MessageFraming.frame(cut));
        assertThat(client.readAnswer(fromNothing())).isEqualTo(new Failed(FailureReason.FORMERR));
        client.awaitEnd();
        client.connect(65_536);
        client.write(new byte[] {-1, -1, 0});
        client.awaitEnd();
        Random random = new Random(9);
        for (int i = 0; i < 200; i++) {
            byte[] garbage = new byte[random.nextInt(300)];
            random.nextBytes(garbage);
            client.send(garbage);
        }
        s.until(() -> state.counters().malformed() >= 100);
        try (BlockingClient other = new BlockingClient(client.port())) {
            assertThat(other.ask(from(content))).isEqualTo(new UpToDate(FIRST));
        }
    }

    /** Told to end, it finishes the answer that has begun and takes no other query. */
    @Test
    void anAnswerThatHasBegunIsFinishedAtTheEnd() throws Exception {
        ZoneContent content = samples.content(FIRST, 38_000);
        start(WIDE, ServerLimits.DEFAULT, content);
        client.connect(4_096);
        client.write(MessageFraming.frame(TransferCodec.encodeQuery(fromNothing())));
        s.until(() -> state.transfers() == 1);
        Future<Void> closed = s.on(() -> server.close(1_000_000));
        TransferResponse answer = client.readAnswer(fromNothing());
        assertThat(answer).isEqualTo(new FullCopy(content));
        s.until(() -> server.connections() == 0);
        s.play("wait 20");
        s.await(() -> closed);
    }
}
