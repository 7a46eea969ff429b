package grebewick;

import static org.assertj.core.api.Assertions.assertThat;

import grebewick.config.Address;
import grebewick.config.Endpoint;
import grebewick.config.NodeConfig;
import grebewick.core.CallControl.Stage;
import grebewick.core.Timers;
import grebewick.lifecycle.GracefulShutdown;
import grebewick.lifecycle.PendingWork;
import grebewick.play.Scenario;
import grebewick.play.Sites;
import grebewick.sip.SipDialect;
import grebewick.trunk.TrunkDialect;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Gatekeeper n0 that is killed, told to end and started again between callers c, d and servers s1 (first
 * choice), s2. Its lines: {@code n0 starts}, {@code n0 starts beside a draining s2}, {@code n0 is killed},
 * {@code n0 is told to end}, {@code n0 has ended}.
 */
class RestartTest {
    private final Scenario s = new Scenario();
    private final List<String> log = new CopyOnWriteArrayList<>();
    private int ports1;
    private int ports2;
    private int port;
    private Node node;
    /** Of the process that runs: a timer of one that was killed never fires. */
    private boolean[] alive = {false};
    private boolean ended;

    @BeforeEach
    void start() {
        ports1 = s.server("s1", new TrunkDialect());
        ports2 = s.server("s2", new TrunkDialect());
        s.actor("n0", Map.of("starts", () -> starts(Stage.HEALTHY), "starts beside a draining s2", () -> starts(Stage.DRAINING),
            "is killed", this::kill, "is told to end", this::terminate, "has ended", () -> s.until(() -> ended)));
        s.play("n0 starts");
        s.client("c", new SipDialect(), port);
        s.client("d", new SipDialect(), port);
        s.play("s1 reached 2\n s2 reached 2");
    }

    @AfterEach
    void close() {
        s.close();
    }

    private void starts(Stage second) {
        List<Endpoint> known = List.of(
            new Endpoint(Sites.entry("s1", 0, Stage.HEALTHY, 0), new Address("127.0.0.1", ports1)),
            new Endpoint(Sites.entry("s2", 1, second, 0), new Address("127.0.0.1", ports2)));
        NodeConfig config = new NodeConfig("n0", new Address("127.0.0.1", port), 1, null, List.of(), null, null, 0, known,
            64, Sites.settings());
        boolean[] life = {true};
        alive = life;
        ended = false;
        Timers timers = (us, task) -> s.clock.after(us, () -> {
            if (life[0]) {
                task.run();
            }
        });
        port = s.await(() -> {
            node = new Node(s.vertx, config, s.clock, timers, log::add);
            return node.start();
        });
    }

    private void kill() {
        alive[0] = false;
        s.await(node::close);
        List.of("s1", "s2", "c", "d").forEach(s::quiet);
        s.untilFree(port);
    }

    private void terminate() {
        Node one = node;
        s.on(() -> {
            one.failTests();
            long endUs = s.clock.nowUs() + 3_700_000;
            s.clock.after(700_000, () -> {
                one.refuseCalls();
                new GracefulShutdown(s.clock, s.clock, endUs, one::pendingWork, one::activity, log::add, one::lastWords,
                    () -> ended = true).start();
            });
            return null;
        });
    }

    private void stands(String call, String caller) {
        s.play("%2$s > INVITE %1$s\n s1 < set-up %1$s*\n s1 > answer %1$s desc\n %2$s < 200 INVITE %1$s desc"
            .formatted(call, caller));
    }

    /** A server's death cuts them all, slice by slice, and new calls are served in between. */
    @Test
    void fiveHundredEndsAtOnceAreAllToldAndNewCallsComeBetween() {
        for (int i = 1; i <= 500; i++) {
            stands("%02x".formatted(i), "c");
        }
        s.play("""
            s1 stops
            d > INVITE fff1
            s2 < set-up fff1*""");
        assertThat(s.on(() -> node.pendingWork().standing())).as("not all are ended by then").isPositive();
        s.play("""
            s2 > answer fff1 desc
            d < 200 INVITE fff1 desc
            wait 40""");
        for (int i = 1; i <= 500; i++) {
            s.play("c < BYE %1$02x 41\n c > 200 BYE %1$02x".formatted(i));
        }
        s.play("c has no more\n wait 400\n c has no more\n d > BYE fff1\n d < 200 BYE fff1\n s2 < release fff1 16");
        assertThat(s.on(() -> node.pendingWork())).isEqualTo(PendingWork.NONE);
    }

    @Test
    void toldToEndItStaysForCallsThatStandAndForEndsThatAreNotHeard() {
        stands("01", "c");
        stands("02", "c");
        s.play("""
            n0 is told to end
            wait 700
            c > INVITE 03
            c < 503 INVITE 03 retry=1
            s1 > release 01 16
            s1 < released 01
            c < BYE 01 16
            c > 200 BYE 01
            wait 100
            c > BYE 02
            c < 200 BYE 02
            s1 < release 02 16
            s1 has no more""");
        assertThat(ended).isFalse();
        s.play("wait 100\n n0 has ended");
        assertThat(log).contains("ends: nothing is owed");
    }

    @Test
    void itsTimeIsUpAndWhatItLeavesBehindIsOneLine() {
        stands("01", "c");
        stands("02", "c");
        s.play("""
            s1 > release 02 16
            s1 < released 02
            c < BYE 02 16
            n0 is told to end
            wait 600
            c < BYE 02 16
            wait 500
            c < BYE 02 16
            wait 900
            s1 has no more
            wait 900
            s1 has no more
            wait 900
            n0 has ended""");
        assertThat(log)
            .contains("ends: its time is up; left behind: 1 calls standing, 0 unanswered, 0 ends untold, 0 bytes unwritten");
        s.play("s1 > release 01 16\n s1 < released 01\n c < BYE 01 16");
    }

    /** Guards requests whose deadline is longer than the time that the process has: they are answered before it goes. */
    @Test
    void whoStillWaitsWhenItsTimeIsUpIsAnswered() {
        s.play("""
            n0 is told to end
            wait 600
            c > INVITE 01
            s1 < set-up 01*
            wait 1301
            s1 < release 01 16
            wait 500
            s2 < set-up 01*
            wait 1100
            c < 500 INVITE 01
            s2 < release 01 16
            wait 200
            n0 has ended""");
        assertThat(log).contains("ends: nothing is owed");
    }

    /** Calls stand for no process: after a kill their releases come to the next one, on whatever connection. */
    @Test
    void afterAKillTheReleasesOfCallsFromBeforeAreToldOnce() {
        stands("01", "c");
        stands("02", "c");
        stands("03", "c");
        s.play("""
            n0 is killed
            n0 starts
            c > OPTIONS 77
            c < 200 OPTIONS 77
            s1 > release 01 16
            s1 < released 01
            c < BYE 01 16
            c > 200 BYE 01
            s1 > release 01 16
            s1 < released 01
            c has no more
            c > BYE 02
            c < 200 BYE 02
            s1 < release 02 16
            s2 < release 02 16
            c closes
            s1 > release 03 41
            s1 < released 03
            d > OPTIONS 78
            d < BYE 03 41
            d < 200 OPTIONS 78
            d > 200 BYE 03
            d > OPTIONS 79
            d < 200 OPTIONS 79
            wait 500
            d has no more""");
    }

    /** A restart while the only other server drains: nothing new goes there, and what can't be served is told at once. */
    @Test
    void aRestartBesideADrainingServerServesOnTheOneThatIsLeft() {
        stands("01", "c");
        s.play("""
            n0 is killed
            n0 starts beside a draining s2
            s1 reached 4
            c > INVITE 02
            s1 < set-up 02*
            s1 > answer 02 desc
            c < 200 INVITE 02 desc
            s1 > release 01 16
            s1 < released 01
            c < BYE 01 16
            s2 has no more""");
    }
}
