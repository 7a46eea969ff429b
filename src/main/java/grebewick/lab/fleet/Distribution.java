package grebewick.lab.fleet;

import grebewick.names.FleetPoller;
import io.vertx.core.Future;
import java.util.List;
import java.util.function.Supplier;

/** Ways in which the list reaches gatekeepers: the client's side and the control machines' side of each. */
public enum Distribution {
    /** Each gatekeeper polls one name service for the whole list, ten times a second. */
    POLL(PolledNameService::new, (vertx, timers, machines, seed, news, log) -> {
        FleetPoller poller = new FleetPoller(vertx, timers, machines.get(0), 0, List.of(), news, log);
        return new ServerListSource() {
            @Override
            public void start() {
                poller.start();
            }

            @Override
            public Future<Void> close() {
                return poller.close();
            }
        };
    });

    private final Supplier<ControlPlane> controlPlane;
    private final ServerListSource.Factory sources;

    Distribution(Supplier<ControlPlane> controlPlane, ServerListSource.Factory sources) {
        this.controlPlane = controlPlane;
        this.sources = sources;
    }

    /** New control machines; they are not open yet. */
    ControlPlane controlPlane() {
        return controlPlane.get();
    }

    /** Makes the gatekeepers' clients. */
    ServerListSource.Factory sources() {
        return sources;
    }
}
