package grebewick.lab.fleet;

import grebewick.config.Address;
import grebewick.lab.StandInNames.Host;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** The configuration files of a region's primaries and of their replicas (docs/replica.md), in a folder of their own. */
final class ControlFiles {
    /** Where nobody listens: RFC 863, which no host serves. */
    private static final String NOWHERE = "127.0.0.1:9";
    /** Between two lines with the counters. */
    private static final int COUNTERS_MS = 100;

    private final FleetPlan plan;
    private final Path folder;

    ControlFiles(FleetPlan plan) throws IOException {
        this.plan = plan;
        folder = Files.createTempDirectory("hollow-fleet");
    }

    /** Writes a primary's configuration; gives the file. */
    Path writePrimary(int region) throws IOException {
        return write("primary-" + region + ".json", primary(region));
    }

    /** The servers of a region. */
    void writeZones(int region, Map<Integer, Host> hosts) throws IOException {
        write("zones-" + region + ".json", zones(plan, region, hosts));
    }

    /** Writes a replica's configuration; gives the file. */
    Path writeReplica(int replica, Address listen, List<Address> primaries, boolean isSplit) throws IOException {
        return write("replica-" + replica + ".json", replica(plan, listen, primaries, isSplit ? plan.regionOf(replica) : -1));
    }

    private Path write(String name, String text) throws IOException {
        Path file = folder.resolve(name);
        Path whole = Files.writeString(folder.resolve(name + ".new"), text);
        return Files.move(whole, file, StandardCopyOption.REPLACE_EXISTING, StandardCopyOption.ATOMIC_MOVE);
    }

    private static String primary(int region) {
        return "{\"listen\":\"127.0.0.1:0\",\"role\":\"primary\",\"counters_ms\":" + COUNTERS_MS + ",\"zone_file\":\"zones-"
            + region
            + ".json\"}";
    }

    /**
     * The text of a replica's file.
     *
     * @param reachable the one region whose primary it hears; -1: it hears all
     */
    static String replica(FleetPlan plan, Address listen, List<Address> primaries, int reachable) {
        List<String> sources = new ArrayList<>();
        for (int region = 0; region < plan.regions(); region++) {
            String upstream = reachable < 0 || region == reachable ? primaries.get(region).toString() : NOWHERE;
            sources.add("{\"upstreams\":[\"" + upstream + "\"],\"zones\":["
                + plan.zonesOfRegion(region).stream().map(zone -> '"' + zone + '"').collect(Collectors.joining(",")) + "]}");
        }
        return "{\"listen\":\"" + listen + "\",\"role\":\"secondary\",\"counters_ms\":" + COUNTERS_MS + ",\"sources\":["
            + String.join(",", sources) + "]}";
    }

    /** The text of a region's servers by zone; a zone without servers has an empty list. */
    static String zones(FleetPlan plan, int region, Map<Integer, Host> hosts) {
        Map<String, List<String>> byZone = new TreeMap<>();
        plan.zonesOfRegion(region).forEach(zone -> byZone.put(zone, new ArrayList<>()));
        hosts.forEach((place, host) -> {
            if (plan.regionOfServer(place) == region) {
                byZone.get(plan.zone(place)).add(server(host));
            }
        });
        return byZone.entrySet().stream().map(zone -> "\"" + zone.getKey() + "\":[" + String.join(",", zone.getValue()) + "]")
            .collect(Collectors.joining(",\n", "{\"zones\":{", "}}\n"));
    }

    private static String server(Host host) {
        return "{\"name\":\"" + host.id() + "\",\"address\":\"127.0.0.1:" + host.port() + "\",\"zone\":\"" + host.zone()
            + "\",\"type\":\"std\",\"group\":" + host.group() + ",\"status\":\"" + (host.drains() ? "draining" : "up")
            + "\",\"weight\":4,\"since_ms\":" + host.startedMs() + "}";
    }

    /** Removes all of them. */
    void delete() throws IOException {
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(file);
            }
        }
    }
}
