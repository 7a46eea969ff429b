package grebewick.discovery.replica;

import grebewick.config.Address;
import grebewick.config.ConfigurationException;
import grebewick.discovery.transfer.DiscoveryConfig;
import grebewick.discovery.transfer.Replica;
import grebewick.json.Fields;
import grebewick.json.JsonException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * A replica's own file, such as {@code deploy/replica.json}.
 *
 * @param listen for UDP and TCP
 * @param zoneFile of a primary; null: a secondary
 * @param markFile of a primary: beside the zones' file unless named
 * @param sources the zones and upstreams of a secondary, such as one source for each region's primary; empty: a primary
 * @param countersUs us. Between two lines with the counters
 */
public record ReplicaConfig(Address listen, Path zoneFile, Path markFile, List<DiscoveryConfig> sources,
                            LimitSettings limits, HistoryLimits history, ServerLimits server, long countersUs) {
    /** Changes and bytes of history for a zone: a hundred changes of a zone of usual size, which are minutes. */
    private static final HistoryLimits HISTORY = new HistoryLimits(4_096, 65_536);
    private static final long US_PER_MS = 1_000;
    private static final long COUNTERS_MS = 60_000;
    /** A change passes two replicas within the 9 s that it has in all. */
    private static final long POLL_MS = 1_000;
    private static final long TIMEOUT_US = 500_000;
    private static final long TRANSFER_US = 10_000_000;
    /** 1,000 zones polled every second. */
    private static final long POLL_BYTES_PER_S = 256_000;
    private static final long TRANSFER_BYTES_PER_S = 4_000_000;
    private static final long MAX_TRANSFER_BYTES = 64 << 20;

    /** Reads the file; paths in it are relative to its folder. */
    public static ReplicaConfig load(String name) {
        Path path = Path.of(name);
        String text;
        try {
            text = Files.readString(path);
        } catch (IOException e) {
            throw new ConfigurationException(name + ": cannot be read: " + e);
        }
        try {
            return parse(text, path.toAbsolutePath().getParent());
        } catch (ConfigurationException e) {
            throw new ConfigurationException(name + ": " + e.getMessage());
        }
    }

    /** Reads the text of a file. */
    static ReplicaConfig parse(String text, Path folder) {
        try {
            Fields f = Fields.parse("replica", text);
            Address listen = address("listen", f.string("listen"));
            Fields limits = f.has("limits") ? f.object("limits") : new Fields("replica.limits", Map.of());
            LimitSettings usual = LimitSettings.DEFAULT;
            LimitSettings settings = new LimitSettings((int) positive(limits, "transfers", usual.transfers()),
                positive(limits, "copy_bytes_per_s", usual.copyBytesPerSecond()),
                positive(limits, "queries_per_s", usual.queriesPerSecond()));
            HistoryLimits history = new HistoryLimits((int) positive(limits, "history_changes", HISTORY.changes()),
                positive(limits, "history_bytes", HISTORY.bytes()));
            ServerLimits server = ServerLimits.DEFAULT.withConnections((int) positive(limits, "connections",
                ServerLimits.DEFAULT.connections()));
            long countersUs = US_PER_MS * positive(f, "counters_ms", COUNTERS_MS);
            return switch (f.string("role")) {
                case "primary" -> {
                    Path zoneFile = folder.resolve(f.string("zone_file"));
                    Path markFile = folder.resolve(f.string("mark_file", f.string("zone_file") + ".marks"));
                    yield new ReplicaConfig(listen, zoneFile, markFile, List.of(), settings, history, server, countersUs);
                }
                case "secondary" -> new ReplicaConfig(listen, null, null, sources(f), settings, history, server, countersUs);
                default -> throw new ConfigurationException("replica: field role is neither primary nor secondary");
            };
        } catch (JsonException e) {
            throw new ConfigurationException(e.getMessage());
        }
    }

    /** Each of {@code sources}, or the one that the file itself is. */
    private static List<DiscoveryConfig> sources(Fields f) {
        if (!f.has("sources")) {
            return List.of(source(f, f));
        }
        if (f.has("upstreams") || f.has("zones")) {
            throw new ConfigurationException("replica: field sources stands beside upstreams or zones");
        }
        List<DiscoveryConfig> sources = f.objects("sources").stream().map(each -> source(f, each)).toList();
        if (sources.isEmpty()) {
            throw new ConfigurationException("replica: field sources is empty");
        }
        Set<String> seen = new HashSet<>();
        for (DiscoveryConfig source : sources) {
            for (String zone : source.zones()) {
                if (!seen.add(zone)) {
                    throw new ConfigurationException("replica: field sources has zone " + zone + " twice");
                }
            }
        }
        return sources;
    }

    /** One source: its own upstreams and zones, with what the file says for all. */
    private static DiscoveryConfig source(Fields f, Fields own) {
        // Upstreams are equally near: each secondary asks them in an order of its own drawing.
        List<Replica> upstreams = own.strings("upstreams").stream().map(text -> new Replica(address("upstreams", text), "", ""))
            .toList();
        if (upstreams.isEmpty()) {
            throw new ConfigurationException("replica: field upstreams is missing or empty");
        }
        return new DiscoveryConfig("", "", upstreams, zones(own), US_PER_MS * positive(f, "poll_ms", POLL_MS), TIMEOUT_US,
            TRANSFER_US, positive(f, "poll_bytes_per_s", POLL_BYTES_PER_S),
            positive(f, "transfer_bytes_per_s", TRANSFER_BYTES_PER_S), MAX_TRANSFER_BYTES);
    }

    private static List<String> zones(Fields f) {
        Set<String> zones = new LinkedHashSet<>(f.strings("zones"));
        if (zones.isEmpty()) {
            throw new ConfigurationException("replica: field zones is missing or empty");
        }
        zones.forEach(zone -> ZoneFile.checkName("replica: field zones", zone));
        return List.copyOf(zones);
    }

    private static Address address(String field, String text) {
        try {
            return Address.parse(text);
        } catch (ConfigurationException e) {
            throw new ConfigurationException("replica: field " + field + ": " + e.getMessage());
        }
    }

    private static long positive(Fields fields, String name, long usual) {
        long value = fields.integer(name, usual);
        if (value < 1 || value > Integer.MAX_VALUE) {
            throw new ConfigurationException(fields.message() + ": field " + name + " is not between 1 and " + Integer.MAX_VALUE);
        }
        return value;
    }
}
