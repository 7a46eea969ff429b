package grebewick.diameter;

import grebewick.acme.Certificates;
import grebewick.core.Clock;
import grebewick.core.Gatekeeper;
import grebewick.core.Logic;
import grebewick.core.Timers;
import grebewick.eventloop.ActivityCount;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.net.PemKeyCertOptions;
import io.vertx.core.net.ServerSSLOptions;
import java.time.Instant;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/** The second front: Diameter on both sides of a gatekeeper core of its own. */
public final class DiameterNode {
    /** us. Between looks at whether the certificate is due. */
    private static final long LOOK_US = 12L * 3600 * 1_000_000;
    /** Origin-State-Id of a node whose start says nothing of the sessions that stood before it (RFC 6733, section 8.16). */
    private static final long SESSIONS_OUTLIVE_THIS_PROCESS = 0;
    /** us. Until the next order after a renewal that failed. */
    private static final long RETRY_US = 3600L * 1_000_000;

    /** us. Between looks whether all have left. */
    private static final long LEAVE_LOOK_US = 5_000;

    private final Vertx vertx;
    private final Clock clock;
    private final Timers timers;
    private final Consumer<String> log;
    private final DiameterConfig config;
    private final DiameterServers servers;
    private final DiameterFront front;
    private final Gatekeeper<DiameterMessage> core;
    private NetServer listener;

    /** Wires the node; {@link #start} opens its sockets. */
    public DiameterNode(Vertx vertx, DiameterConfig config, long seed, Clock clock, Timers timers, Consumer<String> log) {
        this.vertx = vertx;
        this.config = config;
        this.clock = clock;
        this.timers = timers;
        this.log = log;
        Identity me = new Identity(config.host(), config.realm(), SESSIONS_OUTLIVE_THIS_PROCESS);
        servers = new DiameterServers(vertx, config, me, clock, timers, log);
        core = new Gatekeeper<>(config.settings(), new Logic(config.settings(), seed), clock, timers, servers,
            (peer, bytes) -> {}, log);
        front = new DiameterFront(config, me, core, clock, timers, log);
        servers.onAbort(front::abort);
        front.attach(servers);
    }

    /** Connects to the servers and listens for clients. */
    public Future<NetServer> start() {
        servers.start(core);
        NetServerOptions options = new NetServerOptions().setTcpNoDelay(true);
        if (config.acme() == null) {
            return listen(options);
        }
        Certificates certificates = new Certificates(vertx, config.acme(), log);
        return certificates.listen().compose(port -> startWith(certificates, options));
    }

    /** A valid certificate serves at once, whatever the authority does meanwhile. */
    private Future<NetServer> startWith(Certificates certificates, NetServerOptions options) {
        Optional<PemKeyCertOptions> valid = certificates.valid(now());
        return valid.map(Future::succeededFuture).orElseGet(() -> certificates.current(now()))
            .compose(certificate -> listen(options.setSsl(true).setKeyCertOptions(certificate)))
            .onSuccess(server -> renew(certificates, server));
    }

    private Future<NetServer> listen(NetServerOptions options) {
        return vertx.createNetServer(options).connectHandler(front::accept)
            .listen(config.listen().port(), config.listen().host()).onSuccess(server -> listener = server);
    }

    /** Renews the certificate where it is due, now and again later. */
    private void renew(Certificates certificates, NetServer server) {
        if (!certificates.due(now())) {
            timers.after(LOOK_US, () -> renew(certificates, server));
            return;
        }
        certificates.current(now())
            // Connections that are open go on; new ones get the new certificate.
            .compose(certificate -> server.updateSSLOptions(new ServerSSLOptions().setKeyCertOptions(certificate)))
            .onFailure(e -> log.accept("acme: " + e.getMessage()))
            .onComplete(done -> timers.after(certificates.due(now()) ? RETRY_US : LOOK_US, () -> renew(certificates, server)));
    }

    private Instant now() {
        return Instant.ofEpochMilli(clock.nowUs() / 1000);
    }

    /** Refuses new sessions and asks the clients to leave that have no session left. */
    public void stop() {
        front.stop();
        leaveServersWithoutClients();
    }

    /** Guards ends of sessions: servers keep them for the next process once this one has no client to tell of them. */
    private void leaveServersWithoutClients() {
        if (!front.hasClients() && core.unanswered() == 0) {
            servers.stop();
        } else {
            timers.after(LEAVE_LOOK_US, this::leaveServersWithoutClients);
        }
    }

    /** Whoever still waits has its answer now. */
    public void answerAll() {
        core.answerAll();
        servers.answerAll();
        front.answerAll();
    }

    /**
     * Takes leave of the servers and then of the clients: what servers say before they have heard of it is passed on.
     * {@code done} is run once, after {@code mostUs} at the latest.
     */
    public void leave(long mostUs, Runnable done) {
        servers.stop();
        leave(clock.nowUs() + mostUs / 2, servers::haveLeft, () -> {
            front.leave();
            leave(clock.nowUs() + mostUs / 2, () -> !front.hasClients(), done);
        });
    }

    private void leave(long endUs, BooleanSupplier haveLeft, Runnable next) {
        if (haveLeft.getAsBoolean() || clock.nowUs() >= endUs) {
            next.run();
        } else {
            timers.after(LEAVE_LOOK_US, () -> leave(endUs, haveLeft, next));
        }
    }

    /** Closes every socket at once, whatever is open: what a killed process leaves. Timers are the owner's to stop. */
    Future<Void> close() {
        return Future.join(listener == null ? Future.succeededFuture() : listener.close(), servers.close()).mapEmpty();
    }

    /** Messages from clients and from servers since the start: what the loop was busy with. */
    public ActivityCount activity() {
        return new ActivityCount(front.taken(), servers.taken(), 0);
    }

    /** Requests that still want their answer. */
    public int unanswered() {
        return core.unanswered();
    }

    /** Ends of sessions that are still to be told, on either side. */
    public int pendingTeardowns() {
        return front.pendingTeardowns() + servers.pendingTeardowns();
    }

    int sessions() {
        return front.sessions();
    }

    boolean hasClients() {
        return front.hasClients();
    }

    boolean hasHalfMessages() {
        return front.hasHalfMessages();
    }

    int calls() {
        return core.calls();
    }
}
