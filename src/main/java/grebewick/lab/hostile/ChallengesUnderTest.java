package grebewick.lab.hostile;

import grebewick.lab.GatekeeperProcess;
import java.math.BigInteger;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.KeyPair;
import java.security.KeyPairGenerator;
import java.time.Duration;
import java.time.Instant;
import java.util.Base64;
import java.util.Date;
import java.util.List;
import java.util.Map;
import org.bouncycastle.asn1.x500.X500Name;
import org.bouncycastle.asn1.x509.Extension;
import org.bouncycastle.asn1.x509.GeneralName;
import org.bouncycastle.asn1.x509.GeneralNames;
import org.bouncycastle.cert.jcajce.JcaX509v3CertificateBuilder;
import org.bouncycastle.operator.jcajce.JcaContentSignerBuilder;

/** The port of ACME's http-01 challenges, of a gatekeeper that keeps a certificate which is not due. */
final class ChallengesUnderTest extends HttpUnderTest {
    private static final String DOMAIN = "gatekeeper.example.org";
    private static final Duration LIFE = Duration.ofDays(90);

    private int port;

    @Override
    public Map<String, String> open(Path folder) throws Exception {
        port = GatekeeperProcess.freePort();
        Files.writeString(folder.resolve("certificate.pem"), certificate());
        String json = Files.readString(Path.of("deploy/diameter.json"))
            .replace("127.0.0.1:3868", "127.0.0.1:" + GatekeeperProcess.freePort())
            .replace("127.0.0.1:3869", "127.0.0.1:" + GatekeeperProcess.freePort())
            .replace("127.0.0.1:3870", "127.0.0.1:" + GatekeeperProcess.freePort());
        String acme = ("\"acme\":{\"directory\":\"http://127.0.0.1:1/directory\",\"domain\":\"%s\","
            + "\"challenges\":\"127.0.0.1:%d\",\"folder\":\"%s\",\"agreed\":true},").formatted(DOMAIN, port, folder);
        Path file = folder.resolve("diameter.json");
        Files.writeString(file, json.replaceFirst("\\{", "{" + acme));
        return Map.of("RELAY_DIAMETER", file.toString());
    }

    private static String certificate() throws Exception {
        KeyPairGenerator generator = KeyPairGenerator.getInstance("EC");
        generator.initialize(256);
        KeyPair key = generator.generateKeyPair();
        X500Name name = new X500Name("CN=" + DOMAIN);
        byte[] certificate = new JcaX509v3CertificateBuilder(name, BigInteger.ONE, Date.from(Instant.now()),
            Date.from(Instant.now().plus(LIFE)), name, key.getPublic())
            .addExtension(Extension.subjectAlternativeName, false, new GeneralNames(new GeneralName(GeneralName.dNSName, DOMAIN)))
            .build(new JcaContentSignerBuilder("SHA256withECDSA").build(key.getPrivate())).getEncoded();
        return pem("CERTIFICATE", certificate) + pem("PRIVATE KEY", key.getPrivate().getEncoded());
    }

    private static String pem(String kind, byte[] der) {
        return "-----BEGIN " + kind + "-----\n" + Base64.getMimeEncoder(64, new byte[] {'\n'}).encodeToString(der) + "\n-----END "
            + kind + "-----\n";
    }

    @Override
    public List<String> command(List<String> serve) {
        return serve;
    }

    @Override
    public int port() {
        return port;
    }

    @Override
    String path(long number) {
        return "/.well-known/acme-challenge/" + number;
    }

    @Override
    public Map<Long, Integer> reached() {
        return Map.of();
    }

}
