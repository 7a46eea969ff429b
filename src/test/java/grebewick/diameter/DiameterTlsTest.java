package grebewick.diameter;

import grebewick.acme.AcmeConfig;
import grebewick.acme.StandInAuthority;
import grebewick.config.Address;
import grebewick.play.Scenario;
import grebewick.play.Sites;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.time.Instant;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The Diameter front with a certificate from the stand-in authority. */
class DiameterTlsTest {
    @TempDir
    Path folder;

    @Test
    void theFrontServesOverTlsWithACertificateByAcme() throws Exception {
        try (Scenario s = new Scenario(); ServerSocket free = new ServerSocket(0)) {
            int challenges = free.getLocalPort();
            Instant now = Instant.ofEpochMilli(s.clock.nowUs() / 1000);
            String directory = s.await(() -> new StandInAuthority(s.vertx, now, challenges).listen());
            // Not before: the authority could have been given the same port.
            free.close();
            DiameterConfig config = new DiameterConfig(new Address("127.0.0.1", 0), "gk", "realm", Set.of(), "a", 9_000_000,
                10_000_000, 0, 1_000_000, List.of(), Sites.settings(), new AcmeConfig(directory, "gk.example",
                    new Address("127.0.0.1", challenges), folder, true));
            int port = s.await(() -> new DiameterNode(s.vertx, config, 1, s.clock, s.clock, line -> {}).start()).actualPort();
            s.tlsClient("c", new DiameterDialect("c", 1), port);
            s.play("c > CER\n c < CEA 2001\n c has no more");
        }
    }
}
