package grebewick.diameter;

import static org.assertj.core.api.Assertions.assertThat;

import grebewick.config.Address;
import grebewick.core.Timers;
import grebewick.lifecycle.GracefulShutdown;
import grebewick.lifecycle.PendingWork;
import grebewick.play.Scenario;
import grebewick.play.Sites;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Gatekeeper n0 that is killed, told to end and started again between clients c, b and authorising peers p1 (first choice), p2.
 * Its lines: {@code n0 starts}, {@code n0 is killed}, {@code n0 is told to end}, {@code n0 has ended}.
 */
class DiameterRestartTest {
    private final Scenario s = new Scenario();
    private final List<String> log = new CopyOnWriteArrayList<>();
    private DiameterConfig.Peer p1;
    private DiameterConfig.Peer p2;
    private int port;
    private DiameterNode node;
    /** Of the process that runs: a timer of one that was killed never fires. */
    private boolean[] alive = {false};
    private boolean ended;
    private long reconnectUs = 1_000_000;

    @BeforeEach
    void start() {
        p1 = peer("p1", 0);
        p2 = peer("p2", 1);
        s.actor("n0", Map.of("starts", this::starts, "is killed", this::kill, "is told to end", this::terminate, "has ended",
            () -> s.until(() -> ended)));
        s.play("n0 starts");
        s.client("c", new DiameterDialect("c", 1), port);
        s.client("b", new DiameterDialect("b", 1), port);
        connects("p1");
        connects("p2");
        s.play("c > CER\n c < CEA 2001");
    }

    @AfterEach
    void close() {
        s.close();
    }

    private DiameterConfig.Peer peer(String host, int group) {
        return new DiameterConfig.Peer(host, new Address("127.0.0.1", s.server(host, new DiameterDialect(host, 1))), group, "z");
    }

    private void starts() {
        DiameterConfig config = new DiameterConfig(new Address("127.0.0.1", port), "gk", "realm", Set.of(), "a", 9_000_000,
            10_000_000, 0, reconnectUs, List.of(p1, p2), Sites.settings(), null);
        boolean[] life = {true};
        alive = life;
        ended = false;
        Timers timers = (us, task) -> s.clock.after(us, () -> {
            if (life[0]) {
                task.run();
            }
        });
        port = s.await(() -> {
            node = new DiameterNode(s.vertx, config, 1, s.clock, timers, log::add);
            return node.start();
        }).actualPort();
    }

    private void kill() {
        alive[0] = false;
        s.await(node::close);
        List.of("p1", "p2", "c", "b").forEach(s::quiet);
        s.untilFree(port);
    }

    private void terminate() {
        DiameterNode one = node;
        s.on(() -> {
            one.stop();
            long endUs = s.clock.nowUs() + 3_700_000;
            s.clock.after(700_000, () -> new GracefulShutdown(s.clock, s.clock, endUs,
                () -> new PendingWork(0, one.unanswered(), one.pendingTeardowns(), 0), one::activity, log::add, one::answerAll,
                () -> one.leave(400_000, () -> ended = true)).start());
            return null;
        });
    }

    private void connects(String peer) {
        s.play("%1$s < CER\n %1$s > CEA\n %1$s has no more".formatted(peer));
    }

    private void stands(String session) {
        s.play("c > AAR %1$s\n p1 < AAR %1$s\n p1 > AAA %1$s 2001\n c < AAA %1$s 2001".formatted(session));
    }

    private void isRestarted(int times) {
        for (int i = 0; i < times; i++) {
            s.play("n0 is killed\n n0 starts");
            connects("p1");
            connects("p2");
        }
    }

    private void nothingIsPending() {
        s.until(() -> node.pendingTeardowns() == 0 && node.calls() == 0);
    }

    /** Guards clients against sessions whose end by their server comes after a restart (review/7). */
    @ParameterizedTest
    @ValueSource(ints = {1, 3})
    void anEndByTheServerAfterARestartIsToldToItsClient(int restarts) {
        stands("c;1;1");
        isRestarted(restarts);
        s.play("""
            b > CER
            b < CEA 2001
            c > CER
            c < CEA 2001
            p1 > ASR c;1;1
            c < ASR c;1;1
            p1 has no more
            c > ASA c;1;1
            p1 < ASA c;1;1 2001
            p1 < STR c;1;1
            p1 > STA c;1;1
            c > STR c;1;1
            c < STA c;1;1 2001
            b has no more
            p2 has no more""");
        nothingIsPending();
        assertThat(s.on(() -> node.sessions())).isZero();
    }

    /** Guards servers against sessions whose end by their client comes after a restart. */
    @ParameterizedTest
    @ValueSource(ints = {1, 3})
    void anEndByTheClientAfterARestartIsToldToItsServer(int restarts) {
        stands("c;1;1");
        isRestarted(restarts);
        s.play("""
            c > CER
            c < CEA 2001
            c > STR c;1;1 without=293
            p1 < STR c;1;1
            p2 < STR c;1;1
            p2 > STA c;1;1 5002
            p2 has no more
            c has no more
            p1 > STA c;1;1 2001
            c < STA c;1;1 2001
            c > STR c;1;1
            c < STA c;1;1 5002
            p1 has no more
            p2 has no more""");
        nothingIsPending();
    }

    /** An answer that its server gives before its client is back would be the end of it in a process that is killed then. */
    @Test
    void anEndIsConfirmedToTheServerOnlyOnceTheClientIsBackAndHasHeard() {
        stands("c;1;1");
        isRestarted(1);
        s.play("p1 > ASR c;1;1\n p1 has no more");
        isRestarted(1);
        s.play("""
            p1 > ASR c;1;1
            p1 has no more
            p1 > ASR c;1;1
            p1 has no more
            wait 9500
            c > CER
            c < CEA 2001
            c < ASR c;1;1
            c > ASA c;1;1
            p1 < ASA c;1;1 2001
            p1 < STR c;1;1
            p1 < ASA c;1;1 2001
            p1 > STA c;1;1""");
        nothingIsPending();
    }

    /** The client is back first: its session ends as its server is, and the client is answered then. */
    @Test
    void anEndByTheClientWaitsForTheServerThatIsAway() {
        stands("c;1;1");
        s.play("n0 is killed\n p1 stops\n n0 starts");
        connects("p2");
        s.play("""
            c > CER
            c < CEA 2001
            c > STR c;1;1 without=293
            p2 < STR c;1;1
            p2 > STA c;1;1 5002
            p2 has no more
            c has no more
            p1 listens
            wait 1001
            p1 < CER
            p1 > CEA
            p1 < STR c;1;1
            p1 > STA c;1;1
            c < STA c;1;1 2001""");
        nothingIsPending();
    }

    /** The one that it names is asked first; of a session that nobody knows, and of one that waits, the client is told so. */
    @Test
    void whatBecomesOfAnEndThatNoServerConfirms() {
        s.play("""
            c > STR c;1;1 to=p2
            p2 < STR c;1;1
            p1 has no more
            p2 > STA c;1;1 5002
            p1 < STR c;1;1
            p1 > STA c;1;1 5002
            c < STA c;1;1 5002
            c > STR c;1;2 to=p1
            p1 < STR c;1;2
            wait 9000
            c < STA c;1;2 3002 E
            c > STR c;1;2 to=p1
            c has no more
            p1 > STA c;1;2
            c < STA c;1;2 2001
            p1 has no more
            p2 has no more""");
    }

    /** Guards sessions against those whose they are not, and servers against ends of sessions under ever new names. */
    @Test
    void noClientEndsAnothersSessionNorFloodsTheServersWithUnknownOnes() {
        s.play("b > CER\n b < CEA 2001\n b > STR c;1;1\n b < STA c;1;1 5002\n p1 has no more\n p2 has no more");
        int most = 2_048;
        int refused = 2_100;
        StringBuilder flood = new StringBuilder();
        for (int i = 0; i < most + refused; i++) {
            flood.append("c > STR c;2;").append(i).append(" to=p1\n");
        }
        s.play(flood.toString());
        for (int i = 0; i < refused; i++) {
            assertThat(s.next("c")).endsWith("3004 E");
        }
        s.play("c has no more\n b > STR b;1;1 to=p2\n p2 < STR b;1;1\n p2 > STA b;1;1\n b < STA b;1;1 2001");
    }

    /** A client ends so many sessions that nobody knows, each under a name that counts for 32. */
    private void endsUnder(String client, int first, int count) {
        for (int i = first; i < first + count; i++) {
            s.play(client + " > STR " + client + ";" + i + ";" + "x".repeat(8_000) + " to=p1");
        }
    }

    private String nextResult(String client) {
        String answer = s.next(client);
        return answer.substring(answer.lastIndexOf('x') + 2);
    }

    /** Guards the memory against ends of unknown sessions under long names, whose servers do not answer. */
    @Test
    void endsOfUnknownSessionsUnderLongNamesAreRefusedBeyondTheirBudget() {
        s.play("b > CER\n b < CEA 2001");
        endsUnder("c", 0, 64);
        s.play("c has no more");
        endsUnder("c", 64, 1);
        assertThat(nextResult("c")).as("more than its connection may ask").isEqualTo("3004 E");
        endsUnder("b", 0, 64);
        s.play("b has no more\n wait 8000");
        endsUnder("c", 65, 32);
        s.play("c has no more");
        endsUnder("b", 64, 32);
        assertThat(nextResult("b")).as("more than all may hold").isEqualTo("3002 E");
    }

    /** Guards against a session at two servers: the request that the killed process had out may have opened one. */
    @Test
    void whatAFormerProcessMayHaveOpenedForARepeatedRequestIsEnded() {
        s.play("c > AAR c;1;1\n p1 < AAR c;1;1");
        isRestarted(1);
        s.play("""
            c > CER
            c < CEA 2001
            c > AAR c;1;1 to=p2 flags=16
            p2 < AAR c;1;1 T
            p2 > AAA c;1;1 2001
            c < AAA c;1;1 2001
            p1 < STR c;1;1
            p1 > STA c;1;1
            p2 has no more
            c > STR c;1;1
            p2 < STR c;1;1
            p2 > STA c;1;1
            c < STA c;1;1 2001""");
        nothingIsPending();
    }

    /** Guards the ends that come while it goes: clients with open sessions stay until no server says anything more. */
    @Test
    void endsThatComeWhileItIsToldToEndArePassedOn() {
        stands("c;1;1");
        stands("c;1;2");
        stands("c;1;3");
        stands("c;1;4");
        s.play("""
            n0 is told to end
            c has no more
            p1 > ASR c;1;1
            c < ASR c;1;1
            c > ASA c;1;1
            p1 < ASA c;1;1 2001
            p1 < STR c;1;1
            p1 > STA c;1;1
            c > STR c;1;1
            c < STA c;1;1 2001
            c > STR c;1;2
            p1 < STR c;1;2
            p1 > STA c;1;2
            c < STA c;1;2 2001
            p1 has no more
            c has no more
            wait 800
            p1 < DPR
            p2 < DPR
            p1 > ASR c;1;3
            c < ASR c;1;3
            c > ASA c;1;3
            p1 < ASA c;1;3 2001
            p1 < STR c;1;3
            p1 > DPA
            p2 > DPA
            c has no more
            wait 10
            c < DPR
            c > DPA
            c sees the end
            wait 10
            n0 has ended""");
    }

    /** A client without sessions of this process may have some from before it: it stays for as long as servers may say so. */
    @Test
    void aClientStaysWhileAnotherOnesSessionKeepsTheServersConnected() {
        s.play("b > CER\n b < CEA 2001");
        stands("c;1;1");
        s.play("""
            n0 is told to end
            b has no more
            p1 > ASR b;1;1
            b < ASR b;1;1
            b > ASA b;1;1
            p1 < ASA b;1;1 2001
            p1 < STR b;1;1
            p1 > STA b;1;1
            b has no more
            c > STR c;1;1
            p1 < STR c;1;1
            p1 > STA c;1;1
            c < STA c;1;1 2001
            b < DPR
            c < DPR""");
    }

    /** Guards ends against a process that has no client left to tell: its servers keep them for the next one. */
    @Test
    void itTakesLeaveOfItsServersOnceItHasNoClient() {
        s.play("n0 is told to end\n c < DPR\n c > DPA\n c sees the end").until(() -> !node.hasClients());
        s.play("wait 10\n p1 < DPR\n p2 < DPR");
    }

    /** Guards a session against an end that reaches nobody: it stands on, and its client may end it through the next process. */
    @Test
    void anEndByTheClientThatCannotReachItsServerAnyMoreIsRefused() {
        stands("c;1;1");
        s.play("n0 is told to end\n p1 closes").until(() -> log.stream().anyMatch(line -> line.contains("p1 OKAY -> DOWN")));
        s.play("c > STR c;1;1\n c < STA c;1;1 3002 E");
        s.play("n0 is killed\n n0 starts");
        connects("p1");
        connects("p2");
        s.play("""
            c > CER
            c < CEA 2001
            c > STR c;1;1
            p1 < STR c;1;1
            p1 > STA c;1;1
            c < STA c;1;1 2001""");
    }

    /** Guards clients against the end of a session that a killed process has confirmed, and kept for the client's return. */
    @Test
    void anEndByTheServerIsConfirmedOnlyOnceTheClientHasHeard() {
        stands("c;1;1");
        s.play("c closes").until(() -> !node.hasClients());
        s.play("p1 > ASR c;1;1\n p1 has no more");
        isRestarted(1);
        s.play("""
            p1 > ASR c;1;1
            c > CER
            c < CEA 2001
            c < ASR c;1;1
            p1 has no more
            c > ASA c;1;1
            p1 < ASA c;1;1 2001
            p1 < STR c;1;1
            p1 > STA c;1;1""");
        nothingIsPending();
    }

    /** Guards servers against the end of a session that a killed process has confirmed, and kept for the server's return. */
    @Test
    void anEndByTheClientIsConfirmedOnlyOnceTheServerHasHeard() {
        stands("c;1;1");
        s.play("p1 closes").until(() -> log.stream().anyMatch(line -> line.contains("p1 OKAY -> DOWN")));
        s.play("c > STR c;1;1\n c has no more");
        isRestarted(1);
        s.play("""
            c > CER
            c < CEA 2001
            c > STR c;1;1
            p1 < STR c;1;1
            c has no more
            p1 > STA c;1;1
            c < STA c;1;1 2001""");
        nothingIsPending();
    }

    /** A client whose server stays away is answered in time, may ask again, and its server hears of the end once. */
    @Test
    void anEndByTheClientThatWaitsForItsServerIsAnsweredInTimeAndMayBeRepeated() {
        stands("c;1;1");
        s.play("p1 stops").until(() -> log.stream().anyMatch(line -> line.contains("p1 OKAY -> DOWN")));
        s.play("""
            c > STR c;1;1
            c has no more
            wait 9000
            c < STA c;1;1 3002 E
            c > STR c;1;1
            c > STR c;1;1
            c has no more
            p1 listens
            wait 1000
            p1 < CER
            p1 > CEA
            p1 < STR c;1;1
            p1 > STA c;1;1
            c < STA c;1;1 2001
            c < STA c;1;1 2001
            c > STR c;1;1
            c < STA c;1;1 5002""");
        nothingIsPending();
    }

    /** Guards a server that says an end again against waiting for an answer that its client has given already. */
    @Test
    void anEndThatIsSaidAgainIsAnsweredAlsoAfterTheClientHasHeard() {
        stands("c;1;1");
        isRestarted(1);
        s.play("""
            c > CER
            c < CEA 2001
            p1 > ASR c;1;1
            c < ASR c;1;1
            c > ASA c;1;1
            p1 < ASA c;1;1 2001
            p1 < STR c;1;1
            p1 > STA c;1;1
            p1 > ASR c;1;1
            p1 < ASA c;1;1 5002""");
    }

    /** A process that ends answers who waits for a server that is away: its client may end the session through the next one. */
    @Test
    void anEndThatWaitsForItsServerIsAnsweredAsTheProcessEnds() {
        stands("c;1;1");
        s.play("p1 stops").until(() -> log.stream().anyMatch(line -> line.contains("p1 OKAY -> DOWN")));
        s.play("c > STR c;1;1\n c has no more\n n0 is told to end\n wait 3400\n c has no more\n wait 200\n c < STA c;1;1 3002 E");
    }

    private void isTriedInVain(int times) {
        s.until(
            () -> log.stream().filter(line -> line.contains("connect-failed") && line.contains("server=p1")).count() >= times);
    }

    /** Guards ends against waiting for the delay of servers that stay away: this one is back a moment after the process. */
    @Test
    void aServerThatIsBackAfterTheProcessIsConnectedToWithinTwoSeconds() {
        reconnectUs = 30_000_000;
        stands("c;1;1");
        s.play("n0 is killed\n p1 stops\n n0 starts");
        connects("p2");
        s.play("c > CER\n c < CEA 2001");
        for (int tries = 1; tries <= 3; tries++) {
            isTriedInVain(tries);
            s.play("wait " + (tries < 3 ? 2_000 : 0));
        }
        s.play("""
            p1 listens
            wait 2000
            p1 < CER
            p1 > CEA
            p1 > ASR c;1;1
            c < ASR c;1;1
            c > ASA c;1;1
            p1 < ASA c;1;1 2001
            p1 < STR c;1;1
            p1 > STA c;1;1""");
        nothingIsPending();
    }

    /** Guards ends against a server that takes the connection and then says nothing: another one is tried. */
    @Test
    void aConnectionWhoseCapabilitiesAreNotAnsweredIsGivenUpInTime() {
        reconnectUs = 30_000_000;
        stands("c;1;1");
        s.play("n0 is killed\n n0 starts");
        connects("p2");
        s.play("""
            p1 < CER
            wait 5000
            p1 sees the end
            wait 100
            p1 < CER
            p1 > CEA
            p1 has no more""");
    }

    /** Guards against a session that is open for nobody: the killed process had it opened, and its repeat is refused. */
    @ParameterizedTest
    @ValueSource(strings = {"p2 > AAA c;1;1 5003\n c < AAA c;1;1 5003",
        "c > STR c;1;1\n c < AAA c;1;1 3002 E\n c < STA c;1;1 2001"})
    void whatAFormerProcessMayHaveOpenedForARequestThatIsRefusedIsEnded(String refused) {
        s.play("c > AAR c;1;1\n p1 < AAR c;1;1");
        isRestarted(1);
        s.play("c > CER\n c < CEA 2001\n c > AAR c;1;1 to=p2 flags=16\n p2 < AAR c;1;1 T");
        s.play(refused);
        s.play("p1 < STR c;1;1\n p1 > STA c;1;1\n p2 < STR c;1;1\n p2 > STA c;1;1 5002");
    }

    /** A process that has run for long knows of all that its clients repeat. */
    @Test
    void aRepeatThatIsRefusedLongAfterTheStartEndsNothing() {
        for (int i = 0; i < 6; i++) {
            s.play("wait 10000\n c < DWR\n c > DWA\n p1 < DWR\n p1 > DWA\n p2 < DWR\n p2 > DWA");
            s.play("c has no more\n p1 has no more\n p2 has no more");
        }
        s.play("c > AAR c;1;1 flags=16\n p1 < AAR c;1;1 T\n p1 > AAA c;1;1 5003\n c < AAA c;1;1 5003");
        s.play("p1 has no more\n p2 has no more");
    }

    /** Guards against a session that is open for nobody: its answer is lost with the connection, and its client asks again. */
    @Test
    void aClientThatAsksAgainForAnOpenSessionIsGivenItsAnswer() {
        stands("c;1;1");
        s.play("c closes").until(() -> !node.hasClients());
        s.play("""
            c > CER
            c < CEA 2001
            c > AAR c;1;1 flags=16 e2e=77
            c < AAA c;1;1 2001
            c > AAR c;1;1 e2e=78
            c < AAA c;1;1 5012
            p1 has no more
            c > STR c;1;1
            p1 < STR c;1;1
            p1 > STA c;1;1
            c < STA c;1;1 2001""");
    }
}
