package grebewick;

import static org.assertj.core.api.Assertions.assertThat;

import grebewick.config.Address;
import grebewick.config.Endpoint;
import grebewick.config.NodeConfig;
import grebewick.core.CallControl.Stage;
import grebewick.lifecycle.GracefulShutdown;
import grebewick.play.Scenario;
import grebewick.play.Sites;
import grebewick.sip.SipDialect;
import grebewick.trunk.TrunkDialect;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A call stands at server s1, which falls silent; its connections stay open, and the list goes on naming it. */
@Timeout(100)
class VanishedServerTest {
    private static final int STEP_MS = 100;
    /** ms. A cut that a call at a server is to outlast, and by when its caller hears that it is over. */
    private static final int ALLOWED_CUT_MS = 6_000;
    private static final int TOLD_WITHIN_MS = 8_000;

    private final Scenario s = new Scenario();
    private final List<String> log = new CopyOnWriteArrayList<>();
    private Node node;

    @BeforeEach
    void aCallStandsAtTheFirstServer() {
        Endpoint one = endpoint("s1", s.server("s1", new TrunkDialect()), 0);
        Endpoint two = endpoint("s2", s.server("s2", new TrunkDialect()), 1);
        String settings = Sites.SETTINGS.replace("\"AttemptsCap\":4", "\"AttemptsCap\":4,\"Probes\":true");
        int port = s.await(() -> {
            node = new Node(s.vertx, new NodeConfig("n0", new Address("127.0.0.1", 0), 1, null, List.of(), null, null, 0,
                List.of(one, two), 64, Sites.settings(settings)), s.clock, s.clock, log::add);
            return node.start();
        });
        s.client("c", new SipDialect(), port);
        s.play("s1 reached 2\n s2 has no more\n c > INVITE 01\n s1 < set-up 01*\n s1 > answer 01 desc\n c < 200 INVITE 01 desc");
    }

    @AfterEach
    void end() {
        s.close();
    }

    private static Endpoint endpoint(String id, int port, int place) {
        return new Endpoint(Sites.entry(id, place, Stage.HEALTHY, 0), new Address("127.0.0.1", port));
    }

    /** Time passes, and whoever answers by itself is heard in between; nothing comes to the caller. */
    private void passes(int ms) {
        for (int passed = 0; passed < ms; passed += STEP_MS) {
            s.play("wait " + STEP_MS + "\n c > OPTIONS 77\n c < 200 OPTIONS 77\n s2 has no more");
        }
    }

    @Test
    void itsCallerIsToldInTime() {
        s.play("s1 hangs");
        passes(ALLOWED_CUT_MS);
        s.play("wait " + (TOLD_WITHIN_MS - ALLOWED_CUT_MS) + "\n c < BYE 01 41\n c > 200 BYE 01");
        s.until(() -> node.calls() == 0);
    }

    /** Nobody else could tell it later: the process that comes after this one does not know the call. */
    @Test
    void aGatekeeperThatEndsTellsItBefore() {
        s.play("s1 hangs");
        passes(1_500);
        boolean[] ended = {false};
        s.on(() -> {
            new GracefulShutdown(s.clock, s.clock, s.clock.nowUs() + 1_000_000, node::pendingWork, node::activity, log::add,
                node::lastWords, () -> ended[0] = true).start();
            return null;
        });
        s.play("wait 900\n c < BYE 01 41\n c > 200 BYE 01\n c has no more\n wait 200");
        s.until(() -> ended[0]);
    }

    @Test
    void aCallAtAServerThatAnswersStands() {
        passes(3 * TOLD_WITHIN_MS);
        assertThat(s.on(() -> node.calls())).isEqualTo(1);
        s.play("c > BYE 01\n c < 200 BYE 01\n s1 < release 01 16");
    }

    @Test
    void aCallAtAServerThatIsBackInTimeStands() {
        passes(1_000);
        s.play("s1 hangs");
        passes(ALLOWED_CUT_MS);
        s.play("s1 goes on");
        passes(2 * TOLD_WITHIN_MS);
        s.play("c > BYE 01\n c < 200 BYE 01\n s1 < release 01 16");
    }
}
