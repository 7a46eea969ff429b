package grebewick.diameter;

import static org.assertj.core.api.Assertions.assertThat;

import grebewick.acme.AcmeConfig;
import grebewick.acme.Certificates;
import grebewick.acme.StandInAuthority;
import grebewick.config.Address;
import grebewick.play.Scenario;
import grebewick.play.Sites;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
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
                10_000_000, 0, 1_000_000, List.of(), Sites.settings(), acme(directory, challenges));
            int port = s.await(() -> new DiameterNode(s.vertx, config, 1, s.clock, s.clock, line -> {}).start()).actualPort();
            s.tlsClient("c", new DiameterDialect("c", 1), port);
            s.play("c > CER\n c < CEA 2001\n c has no more");
        }
    }

    /** Guards against a start that waits for an authority which never answers while a valid certificate is kept. */
    @Test
    void aValidCertificateServesWhileTheAuthorityIsSilent() throws Exception {
        try (Scenario s = new Scenario(); ServerSocket silent = new ServerSocket(0, 8, InetAddress.getLoopbackAddress())) {
            Instant now = Instant.ofEpochMilli(s.clock.nowUs() / 1000);
            StandInAuthority authority = new StandInAuthority(s.vertx, now.minus(Duration.ofDays(70)), 0);
            String directory = s.await(authority::listen);
            Certificates certificates = new Certificates(s.vertx, acme(directory, 0), line -> {});
            authority.challengesAt(s.await(certificates::listen));
            s.await(() -> certificates.current(now.minus(Duration.ofDays(69))));
            DiameterConfig config = new DiameterConfig(new Address("127.0.0.1", 0), "gk", "realm", Set.of(), "a", 9_000_000,
                10_000_000, 0, 1_000_000, List.of(), Sites.settings(),
                acme("http://127.0.0.1:" + silent.getLocalPort() + "/directory", 0));
            List<String> log = new CopyOnWriteArrayList<>();
            int port = s.await(() -> new DiameterNode(s.vertx, config, 1, s.clock, s.clock, log::add).start()).actualPort();
            assertThat(log).as("the start has not waited for the renewal's end").noneMatch(line -> line.startsWith("acme:"));
            s.tlsClient("c", new DiameterDialect("c", 1), port);
            s.play("c > CER\n c < CEA 2001\n c has no more");
            silent.accept().close();
        }
    }

    private AcmeConfig acme(String directory, int challenges) {
        return new AcmeConfig(directory, "gk.example", new Address("127.0.0.1", challenges), folder, true);
    }
}
