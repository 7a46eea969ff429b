package grebewick.acme;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServer;
import io.vertx.core.net.PemKeyCertOptions;
import java.time.Instant;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;

/**
 * The certificate of one name by ACME (RFC 8555): ordered when there is none, renewed in its last third. What an authority
 * issues takes the place of the certificate that is kept only once it is known to be fit to serve with.
 */
public final class Certificates {
    private static final String CHALLENGES = "/.well-known/acme-challenge/";

    private final Vertx vertx;
    private final AcmeConfig config;
    private final Consumer<String> log;
    private final CertificateStore store;
    private final Map<String, String> challenges = new ConcurrentHashMap<>();
    private HttpServer server;

    /** Keeps one name's certificate. */
    public Certificates(Vertx vertx, AcmeConfig config, Consumer<String> log) {
        this.vertx = vertx;
        this.config = config;
        this.log = log;
        store = new CertificateStore(config, log);
    }

    /** Starts answering challenges; gives the port. */
    public Future<Integer> listen() {
        server = vertx.createHttpServer().requestHandler(request -> {
            String path = request.path();
            String answer = path.startsWith(CHALLENGES) ? challenges.get(path.substring(CHALLENGES.length())) : null;
            if (answer == null) {
                request.response().setStatusCode(404).end();
            } else {
                request.response().putHeader("Content-Type", "application/octet-stream").end(answer);
            }
        });
        return server.listen(config.challenges().port(), config.challenges().host()).map(HttpServer::actualPort);
    }

    /** The key and chain that are kept, where they are valid at that time. */
    public Optional<PemKeyCertOptions> valid(Instant now) {
        return store.chain().filter(chain -> chain.isValid(now)).map(Certificates::options);
    }

    /** Whether the certificate kept is to be renewed at that time, or there is none that can be served with. */
    public boolean due(Instant now) {
        return store.chain().map(chain -> chain.isDue(now)).orElse(true);
    }

    /** The key and chain to serve with: those kept, or new ones where they are due. */
    public Future<PemKeyCertOptions> current(Instant now) {
        Optional<CertificateChain> kept = store.chain();
        if (kept.isPresent() && !kept.get().isDue(now)) {
            return Future.succeededFuture(options(kept.get()));
        }
        return vertx.executeBlocking(() -> renewed(kept, now)).map(Certificates::options).onSuccess(done -> log
            .accept("acme: a new certificate for " + config.domain())).recover(e -> {
                if (kept.isEmpty()) {
                    return Future.failedFuture(e);
                }
                log.accept("acme: renewal failed, the present certificate goes on: " + e.getMessage());
                return Future.succeededFuture(options(kept.get()));
            });
    }

    /** On a worker. The chain that is kept is replaced by one that holds, and by no other. */
    private CertificateChain renewed(Optional<CertificateChain> kept, Instant now) throws Exception {
        CertificateChain ordered = new CertificateOrder(config, store, challenges).place();
        if (!ordered.isValid(now)) {
            throw new CertificateRejectedException("the new chain is not valid at this time");
        }
        if (kept.isPresent() && kept.get().isValid(now) && ordered.lacksIntermediateOf(kept.get())) {
            throw new CertificateRejectedException("the new chain lacks an intermediate certificate of the present one");
        }
        store.keep(ordered);
        return ordered;
    }

    private static PemKeyCertOptions options(CertificateChain chain) {
        Buffer both = Buffer.buffer(chain.pem());
        return new PemKeyCertOptions().setKeyValue(both).setCertValue(both);
    }
}
