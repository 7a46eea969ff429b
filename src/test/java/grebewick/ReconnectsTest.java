package grebewick;

import static org.assertj.core.api.Assertions.assertThat;

import grebewick.config.Address;
import grebewick.config.Endpoint;
import grebewick.config.NodeConfig;
import grebewick.core.CallControl.Stage;
import grebewick.play.Scenario;
import grebewick.play.Sites;
import grebewick.sip.SipDialect;
import grebewick.trunk.TrunkDialect;
import io.netty.channel.socket.DuplexChannel;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.internal.net.NetSocketInternal;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.net.NetSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Servers that end connections: how often they are opened again, and what is heard on the next one. */
@Timeout(100)
class ReconnectsTest {
    private static final int ORDERLY = -1;
    private static final int RESET = 0;
    private static final String[] PING = new TrunkDialect().ping();
    private static final Buffer STATE = new TrunkDialect().encode("state 00 free:1");

    private final Scenario s = new Scenario();
    private final List<String> log = new CopyOnWriteArrayList<>();
    private Node node;
    /** Connections that server s3 has accepted, and of these the ones that it ends after its state. */
    private int accepted;
    private int ends = Integer.MAX_VALUE;
    /** Of these, how many it has ended. */
    private int ended;
    /** Connections that it leaves open, and how many of these the gatekeeper has answered on. */
    private final List<NetSocket> open = new ArrayList<>();
    private int answered;
    private NetSocket kept;
    private final List<String> heard = new ArrayList<>();

    @AfterEach
    void noCallIsLeft() {
        assertThat(s.on(() -> node.calls())).isZero();
        s.close();
    }

    /** Servers s1, a stand-in as usual, and s3, which says its state on each connection and ends it then. */
    private void start(int linger) {
        int three = s.await(() -> s.vertx.createNetServer(new NetServerOptions().setSoLinger(linger))
            .connectHandler(this::accept).listen(0, "127.0.0.1")).actualPort();
        start(endpoint("s1", s.server("s1", new TrunkDialect()), 0), endpoint("s3", three, 1));
    }

    private void start(Endpoint... known) {
        int port = s.await(() -> {
            node = new Node(s.vertx, new NodeConfig("n0", new Address("127.0.0.1", 0), 1, null, List.of(), null, null, 0,
                List.of(known), 64, Sites.settings()), s.clock, s.clock, log::add);
            return node.start();
        });
        s.client("c", new SipDialect(), port);
        s.play("s1 has no more");
    }

    private void accept(NetSocket socket) {
        accepted++;
        if (accepted <= ends) {
            socket.closeHandler(v -> ended++);
            socket.write(STATE).onComplete(v -> socket.close());
        } else {
            kept = socket;
            socket.handler(new TrunkDialect().reader(heard::add)::accept);
        }
    }

    /** Leaves the connection open. The answer to its test shows that the gatekeeper has seen it come up. */
    private void acceptAndLeaveOpen(NetSocket socket) {
        accepted++;
        open.add(socket);
        socket.closeHandler(v -> open.remove(socket));
        socket.handler(new TrunkDialect().reader(message -> {
            if (message.equals(PING[1])) {
                answered++;
            } else {
                kept = socket;
                heard.add(message);
            }
        })::accept);
        socket.write(STATE);
        socket.write(new TrunkDialect().encode(PING[0]));
    }

    /**
     * Ends all open connections in order, which are {@code expected} in all so far, once they have rested. Each is closed here
     * when the gatekeeper, which has heard the end, has closed its side.
     */
    private void endIdle(int expected) {
        s.until(() -> answered == expected);
        s.play("wait 600");
        List<NetSocket> ended = s.on(() -> List.copyOf(open));
        s.on(() -> {
            ended.forEach(ReconnectsTest::shutdownOutput);
            return null;
        });
        // Not until none is open: others may have been opened in their place by then.
        s.until(() -> ended.stream().noneMatch(open::contains));
    }

    private static void shutdownOutput(NetSocket socket) {
        ((DuplexChannel) ((NetSocketInternal) socket).channelHandlerContext().channel()).shutdownOutput();
    }

    private static Endpoint endpoint(String id, int port, int place) {
        return new Endpoint(Sites.entry(id, place, Stage.HEALTHY, 0), new Address("127.0.0.1", port));
    }

    /** The loop turns many times: what is opened and ended without any time passing comes to its end. */
    private void turns() {
        turns("s1");
    }

    private void turns(String party) {
        s.play((party + " has no more\n").repeat(100));
    }

    /** Guards the loop and the server: without a delay some thousand connections are opened and ended in this time. */
    @ParameterizedTest
    @ValueSource(ints = {ORDERLY, RESET})
    void aServerThatSaysItsStateAndEndsEachConnectionIsNotConnectedToWithoutEnd(int linger) {
        start(linger);
        turns();
        assertThat(s.on(() -> accepted)).as("while no time passes").isBetween(1, 9);
        for (int i = 0; i < 100; i++) {
            s.play("wait 100\n s1 has no more");
        }
        turns();
        assertThat(s.on(() -> accepted)).as("in ten seconds").isBetween(5, 2 + 6 + 20);
    }

    /** Guards the ends of calls: a server is connected to again within half a second, or two where nothing was lost. */
    @ParameterizedTest
    @ValueSource(ints = {ORDERLY, RESET})
    void aReleaseThatComesOnTheNextConnectionIsToldHoweverManyWereEnded(int linger) {
        start(linger);
        for (int i = 0; i < 30; i++) {
            s.play("wait 500\n s1 has no more");
        }
        s.play("c > OPTIONS 77\n c < 200 OPTIONS 77");
        // The gatekeeper has heard the end of all before time passes: its wait begins with that.
        s.until(() -> {
            ends = ended == accepted ? accepted : ends;
            return ends == accepted;
        });
        turns();
        s.play("wait " + (linger == RESET ? 500 : 2000));
        s.until(() -> kept != null);
        s.on(() -> kept.write(new TrunkDialect().encode("release 0a 16")));
        s.play("c < BYE 0a 16\n c > 200 BYE 0a");
    }

    /** Guards set-ups: one that needs a connection gets it, though idle ones were ended again and again. */
    @Test
    void aSetUpOpensAConnectionAtOnceThoughIdleOnesWereEnded() {
        int three = s.await(() -> s.vertx.createNetServer().connectHandler(this::acceptAndLeaveOpen).listen(0, "127.0.0.1"))
            .actualPort();
        s.server("s1", new TrunkDialect());
        int port = s.await(() -> {
            node = new Node(s.vertx, new NodeConfig("n0", new Address("127.0.0.1", 0), 1, null, List.of(), null, null, 0,
                List.of(endpoint("s3", three, 0)), 64, Sites.settings()), s.clock, s.clock, log::add);
            return node.start();
        });
        s.client("c", new SipDialect(), port);
        // Two at first; each is opened again at once after the first ends, and one alone, after a wait, from then on.
        endIdle(2);
        endIdle(4);
        for (int opened = 5; opened <= 6; opened++) {
            s.play("wait 600");
            endIdle(opened);
        }
        turns("c");
        assertThat(s.on(() -> accepted)).as("the next one waits").isEqualTo(6);
        s.play("c > INVITE 01");
        s.until(() -> !heard.isEmpty());
        assertThat(heard.get(0)).startsWith("set-up 01");
        assertThat(s.on(() -> accepted)).isEqualTo(7);
        s.on(() -> kept.write(new TrunkDialect().encode("answer 01 desc")));
        s.play("c < 200 INVITE 01 desc\n c > BYE 01\n c < 200 BYE 01");
    }

    // ---- a reset in the moment in which its server cuts standing calls: s1 cuts, s2 would be next

    private void startTwo() {
        start(endpoint("s1", s.server("s1", new TrunkDialect()), 0), endpoint("s2", s.server("s2", new TrunkDialect()), 1));
        s.play("s2 has no more\n c > INVITE 01\n s1 < set-up 01*\n s1 > answer 01 desc\n c < 200 INVITE 01 desc\n"
            + "c > INVITE 02\n s1 < set-up 02*");
    }

    /** Guards against a second attempt under the id of a call that stood, its answer late, and was cut. */
    @Test
    void aSetUpThatIsResetJustAfterStandingCallsWereCutIsNotTriedAgain() {
        startTwo();
        s.play(
            "s1 > release 01 41\n s1 < released 01\n c < BYE 01 41\n s1 > release 02 41\n s1 < released 02\n c < 500 INVITE 02\n"
                + "wait 5000\n s2 has no more\n s1 > answer 02 late\n s1 < release 02 16");
    }

    @Test
    void aSetUpThatIsResetJustBeforeStandingCallsAreCutIsNotTriedAgain() {
        startTwo();
        s.play(
            "s1 > release 02 41\n s1 < released 02\n s1 > release 01 41\n s1 < released 01\n c < BYE 01 41\n c < 500 INVITE 02\n"
                + "wait 5000\n s2 has no more");
    }

    /** Guards against a second attempt for a call that is over: its answer is late, and its end overtook it. */
    @Test
    void aCallThatEndsBeforeItsAnswerIsHeardIsNotTriedAgain() {
        startTwo();
        s.play("s1 > release 02 16\n s1 < released 02\n c < 500 INVITE 02\n wait 5000\n s2 has no more\n s1 > answer 02 late\n"
            + "s1 < release 02 16\n c has no more\n c > BYE 01\n c < 200 BYE 01\n s1 < release 01 16");
    }

    /** A reset alone is tried again elsewhere once its release time is over. */
    @Test
    void aSetUpThatIsResetAloneIsTriedAgain() {
        startTwo();
        s.play(
            "s1 > release 02 41\n s1 < released 02\n wait 501\n s2 < set-up 02*\n s2 > answer 02 desc\n c < 200 INVITE 02 desc\n"
                + "c > BYE 02\n c < 200 BYE 02\n s2 < release 02 16\n c > BYE 01\n c < 200 BYE 01\n s1 < release 01 16");
    }
}
