package grebewick;

import static org.assertj.core.api.Assertions.assertThat;

import grebewick.config.Address;
import grebewick.config.Endpoint;
import grebewick.config.NodeConfig;
import grebewick.core.CallControl.Fleet;
import grebewick.core.CallControl.Scope;
import grebewick.core.CallControl.Stage;
import grebewick.core.Gatekeeper;
import grebewick.core.ListConfirmation;
import grebewick.lab.StandInNames;
import grebewick.play.Scenario;
import grebewick.play.Sites;
import grebewick.sip.SipDialect;
import grebewick.trunk.Trunk;
import grebewick.trunk.TrunkDialect;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The name service says nothing: what it told of servers s1 (first choice) and s2 holds for 7 s and the grace of drains. */
class ListLeaseTest {
    private static final int SOCKETS = 64;
    private static final int TOLD_MS = 7_000;
    private static final int GRACE_MS = 2_000;
    private static final int TERM_MS = TOLD_MS + GRACE_MS;

    private final Scenario s = new Scenario();
    private final List<String> log = new CopyOnWriteArrayList<>();
    private final StandInNames names = s.on(() -> new StandInNames(s.vertx));
    private Node node;
    private int callersPort;

    @AfterEach
    void close() {
        s.close();
    }

    /** Starts a gatekeeper beside a silent name service. */
    private void start(int graceMs) {
        start(graceMs, new Address("127.0.0.1", s.await(names::listen)));
    }

    private void start(int graceMs, Address nameService) {
        Endpoint one = endpoint("s1", s.server("s1", new TrunkDialect()), 0);
        Endpoint two = endpoint("s2", s.server("s2", new TrunkDialect()), 1);
        String settings = Sites.SETTINGS.replace("\"DrainGrace\":2000000", "\"DrainGrace\":" + graceMs * 1_000);
        callersPort = s.await(() -> {
            names.list(List.of(host(one), host(two)));
            names.silent(true);
            node = new Node(s.vertx, new NodeConfig("n0", new Address("127.0.0.1", 0), 1, null, List.of(), null, nameService, 2,
                List.of(one, two), SOCKETS, Sites.settings(settings)), s.clock, s.clock, log::add);
            return node.start();
        });
        s.client("c", new SipDialect(), callersPort);
        s.play("s1 reached 2\n s2 reached 2\n s1 has no more\n s2 has no more");
    }

    private static Endpoint endpoint(String id, int port, int place) {
        return new Endpoint(Sites.entry(id, place, Stage.HEALTHY, 0), new Address("127.0.0.1", port));
    }

    private static StandInNames.Host host(Endpoint server) {
        return new StandInNames.Host(server.entry().server(), "z", server.address().port(), server.entry().placeNo(), false, 0);
    }

    private void nameServiceAnswers() {
        s.on(() -> {
            names.silent(false);
            return null;
        });
        s.play("wait 100");
    }

    private void nameServiceIsSilent() {
        s.on(() -> {
            names.silent(true);
            return null;
        });
    }

    private long logged(String state) {
        return log.stream().filter(line -> line.startsWith("server-list ") && line.contains(" state=" + state + " ")).count();
    }

    /** Guards against set-ups to a server that drains while the name service says nothing, from its start on. */
    @ParameterizedTest
    @ValueSource(ints = {500, 2_000})
    void aServerGetsNothingOnceADrainNotHeardHasHadItsGrace(int graceMs) {
        start(graceMs);
        int almost = TOLD_MS + graceMs - 10;
        s.play("wait " + almost + """

            c > INVITE 01
            s1 < set-up 01*
            s1 > answer 01 desc
            c < 200 INVITE 01 desc
            wait 10
            c > INVITE 02
            s1 has no more
            s2 has no more
            c has no more""");
        nameServiceAnswers();
        s.play("s1 < set-up 02*\n s1 > answer 02 desc\n c < 200 INVITE 02 desc\n c > BYE 01\n c > BYE 02");
    }

    /** Guards against calls refused or kept waiting once the name service answers again. */
    @Test
    void callsThatWaitedGoOutWithTheFirstGoodAnswer() {
        start(GRACE_MS);
        s.play("wait " + TERM_MS + """

            c > INVITE 01
            c has no more
            wait 2500
            c > INVITE 02 attrs=dest:1;width:1;via:-1
            c has no more
            wait 1000
            c has no more
            s1 has no more""");
        nameServiceAnswers();
        s.play("s1 < set-up 01*\n s1 > answer 01 desc\n c < 200 INVITE 01 desc\n s2 < set-up 02*\n s2 > answer 02 desc\n"
            + "c < 200 INVITE 02 desc\n c > BYE 01\n c > BYE 02");
    }

    /** Guards against callers left without an answer while readiness has run out. */
    @Test
    void aCallThatWaitsIsRefusedBeforeItsCallerGivesUp() {
        start(GRACE_MS);
        s.play("wait " + TERM_MS + """

            c > INVITE 01 deadline=1500
            c has no more
            wait 1400
            c has no more
            wait 90
            c < 503 INVITE 01 retry=1
            s1 has no more
            s2 has no more""");
    }

    /** Guards against calls that are cut because their server is not confirmed. */
    @Test
    void aCallThatStandsIsLeftAloneAndEndsAsEver() {
        start(GRACE_MS);
        s.play(
            "c > INVITE 01\n s1 < set-up 01*\n s1 > answer 01 desc\n c < 200 INVITE 01 desc\n c > INVITE 02\n s1 < set-up 02*\n"
                + "s1 > answer 02 desc\n c < 200 INVITE 02 desc");
        for (int passed = 0; passed < 2 * TERM_MS; passed += GRACE_MS) {
            s.play("wait " + GRACE_MS + "\n c has no more");
        }
        s.play("c > BYE 01\n c < 200 BYE 01\n s1 < release 01 16\n s1 > release 02 16\n s1 < released 02\n c < BYE 02 16");
    }

    /** Guards the rule for further attempts of a call as well as for its first. */
    @Test
    void aRetryWaitsUntilItsServerIsConfirmed() {
        start(GRACE_MS);
        s.play("wait " + (TERM_MS - 10) + """

            c > INVITE 01
            s1 < set-up 01*
            wait 10
            s1 > release 01 34 cpu_full
            s1 < released 01
            s2 has no more
            wait 900
            c has no more
            s2 has no more""");
        nameServiceAnswers();
        s.play("s2 < set-up 01*\n s2 > answer 01 desc\n c < 200 INVITE 01 desc\n c > BYE 01");
    }

    /** Guards the second silence as well as the first, and operators who are told of neither. */
    @Test
    void eachSilenceEndsReadinessAndTheLogSaysSoOnce() {
        start(GRACE_MS);
        for (int silence = 1; silence <= 2; silence++) {
            s.play("wait " + (TERM_MS + 1_000));
            assertThat(logged("unconfirmed")).isEqualTo(silence);
            assertThat(logged("expired")).isEqualTo(silence);
            assertThat(logged("confirmed")).isEqualTo(silence - 1);
            s.client("caller", new SipDialect(), callersPort);
            s.play("caller > INVITE 0" + silence + "\n caller has no more\n s1 has no more\n s2 has no more");
            nameServiceAnswers();
            s.play("s1 < set-up 0" + silence + "*\n s1 > answer 0" + silence + " desc\n caller < 200 INVITE 0" + silence
                + " desc\n caller > BYE 0" + silence + "\n caller < 200 BYE 0" + silence + "\n s1 < release 0" + silence + " 16");
            assertThat(logged("confirmed")).isEqualTo(silence);
            nameServiceIsSilent();
        }
    }

    /** Guards services that ask for no list. */
    @Test
    void whereNoListIsAskedForNothingRunsOut() {
        start(GRACE_MS, null);
        s.play("wait 60000\n c > INVITE 01\n s1 < set-up 01*\n s1 > answer 01 desc\n c < 200 INVITE 01 desc\n c > BYE 01");
        assertThat(log).noneMatch(line -> line.startsWith("server-list "));
    }

    /** One that has a server in a list that has just been confirmed; on the event loop. */
    private Trunk trunkTo(ServerSocket server) {
        Trunk trunk = new Trunk(s.vertx, Sites.settings(), 2, new Random(1), s.clock, s.clock, log::add);
        Gatekeeper<byte[]> core = new Gatekeeper<>(Sites.settings(), (now, event, out) -> {}, s.clock, s.clock, trunk,
            (peer, bytes) -> {}, log::add);
        trunk.attach(core);
        Endpoint listed = endpoint(StuckConnection.SERVER, server.getLocalPort(), 0);
        trunk.list(List.of(listed));
        core.fleet(new Fleet(Scope.COMPLETE, 1, List.of(listed.entry())), Map.of());
        core.confirmed(ListConfirmation.ofWholeList(s.clock.nowUs()));
        return trunk;
    }

    /** Guards the first byte of a set-up that waited for its connection until its server's readiness had run out. */
    @Test
    void aSetUpThatWaitsForItsConnectionDoesNotLeaveOnceReadinessHasRunOut() throws IOException {
        try (ServerSocket server = new ServerSocket(0, 8, InetAddress.getByName("127.0.0.1"))) {
            Trunk trunk = s.on(() -> {
                s.clock.late(true);
                Trunk made = trunkTo(server);
                StuckConnection.setUp(made, 1);
                return made;
            });
            try (Socket socket = StuckConnection.accepted(server)) {
                s.until(() -> log.stream().anyMatch(line -> line.startsWith("connection-opened")));
                s.on(() -> {
                    s.clock.pass(TERM_MS * 1_000L);
                    s.clock.late(false);
                    trunk.release(1, StuckConnection.SERVER);
                    return trunk.close();
                });
                assertThat(socket.getInputStream().readAllBytes().length).isLessThan(StuckConnection.DESCRIPTION);
            }
        }
    }

    /** Guards against bytes of a set-up that leave after the readiness of its server has run out. */
    @Test
    void aSetUpWhoseBytesAreStuckAsReadinessRunsOutDoesNotReachItsServer() throws IOException {
        try (ServerSocket server = new ServerSocket(0, 8, InetAddress.getByName("127.0.0.1"))) {
            Trunk trunk = s.on(() -> trunkTo(server));
            try (Socket socket = StuckConnection.accepted(server)) {
                int sent = s.on(() -> {
                    int last = StuckConnection.fill(trunk);
                    s.clock.pass(TERM_MS * 1_000L);
                    assertThat(trunk.unwritten()).isZero();
                    return last;
                });
                int whole = socket.getInputStream().readAllBytes().length / StuckConnection.DESCRIPTION;
                assertThat(whole).isPositive().isLessThan(sent);
            }
        }
    }
}
