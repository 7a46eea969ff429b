package grebewick.diameter;

import grebewick.core.Clock;
import grebewick.core.Gatekeeper;
import grebewick.core.Logic;
import grebewick.core.Timers;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetServerOptions;
import java.util.function.Consumer;

/** The second front: Diameter on both sides of a gatekeeper core of its own. */
public final class DiameterNode {
    private final Vertx vertx;
    private final DiameterConfig config;
    private final DiameterServers servers;
    private final DiameterFront front;
    private final Gatekeeper<DiameterMessage> core;

    /** Wires the node; {@link #start} opens its sockets. */
    public DiameterNode(Vertx vertx, DiameterConfig config, long seed, Clock clock, Timers timers, Consumer<String> log) {
        this.vertx = vertx;
        this.config = config;
        Identity me = new Identity(config.host(), config.realm(), clock.nowUs() / 1_000_000);
        servers = new DiameterServers(vertx, config, me, clock, timers, log);
        core = new Gatekeeper<>(config.settings(), new Logic(config.settings(), seed), clock, timers, servers,
            (peer, bytes) -> { }, log);
        front = new DiameterFront(config, me, core, clock, timers, log);
    }

    /** Connects to the servers and listens for clients. */
    public Future<NetServer> start() {
        servers.start(core);
        return vertx.createNetServer(new NetServerOptions().setTcpNoDelay(true)).connectHandler(front::accept)
            .listen(config.listen().port(), config.listen().host());
    }

    /** Refuses new sessions and asks the clients to leave. */
    public void stop() {
        front.stop();
    }

    /** Takes leave of the servers. */
    public void leave() {
        servers.stop();
    }

    /** Requests that still want their answer. */
    public int unanswered() {
        return core.unanswered();
    }

    int sessions() {
        return front.sessions();
    }

    int calls() {
        return core.calls();
    }
}
