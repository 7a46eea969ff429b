package standin;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.math.BigInteger;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.security.KeyPair;
import java.security.KeyPairGenerator;
import java.security.PublicKey;
import java.time.Duration;
import java.time.Instant;
import java.util.Base64;
import java.util.Date;
import java.util.concurrent.Executors;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.bouncycastle.asn1.x500.X500Name;
import org.bouncycastle.asn1.x509.BasicConstraints;
import org.bouncycastle.asn1.x509.Extension;
import org.bouncycastle.asn1.x509.GeneralName;
import org.bouncycastle.asn1.x509.GeneralNames;
import org.bouncycastle.cert.jcajce.JcaX509v3CertificateBuilder;
import org.bouncycastle.operator.jcajce.JcaContentSignerBuilder;
import org.bouncycastle.pkcs.jcajce.JcaPKCS10CertificationRequest;

/** A small authority of RFC 8555: it holds each name for proven, issues from one root, and says a chain in the form asked for. */
public final class Authority {
    private static final String DOMAIN = "gatekeeper.budapest.example.org";
    private final HttpServer server;
    private final KeyPair root = keys();
    private final byte[] rootCertificate;
    private final Record record;
    /** Of the chain: whole, or how it is malformed. */
    public volatile String form;
    private final String base;
    private int nonce;
    private long serial = 2;
    private volatile String chain;

    /** {@code form}: whole, or a malformed chain. */
    public Authority(Record record, String form) throws Exception {
        this.record = record;
        this.form = form;
        rootCertificate = certificate("CN=Stand-in root", root.getPublic(), Instant.now().minus(Duration.ofDays(365)),
            Instant.now().plus(Duration.ofDays(3650)), true);
        server = HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 50);
        server.setExecutor(Executors.newCachedThreadPool(r -> {
            Thread thread = new Thread(r);
            thread.setDaemon(true);
            return thread;
        }));
        server.createContext("/", this::take);
        server.start();
        base = "http://127.0.0.1:" + server.getAddress().getPort();
    }

    public static String domain() {
        return DOMAIN;
    }

    public String directory() {
        return base + "/directory";
    }

    public byte[] root() {
        return rootCertificate;
    }

    public static KeyPair keys() throws Exception {
        KeyPairGenerator generator = KeyPairGenerator.getInstance("EC");
        generator.initialize(256);
        return generator.generateKeyPair();
    }

    /** Chain and key of a certificate that this authority has issued. */
    public String issued(KeyPair key, Instant from, Instant to) throws Exception {
        return pem("CERTIFICATE", certificate("CN=" + DOMAIN, key.getPublic(), from, to, false))
            + pem("CERTIFICATE", rootCertificate) + pem("PRIVATE KEY", key.getPrivate().getEncoded());
    }

    private byte[] certificate(String subject, PublicKey key, Instant from, Instant to, boolean authority) throws Exception {
        JcaX509v3CertificateBuilder builder = new JcaX509v3CertificateBuilder(new X500Name("CN=Stand-in root"),
            BigInteger.valueOf(serial++), Date.from(from), Date.from(to), new X500Name(subject), key);
        if (authority) {
            builder.addExtension(Extension.basicConstraints, true, new BasicConstraints(true));
        } else {
            builder.addExtension(Extension.subjectAlternativeName, false,
                new GeneralNames(new GeneralName(GeneralName.dNSName, DOMAIN)));
        }
        return builder.build(new JcaContentSignerBuilder("SHA256withECDSA").build(root.getPrivate())).getEncoded();
    }

    public static String pem(String kind, byte[] der) {
        return "-----BEGIN " + kind + "-----\n" + Base64.getMimeEncoder(64, new byte[] {'\n'}).encodeToString(der)
            + "\n-----END " + kind + "-----\n";
    }

    private void take(HttpExchange request) throws IOException {
        String path = request.getRequestURI().getPath();
        String body = new String(request.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
        record.line("authority: " + request.getRequestMethod() + " " + path);
        synchronized (this) {
            request.getResponseHeaders().set("Replay-Nonce", "nonce-" + nonce++);
        }
        try {
            switch (path) {
                case "/directory" -> say(request, 200, "{\"newNonce\":\"" + base + "/nonce\",\"newAccount\":\"" + base
                    + "/account\",\"newOrder\":\"" + base + "/order\",\"revokeCert\":\"" + base + "/revoke\",\"keyChange\":\""
                    + base + "/change\"}");
                case "/nonce" -> request.sendResponseHeaders(200, -1);
                case "/account" -> {
                    request.getResponseHeaders().set("Location", base + "/account/1");
                    say(request, 201, "{\"status\":\"valid\"}");
                }
                case "/order" -> {
                    chain = null;
                    request.getResponseHeaders().set("Location", base + "/order/1");
                    say(request, 201, order());
                }
                case "/authorization/1" -> say(request, 200, "{\"status\":\"valid\",\"identifier\":{\"type\":\"dns\",\"value\":\""
                    + DOMAIN + "\"},\"challenges\":[{\"type\":\"http-01\",\"url\":\"" + base
                    + "/challenge/1\",\"token\":\"0123456789abcdef0123456789abcdef\",\"status\":\"valid\"}]}");
                case "/finalize/1" -> {
                    chain = chain(Base64.getUrlDecoder().decode(field(payload(body), "csr")));
                    say(request, 200, order());
                }
                case "/certificate/1" -> {
                    record.line("authority: its chain is " + form);
                    request.getResponseHeaders().set("Content-Type", "application/pem-certificate-chain");
                    byte[] bytes = chain.getBytes(StandardCharsets.US_ASCII);
                    request.sendResponseHeaders(200, bytes.length == 0 ? -1 : bytes.length);
                    request.getResponseBody().write(bytes);
                }
                default -> say(request, 200, order());
            }
        } catch (Exception e) {
            record.line("authority: " + e);
        }
        request.close();
    }

    private void say(HttpExchange request, int status, String json) throws IOException {
        byte[] bytes = json.getBytes(StandardCharsets.UTF_8);
        request.getResponseHeaders().set("Content-Type", "application/json");
        request.sendResponseHeaders(status, bytes.length);
        request.getResponseBody().write(bytes);
    }

    private String order() {
        return "{\"status\":\"" + (chain == null ? "ready" : "valid") + "\",\"identifiers\":[{\"type\":\"dns\",\"value\":\"" + DOMAIN
            + "\"}],\"authorizations\":[\"" + base + "/authorization/1\"],\"finalize\":\"" + base + "/finalize/1\""
            + (chain == null ? "" : ",\"certificate\":\"" + base + "/certificate/1\"") + "}";
    }

    private static String payload(String jws) {
        return new String(Base64.getUrlDecoder().decode(field(jws, "payload")), StandardCharsets.UTF_8);
    }

    private static String field(String json, String name) {
        Matcher found = Pattern.compile("\"" + name + "\"\\s*:\\s*\"([^\"]*)\"").matcher(json);
        return found.find() ? found.group(1) : "";
    }

    private String chain(byte[] csr) throws Exception {
        PublicKey key = new JcaPKCS10CertificationRequest(csr).getPublicKey();
        String leaf = pem("CERTIFICATE", certificate("CN=" + DOMAIN, key, Instant.now().minusSeconds(60),
            Instant.now().plus(Duration.ofDays(90)), false));
        String issuer = pem("CERTIFICATE", rootCertificate);
        return switch (form) {
            case "whole" -> leaf + issuer;
            case "leaf-last" -> issuer + leaf;
            case "without-leaf" -> issuer;
            case "empty" -> "";
            case "cut" -> leaf + issuer.substring(0, issuer.length() / 2);
            case "garbled" -> leaf.substring(0, 100) + "!!" + leaf.substring(102) + issuer;
            default -> throw new IllegalArgumentException(form);
        };
    }
}
