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
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** A set-up is out at server s1 as the list changes, and its answer is on its way. Server s2 is listed throughout. */
class UnlistedServerTest {
    private static final int SOCKETS = 64;
    private static final int STEP_MS = 100;
    private static final int TOLD_WITHIN_MS = 8_000;

    private final Scenario s = new Scenario();
    private final List<String> log = new CopyOnWriteArrayList<>();
    private Node node;
    private Endpoint one;
    private Endpoint two;

    @BeforeEach
    void aSetUpIsOutAtTheFirstServer() {
        one = endpoint("s1", s.server("s1", new TrunkDialect()), 0, 0);
        two = endpoint("s2", s.server("s2", new TrunkDialect()), 1, 0);
        String settings = Sites.SETTINGS.replace("\"AttemptsCap\":4", "\"AttemptsCap\":4,\"Probes\":true");
        int port = s.await(() -> {
            node = new Node(s.vertx, new NodeConfig("n0", new Address("127.0.0.1", 0), 1, null, List.of(), null, null, 0,
                List.of(one, two), SOCKETS, Sites.settings(settings)), s.clock, s.clock, log::add);
            return node.start();
        });
        s.client("c", new SipDialect(), port);
        s.play("s1 reached 2\n s2 has no more\n c > INVITE 01\n s1 < set-up 01*");
    }

    @AfterEach
    void noCallIsLeft() {
        s.until(() -> node.calls() == 0);
        s.close();
    }

    private static Endpoint endpoint(String id, int port, int place, long startedAtUs) {
        return new Endpoint(Sites.entry(id, place, Stage.HEALTHY, startedAtUs), new Address("127.0.0.1", port));
    }

    private void list(Endpoint... now) {
        s.on(() -> {
            node.tell(Scope.COMPLETE, List.of(now));
            return null;
        });
    }

    @Test
    void aCallAnsweredAfterItsServerLeftTheListIsReleasedOnBothSides() {
        list(two);
        s.play("""
            s1 > answer 01 desc
            c < 200 INVITE 01 desc
            c < BYE 01 41
            c > 200 BYE 01
            s1 < release 01 16
            c has no more""");
        assertThat(log).anyMatch(line -> line.startsWith("late-answer") && line.contains("server-gone-from-list"));
    }

    @Test
    void aCallAnsweredAfterItsServerIsListedAgainEndsWithTheLeaseOfItsProcess() {
        list(two);
        list(one, two);
        s.play("s1 > answer 01 desc\n c < 200 INVITE 01 desc\n c has no more\n s1 hangs");
        for (int passed = 0; passed < TOLD_WITHIN_MS; passed += STEP_MS) {
            s.play("wait " + STEP_MS + "\n s2 has no more");
        }
        s.play("c < BYE 01 41\n c > 200 BYE 01");
    }

    @Test
    void aCallAnsweredAfterTheNewsThatItsServerStartedAnewIsReleasedOnBothSides() {
        list(startedAt(s.clock.nowUs()), two);
        s.play("""
            s1 > answer 01 desc
            c < 200 INVITE 01 desc
            c < BYE 01 41
            c > 200 BYE 01
            s1 < release 01 16
            c has no more""");
    }

    /** A late loop reads the answer after the start that the list tells of. */
    @Test
    void aCallOfAProcessBeforeTheStartIsReleasedThoughItsAnswerWasReadAfterThat() {
        long startedAtUs = s.clock.nowUs() + 10_000;
        s.play("wait 100\n s1 > answer 01 desc\n c < 200 INVITE 01 desc");
        list(startedAt(startedAtUs), two);
        s.play("c < BYE 01 41\n c > 200 BYE 01\n s1 < release 01 16\n c has no more");
    }

    private Endpoint startedAt(long us) {
        return endpoint("s1", one.address().port(), 0, us);
    }
}
