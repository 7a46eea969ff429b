package grebewick.acme;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.math.BigInteger;
import java.security.KeyPair;
import java.security.KeyPairGenerator;
import java.security.PublicKey;
import java.time.Duration;
import java.time.Instant;
import java.util.Base64;
import java.util.Date;
import java.util.HashSet;
import java.util.Set;
import org.bouncycastle.asn1.x500.X500Name;
import org.bouncycastle.asn1.x509.Extension;
import org.bouncycastle.asn1.x509.GeneralName;
import org.bouncycastle.asn1.x509.GeneralNames;
import org.bouncycastle.cert.jcajce.JcaX509v3CertificateBuilder;
import org.bouncycastle.operator.jcajce.JcaContentSignerBuilder;
import org.bouncycastle.pkcs.jcajce.JcaPKCS10CertificationRequest;
import org.jose4j.jwk.PublicJsonWebKey;
import org.jose4j.jws.JsonWebSignature;

/** An authority of RFC 8555 for one order at a time: it checks nonces, signatures and the http-01 challenge. */
public final class StandInAuthority {
    /** Chains that it issues: a sound one, and malformed ones. */
    enum ChainForm {
        SOUND, ISSUER_FIRST, ISSUER_ALONE, EMPTY, CUT, ANOTHER_KEY, ANOTHER_NAME, ANOTHER_ISSUER, EXPIRED
    }

    private static final Duration LIFE = Duration.ofDays(90);
    private static final String TOKEN = "0123456789abcdef0123456789abcdef0123456789a";

    private final Vertx vertx;
    private final HttpClient client;
    private final Set<String> nonces = new HashSet<>();
    private String base;
    private PublicJsonWebKey account;
    private String authorization = "pending";
    private String pem;
    private String domain;
    private int nextNonce;
    Instant from;
    int challengePort;
    int orders;
    boolean away;
    ChainForm form = ChainForm.SOUND;
    private final KeyPair key;

    /** One that signs from {@code from} on, and looks for challenges at {@code challengePort}. */
    public StandInAuthority(Vertx vertx, Instant from, int challengePort) {
        this.vertx = vertx;
        this.from = from;
        this.challengePort = challengePort;
        this.client = vertx.createHttpClient();
        try {
            key = keys();
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    /** Gives the URL of the directory. */
    public Future<String> listen() {
        return vertx.createHttpServer().requestHandler(this::take).listen(0, "127.0.0.1").map(server -> {
            base = "http://127.0.0.1:" + server.actualPort();
            return base + "/directory";
        });
    }

    /** From now on it looks for challenges at that port. */
    public void challengesAt(int port) {
        challengePort = port;
    }

    private void take(HttpServerRequest request) {
        String nonce = "nonce-" + nextNonce++;
        nonces.add(nonce);
        request.response().putHeader("Replay-Nonce", nonce).putHeader("Content-Type", "application/json");
        if (away) {
            say(request, 500, new JsonObject());
        } else if (request.method() != HttpMethod.POST) {
            say(request, 200, new JsonObject().put("newNonce", base + "/nonce").put("newAccount", base + "/account")
                .put("newOrder", base + "/order").put("revokeCert", base + "/revoke").put("keyChange", base + "/change"));
        } else {
            request.body().onSuccess(body -> {
                try {
                    signed(request, body.toJsonObject());
                } catch (Exception e) {
                    say(request, 400, new JsonObject().put("type", "urn:ietf:params:acme:error:malformed").put("detail", "" + e));
                }
            });
        }
    }

    private static void say(HttpServerRequest request, int status, JsonObject body) {
        request.response().setStatusCode(status).end(body.encode());
    }

    private void signed(HttpServerRequest request, JsonObject jws) throws Exception {
        JsonWebSignature signature = new JsonWebSignature();
        signature.setCompactSerialization(jws.getString("protected") + "." + jws.getString("payload") + "."
            + jws.getString("signature"));
        if (request.path().equals("/account")) {
            account = signature.getJwkHeader();
        }
        signature.setKey(account.getPublicKey());
        if (!signature.verifySignature() || !nonces.remove(signature.getHeader("nonce"))
            || !signature.getHeader("url").equals(base + request.path())) {
            throw new IllegalArgumentException("signature, nonce or url");
        }
        JsonObject asked = signature.getPayload().isEmpty() ? new JsonObject() : new JsonObject(signature.getPayload());
        switch (request.path()) {
            case "/account" -> {
                request.response().putHeader("Location", base + "/account/1");
                say(request, 201, new JsonObject().put("status", "valid"));
            }
            case "/order" -> {
                orders++;
                authorization = "pending";
                pem = null;
                domain = asked.getJsonArray("identifiers").getJsonObject(0).getString("value");
                request.response().putHeader("Location", base + "/order/1");
                say(request, 201, order());
            }
            case "/order/1" -> say(request, 200, order());
            case "/authorization/1" -> say(request, 200, new JsonObject().put("status", authorization)
                .put("identifier", identifier()).put("challenges", new JsonArray().add(challenge())));
            case "/challenge/1" -> validate(request);
            case "/finalize/1" -> {
                pem = issue(Base64.getUrlDecoder().decode(asked.getString("csr")));
                say(request, 200, order());
            }
            default -> request.response().putHeader("Content-Type", "application/pem-certificate-chain").end(pem);
        }
    }

    private JsonObject identifier() {
        return new JsonObject().put("type", "dns").put("value", domain);
    }

    private JsonObject challenge() {
        return new JsonObject().put("type", "http-01").put("url", base + "/challenge/1").put("token", TOKEN)
            .put("status", authorization);
    }

    private JsonObject order() {
        JsonObject order = new JsonObject().put("identifiers", new JsonArray().add(identifier()))
            .put("status", pem != null ? "valid" : authorization.equals("valid") ? "ready" : authorization)
            .put("authorizations", new JsonArray().add(base + "/authorization/1")).put("finalize", base + "/finalize/1");
        return pem == null ? order : order.put("certificate", base + "/certificate/1");
    }

    /** The answer waits for the look at the challenge, so that no one has to poll. */
    private void validate(HttpServerRequest request) {
        client.request(HttpMethod.GET, challengePort, "127.0.0.1", "/.well-known/acme-challenge/" + TOKEN)
            .compose(r -> r.send()).compose(r -> r.body()).onComplete(got -> {
                String wanted = TOKEN + "." + account.calculateBase64urlEncodedThumbprint("SHA-256");
                authorization = got.succeeded() && got.result().toString().equals(wanted) ? "valid" : "invalid";
                say(request, 200, challenge());
            });
    }

    private String issue(byte[] csr) throws Exception {
        PublicKey asked = new JcaPKCS10CertificationRequest(csr).getPublicKey();
        String root = pem(certificate("CN=Stand-in", key.getPublic(), Duration.ofDays(3650), key));
        KeyPair other = keys();
        String leaf = pem(switch (form) {
            case ANOTHER_KEY -> certificate("CN=" + domain, other.getPublic(), LIFE, key);
            case ANOTHER_NAME -> certificate("CN=another.example", asked, LIFE, key);
            case EXPIRED -> certificate("CN=" + domain, asked, Duration.ofSeconds(-1), key);
            case ANOTHER_ISSUER -> certificate("CN=" + domain, asked, LIFE, other);
            default -> certificate("CN=" + domain, asked, LIFE, key);
        });
        return switch (form) {
            case ISSUER_FIRST -> root + leaf;
            case ISSUER_ALONE -> root;
            case EMPTY -> "\n";
            case CUT -> leaf.substring(0, leaf.length() / 2);
            default -> leaf + root;
        };
    }

    private static KeyPair keys() throws Exception {
        KeyPairGenerator generator = KeyPairGenerator.getInstance("EC");
        generator.initialize(256);
        return generator.generateKeyPair();
    }

    private byte[] certificate(String subject, PublicKey of, Duration life, KeyPair issuer) throws Exception {
        String name = subject.substring("CN=".length());
        Instant to = from.plus(life);
        Date notBefore = Date.from(life.isNegative() ? to.minus(LIFE) : from);
        return new JcaX509v3CertificateBuilder(new X500Name("CN=Stand-in"), BigInteger.valueOf(orders), notBefore,
            Date.from(to), new X500Name(subject), of)
            .addExtension(Extension.subjectAlternativeName, false, new GeneralNames(new GeneralName(GeneralName.dNSName, name)))
            .build(new JcaContentSignerBuilder("SHA256withECDSA").build(issuer.getPrivate())).getEncoded();
    }

    private static String pem(byte[] certificate) {
        return "-----BEGIN CERTIFICATE-----\n" + Base64.getMimeEncoder(64, new byte[] {'\n'}).encodeToString(certificate)
            + "\n-----END CERTIFICATE-----\n";
    }
}
