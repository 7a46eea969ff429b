package grebewick.discovery.replica;

import grebewick.benchlink.Codec;
import grebewick.benchlink.Fields;
import grebewick.benchlink.WireException;
import grebewick.config.Address;
import grebewick.config.BadConfig;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * A replica's own file, such as {@code deploy/replica.json}.
 *
 * @param listen for UDP and TCP
 * @param zoneFile of a primary; null: a secondary
 * @param markFile of a primary: beside the zones' file unless named
 * @param upstreams of a secondary
 * @param zones of a secondary
 */
public record ReplicaConfig(Address listen, Path zoneFile, Path markFile, List<Address> upstreams, Set<String> zones,
                            LimitSettings limits, HistoryLimits history, ServerLimits server) {
    /** Changes and bytes of history for a zone: a hundred changes of a zone of usual size, which are minutes. */
    private static final HistoryLimits HISTORY = new HistoryLimits(4_096, 65_536);

    /** Reads the file; paths in it are relative to its folder. */
    public static ReplicaConfig load(String name) {
        Path path = Path.of(name);
        String text;
        try {
            text = Files.readString(path);
        } catch (IOException e) {
            throw new BadConfig(name + ": cannot be read: " + e);
        }
        try {
            return parse(text, path.toAbsolutePath().getParent());
        } catch (BadConfig e) {
            throw new BadConfig(name + ": " + e.getMessage());
        }
    }

    /** Reads the text of a file. */
    static ReplicaConfig parse(String text, Path folder) {
        try {
            Fields f = new Fields("replica", Fields.asObject("replica", Codec.parse(text)));
            Address listen = address("listen", f.string("listen"));
            Fields limits = f.has("limits") ? f.object("limits") : new Fields("replica.limits", java.util.Map.of());
            LimitSettings usual = LimitSettings.DEFAULT;
            LimitSettings settings = new LimitSettings((int) positive(limits, "transfers", usual.transfers()),
                positive(limits, "copy_bytes_per_s", usual.copyBytesPerSecond()),
                positive(limits, "queries_per_s", usual.queriesPerSecond()));
            HistoryLimits history = new HistoryLimits((int) positive(limits, "history_changes", HISTORY.changes()),
                positive(limits, "history_bytes", HISTORY.bytes()));
            ServerLimits server = ServerLimits.DEFAULT.withConnections((int) positive(limits, "connections",
                ServerLimits.DEFAULT.connections()));
            return switch (f.string("role")) {
                case "primary" -> {
                    Path zoneFile = folder.resolve(f.string("zone_file"));
                    Path markFile = folder.resolve(f.string("mark_file", f.string("zone_file") + ".marks"));
                    yield new ReplicaConfig(listen, zoneFile, markFile, List.of(), Set.of(), settings, history, server);
                }
                case "secondary" -> new ReplicaConfig(listen, null, null, upstreams(f), zones(f), settings, history, server);
                default -> throw new BadConfig("replica: field role is neither primary nor secondary");
            };
        } catch (WireException e) {
            throw new BadConfig(e.getMessage());
        }
    }

    private static List<Address> upstreams(Fields f) {
        List<Address> upstreams = f.strings("upstreams").stream().map(text -> address("upstreams", text)).toList();
        if (upstreams.isEmpty()) {
            throw new BadConfig("replica: field upstreams is missing or empty");
        }
        return upstreams;
    }

    private static Set<String> zones(Fields f) {
        Set<String> zones = new LinkedHashSet<>(f.strings("zones"));
        if (zones.isEmpty()) {
            throw new BadConfig("replica: field zones is missing or empty");
        }
        zones.forEach(zone -> ZoneFile.checkName("replica: field zones", zone));
        return zones;
    }

    private static Address address(String field, String text) {
        try {
            return Address.parse(text);
        } catch (BadConfig e) {
            throw new BadConfig("replica: field " + field + ": " + e.getMessage());
        }
    }

    private static long positive(Fields limits, String name, long usual) {
        long value = limits.integer(name, usual);
        if (value < 1 || value > Integer.MAX_VALUE) {
            throw new BadConfig(limits.message() + ": field " + name + " is not between 1 and " + Integer.MAX_VALUE);
        }
        return value;
    }
}
