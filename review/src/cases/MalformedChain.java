package cases;

import java.io.ByteArrayInputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.KeyStore;
import java.security.cert.CertificateFactory;
import java.security.cert.X509Certificate;
import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import javax.net.ssl.SSLContext;
import javax.net.ssl.SSLSocket;
import javax.net.ssl.TrustManagerFactory;
import standin.Authority;
import standin.Case;
import standin.Program;
import standin.Record;

/** A gatekeeper with a valid certificate in its last third is started, and its authority answers the renewal with a malformed chain. */
public final class MalformedChain {
    private MalformedChain() {}

    public static void main(String[] arguments) throws Exception {
        Case.play(arguments[0], MalformedChain::run);
    }

    private static int run(Record record, Path temporary, boolean trouble) throws Exception {
        Authority authority = new Authority(record, trouble ? "leaf-last" : "whole");
        Path kept = Files.createDirectories(temporary.resolve("acme"));
        Instant to = Instant.now().plus(Duration.ofDays(20));
        Files.writeString(kept.resolve("certificate.pem"), authority.issued(Authority.keys(), to.minus(Duration.ofDays(90)), to));
        record.line("kept: a certificate that is valid until " + to);
        int listen = Program.freePort();
        String json = Files.readString(Path.of("deploy/diameter.json")).replace("\"127.0.0.1:3868\"", "\"127.0.0.1:" + listen + "\"")
            .replace("127.0.0.1:3869", "127.0.0.1:" + Program.freePort()).replace("127.0.0.1:3870", "127.0.0.1:" + Program.freePort());
        int brace = json.indexOf('{');
        Path file = temporary.resolve("diameter.json");
        Files.writeString(file, "{\"acme\":{\"directory\":\"" + authority.directory() + "\",\"domain\":\"" + Authority.domain()
            + "\",\"challenges\":\"127.0.0.1:" + Program.freePort() + "\",\"folder\":\"" + kept + "\",\"agreed\":true},"
            + json.substring(brace + 1));
        Map<String, String> variables = Map.of("RELAY_DIAMETER", file.toString());
        // Twice, as a restart follows.
        for (int start = 1; start <= 2; start++) {
            Program gatekeeper = Program.start(variables, temporary, record, "gatekeeper, start " + start);
            boolean serves = serves(authority, listen, record, gatekeeper);
            if (!serves) {
                record.say("no client can connect over TLS; the process "
                    + (gatekeeper.process.isAlive() ? "runs" : "has ended with " + gatekeeper.process.exitValue()));
                gatekeeper.end();
                // What follows is for the record alone.
                authority.form = "whole";
                Program again = Program.start(variables, temporary, record, "gatekeeper, started again with a sound authority");
                record.say("started again with a sound authority it " + (serves(authority, listen, record, again) ? "serves"
                    : again.process.isAlive() ? "does not serve in 30 s" : "ends with " + again.process.exitValue()));
                return Case.BROKEN;
            }
            gatekeeper.signal("TERM");
            if (!gatekeeper.process.waitFor(8, TimeUnit.SECONDS)) {
                return Case.COULD_NOT_RUN;
            }
        }
        return Case.HELD;
    }

    /** A client that trusts the authority's root tries for 30 s, the time in which a gatekeeper has to be ready. */
    private static boolean serves(Authority authority, int port, Record record, Program gatekeeper) throws Exception {
        KeyStore trusted = KeyStore.getInstance(KeyStore.getDefaultType());
        trusted.load(null, null);
        trusted.setCertificateEntry("root",
            CertificateFactory.getInstance("X.509").generateCertificate(new ByteArrayInputStream(authority.root())));
        TrustManagerFactory factory = TrustManagerFactory.getInstance(TrustManagerFactory.getDefaultAlgorithm());
        factory.init(trusted);
        SSLContext context = SSLContext.getInstance("TLS");
        context.init(null, factory.getTrustManagers(), null);
        long endNs = System.nanoTime() + 30_000_000_000L;
        String before = "";
        while (System.nanoTime() < endNs) {
            try (Socket plain = new Socket()) {
                plain.connect(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 1000);
                plain.setSoTimeout(2000);
                SSLSocket socket = (SSLSocket) context.getSocketFactory().createSocket(plain, Authority.domain(), port, true);
                socket.startHandshake();
                X509Certificate leaf = (X509Certificate) socket.getSession().getPeerCertificates()[0];
                leaf.checkValidity();
                record.line("client: connected over TLS; the certificate is of " + leaf.getSubjectX500Principal() + ", until "
                    + leaf.getNotAfter().toInstant());
                return true;
            } catch (java.io.IOException e) {
                if (!e.toString().equals(before)) {
                    before = e.toString();
                    record.line("client: " + before);
                }
            }
            if (!gatekeeper.process.isAlive()) {
                return false;
            }
            Thread.sleep(200);
        }
        return false;
    }
}
