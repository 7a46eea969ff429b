package review2;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.KeyStore;
import java.security.cert.CertificateFactory;
import java.security.cert.X509Certificate;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import javax.net.ssl.SSLContext;
import javax.net.ssl.SSLSocket;
import javax.net.ssl.TrustManagerFactory;
import standin.Authority;
import standin.Record;

/** The authority is unreachable near the expiry of the certificate, and back well before it: no client may meet an expired one. */
final class LapsedCertificate {
    /** s. From the start of the gatekeeper to the end of the kept certificate, of 90 days. */
    private static final long LEFT_S = 60;
    /** ms. From the start of the gatekeeper until the authority can be reached again. */
    private static final long UNREACHABLE_MS = 15_000;
    /** ms. After the expiry: until when a client tries. */
    private static final long AFTER_MS = 25_000;

    public static void main(String[] args) {
        Kit.run(args, LapsedCertificate::run);
    }

    private static List<String> run(Kit kit, boolean trouble) throws Exception {
        Authority authority = new Authority(new Record(kit.folder.resolve("authority.txt")), "whole");
        Path kept = Files.createDirectories(kit.folder.resolve("acme"));
        int way = Kit.freePort();
        int port = Kit.freePort();
        String json = Files.readString(Path.of("deploy/diameter.json")).replace("127.0.0.1:3868", "127.0.0.1:" + port)
            .replace("127.0.0.1:3869", "127.0.0.1:" + Kit.freePort()).replace("127.0.0.1:3870", "127.0.0.1:" + Kit.freePort());
        Path file = kit.folder.resolve("diameter.json");
        Files.writeString(file, "{\"acme\":{\"directory\":\"http://127.0.0.1:" + way + "/directory\",\"domain\":\"" + Authority.domain()
            + "\",\"challenges\":\"127.0.0.1:" + Kit.freePort() + "\",\"folder\":\"" + kept + "\",\"agreed\":true},"
            + json.substring(json.indexOf('{') + 1));
        int authorityPort = Integer.parseInt(authority.directory().replaceAll(".*:(\\d+)/.*", "$1"));
        AtomicInteger asked = new AtomicInteger();
        if (!trouble) {
            forward(kit, way, authorityPort, asked);
        }
        Instant to = Instant.now().plusSeconds(LEFT_S);
        Files.writeString(kept.resolve("certificate.pem"), authority.issued(Authority.keys(), to.minus(Duration.ofDays(90)), to));
        long startMs = kit.nowMs();
        kit.say("kept: a certificate that is valid until " + to);
        kit.gatekeeper(Map.of("RELAY_DIAMETER", file.toString()));
        Kit.awaitPort(port, 20_000);
        List<String> breaches = new ArrayList<>();
        String before = "";
        boolean back = !trouble;
        while (kit.nowMs() < startMs + LEFT_S * 1_000 + AFTER_MS) {
            if (!back && kit.nowMs() >= startMs + UNREACHABLE_MS) {
                back = true;
                forward(kit, way, authorityPort, asked);
                kit.say("the authority can be reached again");
            }
            String seen = connect(authority, port);
            if (!seen.equals(before)) {
                before = seen;
                kit.say("client: " + seen + "; the authority was asked " + asked.get() + " times");
            }
            if (!seen.startsWith("valid")) {
                Kit.need(kit.nowMs() > startMs + UNREACHABLE_MS + 5_000, "no TLS before the expiry");
                breaches.add("at " + kit.nowMs() + ": " + seen);
            }
            Thread.sleep(1_000);
        }
        return breaches;
    }

    /** From now on the authority's directory can be reached there. */
    private static void forward(Kit kit, int port, int to, AtomicInteger asked) throws IOException {
        ServerSocket listener = new ServerSocket(port, 50, InetAddress.getByName("127.0.0.1"));
        background(() -> {
            while (true) {
                Socket from = listener.accept();
                asked.incrementAndGet();
                kit.say("the authority is asked for its directory");
                Socket there = new Socket("127.0.0.1", to);
                background(() -> copy(from, there));
                background(() -> copy(there, from));
            }
        });
    }

    private interface Task {
        void run() throws IOException;
    }

    private static void background(Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (IOException e) {
                // The connection has ended.
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    private static void copy(Socket from, Socket to) throws IOException {
        InputStream in = from.getInputStream();
        byte[] bytes = new byte[8192];
        for (int n = in.read(bytes); n >= 0; n = in.read(bytes)) {
            to.getOutputStream().write(bytes, 0, n);
        }
        to.close();
    }

    /** What a client sees that trusts the authority's root. */
    private static String connect(Authority authority, int port) throws Exception {
        KeyStore trusted = KeyStore.getInstance(KeyStore.getDefaultType());
        trusted.load(null, null);
        trusted.setCertificateEntry("root",
            CertificateFactory.getInstance("X.509").generateCertificate(new ByteArrayInputStream(authority.root())));
        TrustManagerFactory factory = TrustManagerFactory.getInstance(TrustManagerFactory.getDefaultAlgorithm());
        factory.init(trusted);
        SSLContext context = SSLContext.getInstance("TLS");
        context.init(null, factory.getTrustManagers(), null);
        try (Socket plain = new Socket()) {
            plain.connect(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 1_000);
            plain.setSoTimeout(3_000);
            SSLSocket socket = (SSLSocket) context.getSocketFactory().createSocket(plain, Authority.domain(), port, true);
            socket.startHandshake();
            X509Certificate leaf = (X509Certificate) socket.getSession().getPeerCertificates()[0];
            leaf.checkValidity();
            return "valid until " + leaf.getNotAfter().toInstant();
        } catch (IOException | java.security.cert.CertificateException e) {
            Throwable cause = e;
            while (cause.getCause() != null) {
                cause = cause.getCause();
            }
            return "no handshake: " + cause.getMessage();
        }
    }
}
