package grebewick.lab.fleet;

import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;

/**
 * Who calls whom in a hollow fleet. A service has a DNS zone in each region; a gatekeeper follows the zones of its services
 * in all regions.
 *
 * @param servers listed
 * @param services that the servers are spread over, in turn, and then over the regions
 * @param called services that each gatekeeper calls, drawn by its number
 * @param regions that servers, gatekeepers and control machines are spread over, in turn
 */
public record FleetPlan(int servers, int services, int called, int regions) {
    /** Parts of a region, such as buildings, that fail as a whole. */
    private static final int CELLS = 5;
    private static final List<String> REGION_NAMES = List.of("east", "west");

    /** Checks that there is a server for each zone, a service for each call and a name for each region. */
    public FleetPlan {
        if (regions < 1 || regions > REGION_NAMES.size() || services < 1 || services * regions > servers || called < 1
            || called > services) {
            throw new IllegalArgumentException(
                servers + " servers, " + services + " services, " + called + " called, " + regions + " regions");
        }
    }

    /** A plan of the size wanted, with as many services as the servers suffice for. */
    static FleetPlan fitting(int servers, int services, int called, int regions) {
        int fitting = Math.min(services, servers / regions);
        return new FleetPlan(servers, fitting, Math.min(called, fitting), regions);
    }

    /** The name of the region with this number. */
    static String regionName(int region) {
        return REGION_NAMES.get(region);
    }

    /** The region of the gatekeeper or control machine with this number. */
    int regionOf(int number) {
        return number % regions;
    }

    /** The region of the server at this place of the list. */
    int regionOfServer(int place) {
        return place / services % regions;
    }

    /** The DNS zone of the service of the server at this place of the list, in the server's region. */
    String zone(int place) {
        return zoneName(place % services, regionOfServer(place));
    }

    private static String zoneName(int service, int region) {
        return "s" + service + "." + regionName(region) + ".fleet.local.";
    }

    /** Whether the server at this place of the list is in this fifth of the servers, which has a fifth of each service's. */
    boolean isOfCell(int place, int cell) {
        return (place / (services * regions) + place % services) % CELLS == cell;
    }

    /** All zones of all regions. */
    List<String> zones() {
        return IntStream.range(0, regions).boxed().flatMap(region -> zonesOfRegion(region).stream()).toList();
    }

    /** All zones of a region. */
    List<String> zonesOfRegion(int region) {
        return IntStream.range(0, services).mapToObj(service -> zoneName(service, region)).toList();
    }

    /** The zones of the services that a gatekeeper calls, those of its own region first. */
    List<String> zonesOf(int gatekeeper) {
        List<Integer> own = servicesOf(gatekeeper);
        return IntStream.range(0, regions).map(i -> (regionOf(gatekeeper) + i) % regions).boxed()
            .flatMap(region -> own.stream().map(service -> zoneName(service, region))).toList();
    }

    private List<Integer> servicesOf(int gatekeeper) {
        return new Random(gatekeeper).ints(0, services).distinct().limit(called).boxed().toList();
    }

    /** Servers of the services that a gatekeeper calls, in all regions. */
    int listedFor(int gatekeeper) {
        return servicesOf(gatekeeper).stream().mapToInt(service -> (servers - service + services - 1) / services).sum();
    }

    /** How many of the first {@code gatekeepers} call the service of the server at this place of the list. */
    int followers(int place, int gatekeepers) {
        int service = place % services;
        return (int) IntStream.range(0, gatekeepers).filter(each -> servicesOf(each).contains(service)).count();
    }
}
