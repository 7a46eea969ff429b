package grebewick.lab.fleet;

import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;

/**
 * Who calls whom in a hollow fleet.
 *
 * @param servers listed
 * @param services that the servers are spread over, in turn
 * @param called services that each gatekeeper calls, drawn by its number
 */
public record FleetPlan(int servers, int services, int called) {
    /** Checks that there is a server for each service and a service for each call. */
    public FleetPlan {
        if (services < 1 || services > servers || called < 1 || called > services) {
            throw new IllegalArgumentException(servers + " servers, " + services + " services, " + called + " called");
        }
    }

    /** The DNS zone of the service of the server at this place of the list. */
    String zone(int place) {
        return zoneOfService(place % services);
    }

    private static String zoneOfService(int service) {
        return "s" + service + ".east.fleet.local.";
    }

    /** All zones. */
    List<String> zones() {
        return IntStream.range(0, services).mapToObj(FleetPlan::zoneOfService).toList();
    }

    /** The zones of the services that a gatekeeper calls. */
    List<String> zonesOf(int gatekeeper) {
        return servicesOf(gatekeeper).stream().map(FleetPlan::zoneOfService).toList();
    }

    private List<Integer> servicesOf(int gatekeeper) {
        return new Random(gatekeeper).ints(0, services).distinct().limit(called).boxed().toList();
    }

    /** Servers of the services that a gatekeeper calls. */
    int listedFor(int gatekeeper) {
        return servicesOf(gatekeeper).stream().mapToInt(service -> (servers - service + services - 1) / services).sum();
    }

    /** How many of the first {@code gatekeepers} call the service of the server at this place of the list. */
    int followers(int place, int gatekeepers) {
        int service = place % services;
        return (int) IntStream.range(0, gatekeepers).filter(each -> servicesOf(each).contains(service)).count();
    }
}
