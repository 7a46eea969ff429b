package grebewick;

import static org.assertj.core.api.Assertions.assertThat;

import grebewick.config.Address;
import grebewick.config.Endpoint;
import grebewick.config.NodeConfig;
import grebewick.core.CallControl.Scope;
import grebewick.core.CallControl.Stage;
import grebewick.play.Scenario;
import grebewick.play.Sites;
import grebewick.sip.SipDialect;
import grebewick.trunk.TrunkDialect;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** What comes between two lines: a close, a reset, bad input or news of the list as a request or an answer crosses it. */
@Timeout(100)
class CrossingsTest {
    private final Scenario s = new Scenario();
    private final List<String> log = new CopyOnWriteArrayList<>();
    private Node node;
    private int port;
    private int ports1;

    @BeforeEach
    void start() {
        ports1 = s.server("s1", new TrunkDialect());
        int ports2 = s.server("s2", new TrunkDialect());
        port = starts(endpoint("s1", ports1, 0), endpoint("s2", ports2, 1));
        s.client("c", new SipDialect(), port);
        s.client("d", new SipDialect(), port);
        s.play("s1 has no more\n s2 has no more");
    }

    @AfterEach
    void noCallIsLeft() {
        assertThat(s.on(() -> node.calls())).isZero();
        s.close();
    }

    private int starts(Endpoint... known) {
        return s.await(() -> {
            node = new Node(s.vertx, new NodeConfig("n0", new Address("127.0.0.1", 0), 1, null, List.of(), null, null, 0,
                List.of(known), 64, Sites.settings()), s.clock, s.clock, log::add);
            return node.start();
        });
    }

    private static Endpoint endpoint(String id, int port, int place) {
        return new Endpoint(Sites.entry(id, place, Stage.HEALTHY, 0), new Address("127.0.0.1", port));
    }

    private void tell(Endpoint... list) {
        s.on(() -> {
            node.tell(Scope.COMPLETE, List.of(list));
            return null;
        });
    }

    // ---- callers' connections

    /** Guards set-ups against being lost without an answer, as their connection ends on what came behind them. */
    @Test
    void badInputBehindASetUpClosesItsConnectionOnceTheSetUpIsAnswered() {
        s.play("""
            c > INVITE 01
            s1 < set-up 01*
            c > raw what is this|||
            c < 500 INVITE 01
            c sees the end
            s1 < release 01 16
            s1 > answer 01 desc
            s1 < release 01 16""");
        assertThat(log.stream().filter(line -> line.startsWith("sip: closed"))).hasSize(1);
    }

    /** The same in one read: nothing has left, and that is said. */
    @Test
    void aSetUpAndBadInputInOneReadIsRefusedAndNotSentOn() {
        String invite = new SipDialect().encode("INVITE 01").toString().replace("\r\n", "|");
        s.play("loop is late\n c > raw " + invite
            + "what is this|||\n c < 503 INVITE 01 retry=2\n c sees the end\n loop is caught-up\n"
            + "d has no more\n wait 5000\n s1 has no more\n s2 has no more");
    }

    /** Guards set-ups and standing calls of a caller whose network stopped in the middle of its next message. */
    @Test
    void halfAMessageEndsNoConnectionUnderACall() {
        s.play("""
            c > INVITE 01 deadline=9000
            s1 < set-up 01*
            c > raw INVITE sip:55@net SIP/2.0|
            d has no more
            wait 1300
            s1 < release 01 16
            wait 600
            s2 < set-up 01*
            wait 150
            s2 > answer 01 desc
            c < 200 INVITE 01 desc
            wait 4000
            s2 > release 01 16
            s2 < released 01
            c < BYE 01 16
            wait 250
            c sees the end""");
    }

    /** Guards the ends of standing calls: the connection that is closed for useless requests may be their last way. */
    @Test
    void uselessRequestsCloseNoConnectionUnderAStandingCall() {
        s.play("c > INVITE 01\n s1 < set-up 01*\n s1 > answer 01 desc\n c < 200 INVITE 01 desc");
        s.play("c > INVITE 02 tier=b\n c < 400 INVITE 02\n".repeat(20));
        s.play("c has no more\n s1 > release 01 16\n s1 < released 01\n c < BYE 01 16\n c > 200 BYE 01");
        s.play("c > INVITE 02 tier=b\n c < 400 INVITE 02\n c sees the end");
    }

    /** Guards a set-up that has come with them, or that a late loop has not read yet. */
    @Test
    void uselessRequestsCloseTheirConnectionOnceAllBehindThemIsRead() {
        SipDialect sip = new SipDialect();
        String useless = sip.encode("INVITE 02 tier=b").toString().repeat(8);
        String setUp = sip.encode("INVITE 01").toString();
        s.play("loop is late\n d > raw " + (useless + setUp).replace("\r\n", "|") + "\n" + "d < 400 INVITE 02\n".repeat(8));
        s.play("d has no more\n loop is caught-up\n s1 < set-up 01*\n s1 > answer 01 desc\n d < 200 INVITE 01 desc");
        s.play("d > BYE 01\n d < 200 BYE 01");
    }

    /** Guards the descriptors: a caller that reads nothing holds no connection for as long as it likes. */
    @Test
    void whoReadsNothingIsEndedThoughItsAnswersNeverLeave() throws IOException {
        byte[] tests = "OPTIONS sip:ping@net SIP/2.0\r\nCall-ID: 00000000000000ff\r\nCSeq: 1 OPTIONS\r\nContent-Length: 0\r\n\r\n"
            .repeat(200).getBytes();
        try (Socket mute = new Socket(InetAddress.getByName("127.0.0.1"), port)) {
            OutputStream out = mute.getOutputStream();
            while (s.on(() -> node.pendingWork().bytes()) == 0) {
                out.write(tests);
            }
            // Idle for 6 s, then closed; what has not left 2 s later is dropped.
            s.play("wait 9000").until(() -> node.pendingWork().bytes() == 0);
        } catch (SocketException e) {
            // Ended already, as too much was unread.
        }
    }

    /** Guards what was taken against the end of the process: the signal comes between its last byte and its attempt. */
    @Test
    void aSetUpThatWasTakenBeforeTheSignalIsServed() {
        s.play("loop is late\n c > INVITE 01\n c has no more");
        s.on(() -> {
            node.failTests();
            node.refuseCalls();
            return null;
        });
        s.play(
            "loop is caught-up\n s1 < set-up 01*\n s1 > answer 01 desc\n c < 200 INVITE 01 desc\n c > BYE 01\n c < 200 BYE 01");
    }

    /**
     * Guards calls against a server that dies between its choice and the write, once that is read: nothing has left,
     * another has it.
     */
    @Test
    void aServerThatDiesBetweenTheChoiceAndTheWriteCostsNoCall() {
        s.play("loop is late\n c > INVITE 01\n c has no more\n s1 stops\n d has no more\n loop is caught-up\n"
            + "s2 < set-up 01*\n s2 > answer 01 desc\n"
            + "c < 200 INVITE 01 desc\n c > BYE 01\n c < 200 BYE 01\n s2 < release 01 16");
    }

    // ---- servers' connections: e calls, s3 is a server whose two connections the test holds itself

    private interface Crossing {
        /** {@code there}: where the set-up of call 01 came. */
        void play(ServerSocket server, Socket there, Socket elsewhere) throws IOException;
    }

    private void crossing(Crossing crossing, Endpoint... others) throws IOException {
        try (ServerSocket server = new ServerSocket(0, 8, InetAddress.getByName("127.0.0.1"))) {
            server.setSoTimeout(20_000);
            List<Endpoint> known = new ArrayList<>(List.of(others));
            known.add(0, endpoint("s3", server.getLocalPort(), 0));
            s.client("e", new SipDialect(), starts(known.toArray(Endpoint[]::new)));
            try (Socket first = server.accept(); Socket second = server.accept()) {
                s.play("e > INVITE 01");
                s.until(() -> first.getInputStream().available() + second.getInputStream().available() > 0);
                boolean isFirst = first.getInputStream().available() > 0;
                crossing.play(server, isFirst ? first : second, isFirst ? second : first);
            }
        }
    }

    private static void says(Socket at, String message) throws IOException {
        at.getOutputStream().write(new TrunkDialect().encode(message).getBytes());
    }

    /** Guards against two attempts out: what a server says of a call on another connection is not of the present attempt. */
    @Test
    void aRefusalOnAnotherConnectionDoesNotEndTheAttempt() throws IOException {
        crossing((server, there, elsewhere) -> {
            says(elsewhere, "release 01 34 cpu_full");
            assertThat(elsewhere.getInputStream().read()).as("it is heard").isNotNegative();
            says(there, "answer 01 desc");
            s.play("e < 200 INVITE 01 desc\n e > BYE 01\n e < 200 BYE 01");
        });
    }

    /** Guards against a third set-up beside the second: a copy of the first one's end is no end of the second. */
    @Test
    void aSecondCopyOfARefusalDoesNotEndTheNextAttemptAtTheSameServer() throws IOException {
        crossing((server, there, elsewhere) -> {
            says(there, "release 01 47");
            says(there, "release 01 47");
            s.until(() -> elsewhere.getInputStream().available() > 0);
            says(there, "release 01 47");
            assertThat(there.getInputStream().read()).as("it is heard").isNotNegative();
            says(elsewhere, "answer 01 desc");
            s.play("e < 200 INVITE 01 desc\n e > BYE 01\n e < 200 BYE 01");
        });
    }

    /** Guards the one end of an attempt: the reset behind a refusal is of nothing any more. */
    @Test
    void aRefusalAndAResetInOneReadAreOneEnd() throws IOException {
        crossing((server, there, elsewhere) -> {
            there.setSoLinger(true, 0);
            says(there, "release 01 34");
            there.close();
            s.play(
                "s1 < set-up 01*\n s1 has no more\n s1 > answer 01 desc\n e < 200 INVITE 01 desc\n e > BYE 01\n e < 200 BYE 01");
        }, endpoint("s1", ports1, 1));
    }

    /** Guards the caller's one answer and the 500 ms: half an answer is none, and the attempt may have run. */
    @Test
    void aResetHalfWayThroughAnAnswerEndsTheAttemptAndTheNextWaits() throws IOException {
        byte[] answer = new TrunkDialect().encode("answer 01 desc").getBytes();
        crossing((server, there, elsewhere) -> {
            there.setSoLinger(true, 0);
            there.getOutputStream().write(answer, 0, answer.length - 2);
            there.close();
            server.accept().close();
            s.play("""
                e has no more
                wait 400
                s1 has no more
                wait 200
                s1 < set-up 01*
                s1 > answer 01 desc
                e < 200 INVITE 01 desc
                e > BYE 01
                e < 200 BYE 01
                e has no more""");
        }, endpoint("s1", ports1, 1));
    }

    /** A server that goes, and another that comes at its address within one list: its calls are cut, new ones go there. */
    @Test
    void anAddressThatIsAnothersWithinOneListTakesNoCallsAlong() {
        s.play(
            "c > INVITE 01\n s1 < set-up 01*\n s1 > answer 01 desc\n c < 200 INVITE 01 desc\n c > INVITE 02\n s1 < set-up 02*");
        tell(endpoint("s3", ports1, 0));
        s.play("s1 < release 01 16\n c < BYE 01 41\n c > 200 BYE 01\n s1 reached 4\n"
            + "s1 > answer 02 desc\n c < 200 INVITE 02 desc\n s1 < release 02 16\n c < BYE 02 41\n c > 200 BYE 02\n"
            + "c > INVITE 03\n s1 < set-up 03*\n s1 > answer 03 desc\n c < 200 INVITE 03 desc");
        s.play("c has no more\n c > BYE 03\n c < 200 BYE 03\n s1 < release 03 16");
    }
}
