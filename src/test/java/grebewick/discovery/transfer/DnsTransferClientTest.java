package grebewick.discovery.transfer;

import static org.assertj.core.api.Assertions.assertThat;

import grebewick.config.Address;
import grebewick.config.Endpoint;
import grebewick.core.CallControl.Stage;
import grebewick.play.Scenario;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.datagram.DatagramPacket;
import io.vertx.core.datagram.DatagramSocket;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.function.Function;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** The client's sockets against a stand-in replica on loopback, on a hand-driven clock. */
class DnsTransferClientTest {
    private static final String ZONE = "s12.east.fleet.local.";
    private static final long SEED = 12;
    private static final int PORT_TRIES = 20;

    private final Scenario s = new Scenario();
    private final SimPrimary primary = new SimPrimary();
    private final List<List<Endpoint>> published = new ArrayList<>();
    private final List<String> log = new ArrayList<>();
    /** What the stand-in makes of its messages before they go out. */
    private Function<byte[], byte[]> spoilDatagram = message -> message;
    private Function<byte[], byte[]> spoilStream = message -> message;
    private boolean closesWithin;
    private boolean isMute;
    private SimReplica replica;
    private DatagramSocket udp;
    private DnsTransferClient client;
    private int queries;
    private int transfers;

    @BeforeEach
    void start() {
        System.out.println("seed " + SEED);
        primary.create(ZONE, "s", 60);
        Address at = listen();
        replica = new SimReplica(new Replica(at, "east", "east-1"), primary);
        replica.refresh();
        DiscoveryConfig config = new DiscoveryConfig("east", "east-1", List.of(replica.replica), List.of(ZONE), 2_000_000,
            500_000,
            3_000_000, 8_000, 1_000_000, 1 << 20);
        client = s.on(() -> {
            DnsTransferClient made = new DnsTransferClient(s.vertx, s.clock, s.clock, new SplittableRandom(SEED), config,
                List.of(),
                published::add, log::add);
            made.start();
            return made;
        });
    }

    @AfterEach
    void end() {
        s.await(() -> client.close());
        s.close();
    }

    /** At a port that is free for both: one that is free for TCP may be another process's for datagrams. */
    private Address listen() {
        for (int i = 0; i < PORT_TRIES; i++) {
            NetServer tcp = s.on(() -> s.vertx.createNetServer().connectHandler(this::serve));
            int port = s.await(() -> tcp.listen(0, "127.0.0.1")).actualPort();
            udp = s.on(() -> s.vertx.createDatagramSocket());
            udp.handler(this::answer);
            if (s.await(() -> udp.listen(port, "127.0.0.1").map(true).otherwise(false))) {
                return new Address("127.0.0.1", port);
            }
            s.await(tcp::close);
        }
        throw new AssertionError("no port is free for both");
    }

    private static TransferRequest decode(byte[] query) {
        try {
            return TransferCodec.decodeQuery(query);
        } catch (TransferException e) {
            throw new AssertionError(e);
        }
    }

    private void answer(DatagramPacket packet) {
        queries++;
        TransferRequest request = decode(packet.data().getBytes());
        byte[] message = spoilDatagram.apply(TransferCodec.encodeDatagram(request, replica.answer(request, false)));
        if (message != null) {
            udp.send(Buffer.buffer(message), packet.sender().port(), packet.sender().host());
        }
    }

    private void serve(NetSocket socket) {
        transfers++;
        if (isMute) {
            return;
        }
        MessageFraming framing = new MessageFraming(512);
        socket.handler(buffer -> {
            try {
                framing.add(buffer.getBytes()).forEach(query -> {
                    TransferRequest request = decode(query);
                    TransferCodec.encodeStream(request, replica.answer(request, true)).forEachRemaining(
                        message -> socket.write(Buffer.buffer(MessageFraming.frame(spoilStream.apply(message)))));
                    if (closesWithin) {
                        socket.close();
                    }
                });
            } catch (TransferException e) {
                throw new AssertionError(e);
            }
        });
    }

    /** Until it has come to that; time passes while the client waits for nothing from the network. */
    private void until(Callable<Boolean> condition) {
        s.until(() -> {
            if (client.client().requestsOut() == 0) {
                s.clock.pass(10_000);
            }
            return condition.call();
        });
    }

    /** The same where answers are not to come: time passes all the same. */
    private void untilTimedOut(Callable<Boolean> condition) {
        s.until(() -> {
            s.clock.pass(10_000);
            return condition.call();
        });
    }

    private boolean isCurrent() {
        return !published.isEmpty() && published.get(published.size() - 1).equals(primary.list());
    }

    /** A change while the client runs; the stand-in is on the same loop. */
    private void drain(String id) {
        s.on(() -> {
            primary.drain(ZONE, id);
            replica.refresh();
            return null;
        });
    }

    @Test
    void theListComesByTcpAndChangesByDatagram() {
        until(this::isCurrent);
        assertThat(s.on(() -> transfers)).isEqualTo(1);
        drain("s-3");
        until(this::isCurrent);
        assertThat(s.on(() -> transfers)).isEqualTo(1);
        assertThat(s.on(() -> published.get(published.size() - 1))).filteredOn(e -> e.entry().stage() == Stage.DRAINING)
            .hasSize(1);
        s.on(() -> {
            for (int i = 0; i < 40; i++) {
                primary.drain(ZONE, "s-" + i);
            }
            replica.refresh();
            return null;
        });
        until(this::isCurrent);
        assertThat(s.on(() -> transfers)).as("too long for a datagram").isEqualTo(2);
        assertThat(client.client().statistics().copies()).isEqualTo(1);
    }

    @Test
    void answersFromElsewhereAndWithOtherIdsAreNotHeard() {
        until(this::isCurrent);
        long before = s.on(() -> client.strays());
        spoilDatagram = message -> {
            byte[] other = message.clone();
            other[0] ^= 0x55;
            return other;
        };
        drain("s-1");
        untilTimedOut(() -> client.strays() > before + 2);
        assertThat(s.on(this::isCurrent)).isFalse();
        spoilDatagram = message -> message;
        s.play("wait 600");
        until(this::isCurrent);
        // A right answer, but from a socket that is not the replica's.
        DatagramSocket other = s.on(() -> s.vertx.createDatagramSocket());
        DatagramSocket right = udp;
        udp = other;
        long strays = s.on(() -> client.strays());
        drain("s-2");
        untilTimedOut(() -> client.strays() > strays + 2);
        assertThat(s.on(this::isCurrent)).isFalse();
        udp = right;
        // Whatever is out, and had no answer, is overdue.
        s.play("wait 600");
        until(this::isCurrent);
    }

    @Test
    void whatIsCutShortOrGarbageIsAFailureOfTheReplica() {
        until(this::isCurrent);
        spoilDatagram = message -> Arrays.copyOf(message, message.length - 3);
        drain("s-1");
        until(() -> client.client().statistics().failures(TransferFailure.MALFORMED) > 1);
        assertThat(s.on(this::isCurrent)).isFalse();
        spoilDatagram = message -> message;
        until(this::isCurrent);
        assertThat(s.on(() -> List.copyOf(log))).anyMatch(line -> line.contains("truncated record"));
    }

    @Test
    void aTransferWithGarbageOrCutOffIsNotUsedAndTriedAgain() {
        spoilStream = message -> {
            byte[] other = message.clone();
            other[message.length - 1] = 99;
            other[message.length / 2] ^= 0x40;
            return other;
        };
        until(() -> client.client().statistics().failures(TransferFailure.MALFORMED) > 1);
        assertThat(s.on(() -> published.size())).isZero();
        spoilStream = message -> Arrays.copyOf(message, 20);
        closesWithin = true;
        until(() -> client.client().statistics().failures(TransferFailure.MALFORMED) > 3);
        assertThat(s.on(() -> published.size())).isZero();
        spoilStream = message -> message;
        until(this::isCurrent);
    }

    /** A replica that takes the connection and says nothing. */
    @Test
    void aTransferThatStandsStillEndsAtItsDeadline() {
        isMute = true;
        untilTimedOut(() -> client.client().statistics().failures(TransferFailure.TIMEOUT) > 1);
        assertThat(s.on(() -> published.size())).isZero();
        isMute = false;
        s.play("wait 3100");
        until(this::isCurrent);
    }

    /** Guards against a list that is silent for good once its socket has failed. */
    @Test
    void aSocketThatIsClosedIsReplaced() {
        until(this::isCurrent);
        s.await(() -> client.socket.close());
        drain("s-4");
        until(this::isCurrent);
        assertThat(s.on(() -> List.copyOf(log))).anyMatch(line -> line.contains("could not be sent"));
    }

    @Test
    void afterItsEndItAsksNoMore() {
        until(this::isCurrent);
        s.await(() -> client.close());
        int before = s.on(() -> queries);
        s.play("wait 20000");
        assertThat(s.on(() -> queries)).isEqualTo(before);
    }
}
