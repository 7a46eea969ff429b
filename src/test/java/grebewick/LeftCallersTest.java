package grebewick;

import static org.assertj.core.api.Assertions.assertThat;

import grebewick.config.Address;
import grebewick.config.Endpoint;
import grebewick.config.NodeConfig;
import grebewick.core.CallControl.Scope;
import grebewick.core.CallControl.Settings;
import grebewick.core.CallControl.Stage;
import grebewick.core.Gatekeeper;
import grebewick.play.Scenario;
import grebewick.play.Sites;
import grebewick.sip.SipDialect;
import grebewick.trunk.Trunk;
import grebewick.trunk.TrunkDialect;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.BiConsumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A call whose caller has left while it waited is not sent on, wherever it waited: caller c, servers s1 (first) and s2. */
@Timeout(100)
class LeftCallersTest {
    private static final String CANCELS = "c > CANCEL 01\n c < 200 CANCEL 01\n c < 487 INVITE 01";
    /** Bytes unread by its caller after which a connection is closed. */
    private static final int MOST_UNREAD = 256 * 1024;
    /** Bytes that a caller's side of a connection holds unread, about; and calls after which it has not been filled. */
    private static final int SMALL_BUFFER = 4_096;
    private static final int MOST_CALLS = 4_096;
    private static final Settings PATIENT = Sites
        .settings(Sites.SETTINGS.replace("\"ConnectTimeout\":500000", "\"ConnectTimeout\":60000000"));
    private final Scenario s = new Scenario();
    private final List<String> log = new CopyOnWriteArrayList<>();
    private Node node;
    private int port;
    private Endpoint one;
    private Endpoint two;

    @BeforeEach
    void start() {
        one = endpoint("s1", s.server("s1", new TrunkDialect()), Stage.HEALTHY, 0);
        two = endpoint("s2", s.server("s2", new TrunkDialect()), Stage.HEALTHY, 1);
        port = s.await(() -> {
            node = new Node(s.vertx, config(List.of(one, two)), s.clock, s.clock, log::add);
            return node.start();
        });
        s.client("c", new SipDialect(), port);
        s.client("d", new SipDialect(), port);
        s.play("s1 has no more\n s2 has no more");
    }

    @AfterEach
    void noCallIsLeft() {
        assertThat(s.on(() -> node.calls())).isZero();
        s.close();
    }

    private static NodeConfig config(List<Endpoint> known) {
        return new NodeConfig("n0", new Address("127.0.0.1", 0), 1, null, List.of(), null, null, 0, known, 12, Sites.settings());
    }

    private static Endpoint endpoint(String id, int port, Stage stage, int place) {
        return new Endpoint(Sites.entry(id, place, stage, 0), new Address("127.0.0.1", port));
    }

    /** Nothing but a release may follow, and that only of what had left. */
    private void isNotSentOn() {
        s.play("wait 10000\n s1 has no more\n s2 has no more");
    }

    /** Guards servers against calls that stand for nobody: their caller leaves before it was sent a whole answer. */
    @Test
    void whileItsAnswerWasNotWrittenToTheEnd() throws IOException {
        SipDialect dialect = new SipDialect();
        String description = "x".repeat(StuckConnection.DESCRIPTION);
        int calls = 0;
        try (Socket caller = new Socket()) {
            caller.setReceiveBufferSize(SMALL_BUFFER);
            caller.connect(new InetSocketAddress("127.0.0.1", port));
            while (s.on(() -> node.pendingWork().bytes()) == 0) {
                calls++;
                assertThat(calls).as("the connection takes everything").isLessThan(MOST_CALLS);
                String id = "%02x".formatted(calls);
                caller.getOutputStream().write(dialect.encode("INVITE " + id).getBytes());
                s.play("s1 < set-up " + id + "*\n s1 > answer " + id + " " + description + "\n s1 has no more");
            }
            caller.setSoLinger(true, 0);
        }
        int standing = calls - 1;
        s.until(() -> {
            s.clock.pass(1);
            return node.calls() == standing;
        });
        s.play("s1 < release %02x 16\n s1 has no more\n s1 stops".formatted(calls)).until(() -> {
            s.clock.pass(1_000);
            return node.calls() == 0;
        });
    }

    @ParameterizedTest
    @ValueSource(strings = {CANCELS, "c closes"})
    void whileTheLoopHadNotReadThatItLeft(String leaves) {
        s.play("loop is late\n c > INVITE 01\n c has no more\n" + leaves + "\n d has no more\n loop is caught-up");
        isNotSentOn();
    }

    @ParameterizedTest
    @ValueSource(strings = {CANCELS, "c closes"})
    void whileItWaitedOutTheReleaseTime(String leaves) {
        s.play(
            "c > INVITE 01\n s1 < set-up 01*\n s1 > release 01 41\n s1 < released 01\n wait 400\n" + leaves + "\n d has no more");
        isNotSentOn();
    }

    /** Guards the release time where the id of a caller that has left comes again on another connection. */
    @Test
    void whileItsIdComesAgainOnAnotherConnection() {
        s.play("c > INVITE 01\n s1 < set-up 01*\n c closes\n s1 < release 01 16\n wait 50\n d > INVITE 01\n d < 500 INVITE 01");
        isNotSentOn();
    }

    /**
     * Its connection is closed from this side, as it reads nothing; what it says there from then on is not heard any more,
     * its leave neither. Its set-up waits out the release time meanwhile.
     */
    @Test
    void whileItReadNothingAndItsConnectionWasClosed() throws IOException {
        byte[] tests = new SipDialect().encode("OPTIONS ff").toString().repeat(200).getBytes();
        try (Socket mute = new Socket(InetAddress.getByName("127.0.0.1"), port)) {
            mute.getOutputStream().write(new SipDialect().encode("INVITE 01").getBytes());
            s.play("s1 < set-up 01*\n s1 > release 01 41\n s1 < released 01\n wait 400");
            try {
                // No call any more: its connection was closed between two looks, and holds no bytes.
                while (s.on(() -> node.calls() > 0 && node.pendingWork().bytes() < MOST_UNREAD)) {
                    mute.getOutputStream().write(tests);
                }
                mute.getOutputStream().write(tests);
                mute.getOutputStream().write(new SipDialect().encode("CANCEL 01").getBytes());
            } catch (SocketException e) {
                // The network took what was written after all, so that the connection has ended already.
            }
            s.play("d has no more");
            isNotSentOn();
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {CANCELS, "c closes"})
    void whileTheModuleHeldIt(String leaves) {
        s.on(() -> {
            node.tell(Scope.COMPLETE, List.of(endpoint("s1", one.address().port(), Stage.DRAINING, 0),
                endpoint("s2", two.address().port(), Stage.DRAINING, 1)));
            return null;
        });
        s.play("c > INVITE 01\n c has no more\n" + leaves + "\n d has no more");
        s.on(() -> {
            node.tell(Scope.COMPLETE, List.of(one, two));
            return null;
        });
        isNotSentOn();
    }

    /** Nobody accepts there: once its backlog is full, a connection neither comes up nor fails. */
    @ParameterizedTest
    @ValueSource(strings = {"e > CANCEL 01\n e < 200 CANCEL 01\n e < 487 INVITE 01", "e closes"})
    void whileItWaitedForAConnection(String leaves) throws IOException {
        InetAddress here = InetAddress.getByName("127.0.0.1");
        try (ServerSocket mute = new ServerSocket(0, 1, here); Socket first = new Socket(here, mute.getLocalPort());
            Socket second = new Socket(here, mute.getLocalPort())) {
            mute.setSoTimeout(20_000);
            Node waits = nodeThatWaitsFor(mute);
            s.client("e", new SipDialect(), s.await(waits::start));
            s.play("e > INVITE 01\n e has no more\n" + leaves);
            s.until(() -> waits.calls() == 0);
            mute.accept();
            mute.accept();
            // The connection that comes up at last carries nothing of it, as this end of the node shows.
            try (Socket late = mute.accept()) {
                late.setSoTimeout(20_000);
                s.await(waits::close);
                assertThat(late.getInputStream().readAllBytes()).isEmpty();
            }
        }
    }

    /** Guards against a loop that comes late and hears of the connection before it hears that the caller has left. */
    @ParameterizedTest
    @ValueSource(strings = {"e > CANCEL 01\n e < 200 CANCEL 01\n e < 487 INVITE 01", "e closes"})
    void whileTheConnectionThatItWaitedForCameUp(String leaves) throws IOException {
        comesUpLate((waits, server) -> {
            s.play(leaves);
            s.until(() -> waits.calls() == 0);
        });
    }

    /** Guards the rule on drains in the same moment. */
    @Test
    void aServerThatBeganToDrainWhileItsConnectionCameUpIsSentNothing() throws IOException {
        comesUpLate((waits, server) -> {
            s.on(() -> {
                waits.tell(Scope.COMPLETE, List.of(endpoint("s3", server, Stage.DRAINING, 0)));
                return null;
            });
            s.play("loop is caught-up\n e has no more\n e > CANCEL 01\n e < 200 CANCEL 01\n e < 487 INVITE 01");
        });
    }

    /**
     * A set-up waits for a connection, which comes up; the loop has read nothing else by then, but what {@code meanwhile} does.
     * No set-up may leave.
     */
    private void comesUpLate(BiConsumer<Node, Integer> meanwhile) throws IOException {
        InetAddress here = InetAddress.getByName("127.0.0.1");
        try (ServerSocket mute = new ServerSocket(0, 1, here); Socket first = new Socket(here, mute.getLocalPort());
            Socket second = new Socket(here, mute.getLocalPort())) {
            mute.setSoTimeout(20_000);
            Node waits = nodeThatWaitsFor(mute);
            s.client("e", new SipDialect(), s.await(waits::start));
            s.play("e > INVITE 01\n e has no more\n loop is late");
            mute.accept();
            mute.accept();
            try (Socket late = StuckConnection.accepted(mute)) {
                meanwhile.accept(waits, mute.getLocalPort());
                s.play("loop is caught-up\n e has no more");
                s.await(waits::close);
                assertThat(late.getInputStream().readAllBytes()).isEmpty();
            }
        }
    }

    private Node nodeThatWaitsFor(ServerSocket mute) {
        return s.on(() -> new Node(s.vertx, new NodeConfig("n1", new Address("127.0.0.1", 0), 1, null, List.of(), null, null, 0,
            List.of(endpoint("s3", mute.getLocalPort(), Stage.HEALTHY, 0)), 12, PATIENT), s.clock, s.clock, log::add));
    }

    /** Guards the rule on drains: the news came between the choice and the first byte. */
    @Test
    void aServerThatBeganToDrainMeanwhileIsSentNothing() {
        s.play("loop is late\n c > INVITE 01\n c has no more");
        s.on(() -> {
            node.tell(Scope.COMPLETE, List.of(endpoint("s1", one.address().port(), Stage.DRAINING, 0), two));
            return null;
        });
        s.play("""
            loop is caught-up
            s2 < set-up 01*
            s1 has no more
            s2 > answer 01 desc
            c < 200 INVITE 01 desc
            c > BYE 01
            c < 200 BYE 01
            s2 < release 01 16
            s1 has no more""");
    }

    /** A server that reads nothing: what the network has not taken is taken back with its connection, nothing else is. */
    @Test
    void whileItsBytesWereStuckInAConnection() throws IOException {
        try (ServerSocket server = new ServerSocket(0, 8, InetAddress.getByName("127.0.0.1"))) {
            Trunk trunk = trunk(server);
            try (Socket first = StuckConnection.accepted(server)) {
                int sent = s.on(() -> {
                    int last = StuckConnection.fill(trunk);
                    long before = trunk.unwritten();
                    // One more waits for the connection to take something again, and is not in it.
                    StuckConnection.setUp(trunk, last + 1);
                    assertThat(trunk.unwritten()).isEqualTo(before);
                    giveUp(trunk, last + 1);
                    assertThat(trunk.unwritten()).as("nothing is lost for it").isEqualTo(before);
                    giveUp(trunk, last);
                    assertThat(trunk.unwritten()).isZero();
                    return last;
                });
                assertThat(s.on(() -> List.copyOf(log)))
                    .anyMatch(line -> line.contains("did not take a set-up that was given up since"));
                byte[] got = first.getInputStream().readAllBytes();
                int size = 2 + (got[0] & 0xff) * 256 + (got[1] & 0xff);
                assertThat(got.length / size).as(got.length + " of " + size).isPositive().isLessThan(sent);
            }
        }
    }

    /** What waited for a stuck connection leaves in its order once that takes bytes again. */
    @Test
    void whatWaitedForAStuckConnectionLeavesLater() throws IOException {
        try (ServerSocket server = new ServerSocket(0, 8, InetAddress.getByName("127.0.0.1"))) {
            Trunk trunk = trunk(server);
            try (Socket first = StuckConnection.accepted(server)) {
                int sent = s.on(() -> {
                    int last = StuckConnection.fill(trunk);
                    long before = trunk.unwritten();
                    StuckConnection.setUp(trunk, last + 1);
                    assertThat(trunk.unwritten()).isEqualTo(before).isPositive();
                    return last;
                });
                int size = first.getInputStream().read() * 256 + first.getInputStream().read();
                assertThat(first.getInputStream().readNBytes((2 + size) * (sent + 1) - 2)).hasSize((2 + size) * (sent + 1) - 2);
            }
        }
    }

    /** A late loop sees that the connection takes bytes again before it reads that the caller has left. */
    @Test
    void whileTheStuckConnectionThatItWaitedForTookBytesAgain() throws IOException {
        try (ServerSocket server = new ServerSocket(0, 8, InetAddress.getByName("127.0.0.1"))) {
            Trunk trunk = trunk(server);
            try (Socket first = StuckConnection.accepted(server)) {
                int sent = s.on(() -> {
                    int last = StuckConnection.fill(trunk);
                    StuckConnection.setUp(trunk, last + 1);
                    s.clock.late(true);
                    return last;
                });
                int size = first.getInputStream().read() * 256 + first.getInputStream().read();
                assertThat(first.getInputStream().readNBytes((2 + size) * sent - 2)).hasSize((2 + size) * sent - 2);
                s.on(() -> {
                    giveUp(trunk, sent + 1);
                    s.clock.late(false);
                    return null;
                });
                s.await(trunk::close);
                assertThat(first.getInputStream().readAllBytes()).isEmpty();
            }
        }
    }

    private Trunk trunk(ServerSocket server) {
        Trunk trunk = s.on(() -> new Trunk(s.vertx, Sites.settings(), 1, new Random(1), s.clock, s.clock, log::add));
        s.on(() -> {
            trunk.attach(new Gatekeeper<>(Sites.settings(), (now, event, out) -> {}, s.clock, s.clock, trunk,
                (peer, bytes) -> {}, log::add));
            return trunk.list(List.of(endpoint("s3", server.getLocalPort(), Stage.HEALTHY, 0)));
        });
        return trunk;
    }

    private static Void giveUp(Trunk trunk, int call) {
        trunk.giveUp(call, 0, "s3");
        return null;
    }
}
