package grebewick.lab.fleet;

import grebewick.names.FleetPoller;
import io.vertx.core.Future;
import java.util.List;
import java.util.function.IntFunction;

/** Ways in which the list reaches gatekeepers: the client's side and the control machines' side of each. */
public enum Distribution {
    /** Each gatekeeper polls one name service for the whole list, ten times a second. */
    POLL(machines -> new PolledNameService(), (vertx, clock, timers, machines, zones, seed, news, log) -> {
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

    private final IntFunction<ControlPlane> controlPlane;
    private final ServerListSource.Factory sources;

    Distribution(IntFunction<ControlPlane> controlPlane, ServerListSource.Factory sources) {
        this.controlPlane = controlPlane;
        this.sources = sources;
    }

    /** Servers in the whole list of a gatekeeper. */
    int listedFor(FleetPlan plan, int gatekeeper) {
        return this == POLL ? plan.servers() : plan.listedFor(gatekeeper);
    }

    /** Gatekeepers, of so many, that are to hold a change of the server at this place of the list. */
    int holders(FleetPlan plan, int place, int gatekeepers) {
        return this == POLL ? gatekeepers : plan.followers(place, gatekeepers);
    }

    /** So many new control machines, where the way has any number of them; they are not open yet. */
    ControlPlane controlPlane(int machines) {
        return controlPlane.apply(machines);
    }

    /** Makes the gatekeepers' clients. */
    ServerListSource.Factory sources() {
        return sources;
    }
}
