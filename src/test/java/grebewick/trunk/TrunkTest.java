package grebewick.trunk;

import static org.assertj.core.api.Assertions.assertThat;

import grebewick.config.Address;
import grebewick.config.Endpoint;
import grebewick.core.CallControl.Stage;
import grebewick.core.Gatekeeper;
import grebewick.core.Offer;
import grebewick.play.Scenario;
import grebewick.play.Sites;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** What leaves for a server that takes nothing. */
class TrunkTest {
    private static final int DESCRIPTION = 15_000;
    private final Scenario s = new Scenario();

    @AfterEach
    void end() {
        s.close();
    }

    private static Endpoint at(int port, Stage stage) {
        return new Endpoint(Sites.entry("s1", 0, stage, 0), new Address("127.0.0.1", port));
    }

    /** Guards the rule on drains: the first byte of a set-up counts, not the moment of the choice. */
    @Test
    void aSetUpWhoseBytesAreStuckDoesNotReachAServerThatDrains() throws IOException {
        try (ServerSocket server = new ServerSocket(0, 8, InetAddress.getByName("127.0.0.1"))) {
            Trunk trunk = s.on(() -> {
                Trunk t = new Trunk(s.vertx, Sites.settings(), 2, s.clock, s.clock, line -> { });
                t.attach(new Gatekeeper<>(Sites.settings(), (now, event, out) -> { }, s.clock, s.clock, t, (peer, bytes) -> { },
                    line -> { }));
                t.list(List.of(at(server.getLocalPort(), Stage.HEALTHY)));
                return t;
            });
            try (Socket first = server.accept()) {
                long[] sent = {0};
                s.until(() -> {
                    sent[0]++;
                    trunk.setUp(sent[0], 0, "s1", new Offer<>(sent[0], "a", "55", 9_000_000, false, false, 1, 0, -1,
                        new byte[DESCRIPTION]), 9_000_000);
                    return trunk.unwritten() > 0;
                });
                s.on(() -> {
                    trunk.list(List.of(at(server.getLocalPort(), Stage.CORDONED)));
                    trunk.recall();
                    return null;
                });
                assertThat(s.on(trunk::unwritten)).isZero();
                long whole = first.getInputStream().readAllBytes().length / DESCRIPTION;
                assertThat(whole).isPositive().isLessThan(sent[0]);
            }
        }
    }
}
