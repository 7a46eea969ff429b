package grebewick.discovery.transfer;

import grebewick.config.Address;
import grebewick.config.ConfigurationException;
import grebewick.json.Fields;
import grebewick.json.JsonException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;

/**
 * The file that {@code RELAY_DISCOVERY} names, such as {@code deploy/discovery.json}.
 *
 * @param region and
 * @param zone where this client runs, in the operators' own names
 * @param zones the DNS zones to follow, absolute and in lower case
 * @param pollUs us. Between two polls of a zone, where the budget allows it
 * @param timeoutUs us. For an answer by UDP
 * @param transferUs us. For a whole transfer over TCP
 * @param pollBytesPerSecond for what goes by UDP, both ways
 * @param transferBytesPerSecond for what comes over TCP
 * @param maxTransferBytes of one answer
 */
public record DiscoveryConfig(String region, String zone, List<Replica> replicas, List<String> zones, long pollUs,
                              long timeoutUs, long transferUs, long pollBytesPerSecond, long transferBytesPerSecond,
                              long maxTransferBytes) {
    private static final String FILE = "RELAY_DISCOVERY";
    private static final long US_PER_MS = 1_000;
    private static final long POLL_MS = 2_000;
    private static final long TIMEOUT_MS = 500;
    private static final long TRANSFER_MS = 3_000;
    private static final long POLL_BYTES_PER_S = 8_000;
    private static final long TRANSFER_BYTES_PER_S = 12_000;
    /** Some 60,000 servers. */
    private static final long MAX_TRANSFER_BYTES = 8 << 20;
    /** Bytes of a DNS name without its length octets. */
    private static final int MAX_NAME = 253;

    /** Reads the file. */
    public static DiscoveryConfig load(String path) {
        String text;
        try {
            text = Files.readString(Path.of(path));
        } catch (IOException | RuntimeException e) {
            throw new ConfigurationException(FILE + ": cannot read the file " + path);
        }
        return parse(text);
    }

    /** Reads the text of a file. */
    public static DiscoveryConfig parse(String text) {
        try {
            Fields fields = Fields.parse("discovery", text);
            return new DiscoveryConfig(fields.string("region"), fields.string("zone", ""), replicas(fields), zones(fields),
                US_PER_MS * positive(fields, "poll_ms", POLL_MS), US_PER_MS * positive(fields, "timeout_ms", TIMEOUT_MS),
                US_PER_MS * positive(fields, "transfer_ms", TRANSFER_MS),
                positive(fields, "poll_bytes_per_s", POLL_BYTES_PER_S),
                positive(fields, "transfer_bytes_per_s", TRANSFER_BYTES_PER_S),
                positive(fields, "max_transfer_bytes", MAX_TRANSFER_BYTES));
        } catch (ConfigurationException e) {
            throw e.getMessage().startsWith(FILE) ? e : new ConfigurationException(FILE + ": " + e.getMessage());
        } catch (JsonException e) {
            throw new ConfigurationException(FILE + ": " + e.getMessage());
        }
    }

    private static List<Replica> replicas(Fields fields) {
        fields.neededList("replicas");
        List<Replica> replicas = fields.objects("replicas").stream()
            .map(each -> new Replica(address(each), each.string("region"), each.string("zone", ""))).toList();
        if (replicas.isEmpty()) {
            throw bad("replicas", "is empty");
        }
        HashSet<Address> seen = new HashSet<>();
        for (Replica replica : replicas) {
            if (!seen.add(replica.address())) {
                throw bad("replicas", "has " + replica.address() + " twice");
            }
        }
        return replicas;
    }

    private static Address address(Fields replica) {
        try {
            Address address = Address.parse(replica.string("address"));
            if (address.port() == 0) {
                throw bad("replicas.address", "has port 0");
            }
            return address;
        } catch (ConfigurationException e) {
            throw bad("replicas.address", e.getMessage());
        }
    }

    private static List<String> zones(Fields fields) {
        fields.neededList("zones");
        List<String> zones = fields.strings("zones").stream().map(name -> name.toLowerCase(Locale.ROOT)).toList();
        if (zones.isEmpty()) {
            throw bad("zones", "is empty");
        }
        HashSet<String> seen = new HashSet<>();
        for (String name : zones) {
            if (!isAbsoluteName(name)) {
                throw bad("zones", "has '" + name + "', which is no absolute name such as s12.east.fleet.local.");
            }
            if (!seen.add(name)) {
                throw bad("zones", "has " + name + " twice");
            }
        }
        return zones;
    }

    private static boolean isAbsoluteName(String name) {
        return name.length() <= MAX_NAME && name.matches("([a-z0-9_]([a-z0-9_-]{0,62})\\.)+");
    }

    private static long positive(Fields fields, String name, long absent) {
        long value = fields.integer(name, absent);
        if (value < 1 || value > Integer.MAX_VALUE) {
            throw bad(name, "is " + value + ", not between 1 and " + Integer.MAX_VALUE);
        }
        return value;
    }

    private static ConfigurationException bad(String field, String fault) {
        return new ConfigurationException("discovery: field " + field + " " + fault);
    }
}
