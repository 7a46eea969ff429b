package grebewick.lab.fleet;

import grebewick.config.Address;
import grebewick.discovery.dns.ServerListPoller;
import grebewick.discovery.transfer.DiscoveryConfig;
import grebewick.discovery.transfer.DnsTransferClient;
import java.util.List;
import java.util.Random;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/** Ways in which the list reaches gatekeepers: the client's side and the control machines' side of each. */
public enum Distribution {
    /** Each gatekeeper polls one name service for the whole list, ten times a second. */
    POLL(options -> new PolledNameService(), (vertx, clock, timers, task, news, log) -> {
        ServerListPoller poller = new ServerListPoller(vertx, clock, timers, task.controlMachines().get(0), 0, List.of(),
            news::accept, log);
        return ServerListSource.of(poller::start, poller::close);
    }),

    /** Each gatekeeper follows the zones of the services that it calls at replicas, by incremental transfers. */
    TRANSFER(options -> new ReplicaControlPlane(options.machines, options.controlJvm),
        (vertx, clock, timers, task, news, log) -> {
            DnsTransferClient client = new DnsTransferClient(vertx, clock, timers, new Random(task.seed()), config(task),
                List.of(), news::accept, log);
            return ServerListSource.of(client::start, client::close);
        });

    private final Function<FleetOptions, ControlPlane> controlPlane;
    private final ServerListSource.Factory sources;

    Distribution(Function<FleetOptions, ControlPlane> controlPlane, ServerListSource.Factory sources) {
        this.controlPlane = controlPlane;
        this.sources = sources;
    }

    /** With the budgets that a configuration file has where it names none; machines of the own region are nearer. */
    private static DiscoveryConfig config(ServerListSource.Task task) {
        FleetPlan plan = task.plan();
        List<Address> machines = task.controlMachines();
        String replicas = IntStream.range(0, machines.size())
            .mapToObj(i -> "{\"address\":\"" + machines.get(i).host() + ":" + machines.get(i).port() + "\",\"region\":\""
                + FleetPlan.regionName(plan.regionOf(i)) + "\"}")
            .collect(Collectors.joining(","));
        String zones = plan.zonesOf(task.gatekeeper()).stream().map(zone -> '"' + zone + '"').collect(Collectors.joining(","));
        String region = FleetPlan.regionName(plan.regionOf(task.gatekeeper()));
        return DiscoveryConfig.parse("{\"region\":\"" + region + "\",\"replicas\":[" + replicas + "],\"zones\":[" + zones + "]}");
    }

    /** Servers in the whole list of a gatekeeper. */
    int listedFor(FleetPlan plan, int gatekeeper) {
        return this == POLL ? plan.servers() : plan.listedFor(gatekeeper);
    }

    /** Gatekeepers, of so many, that are to hold a change of the server at this place of the list. */
    int holders(FleetPlan plan, int place, int gatekeepers) {
        return this == POLL ? gatekeepers : plan.followers(place, gatekeepers);
    }

    /** New control machines, which are not open yet. */
    ControlPlane controlPlane(FleetOptions options) {
        return controlPlane.apply(options);
    }

    /** Makes the gatekeepers' clients. */
    ServerListSource.Factory sources() {
        return sources;
    }
}
