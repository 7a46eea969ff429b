package grebewick.discovery.replica;

import grebewick.config.Address;
import grebewick.config.ConfigurationException;
import grebewick.config.Endpoint;
import grebewick.core.CallControl.ServerEntry;
import grebewick.core.CallControl.Stage;
import grebewick.discovery.transfer.TransferCodec;
import grebewick.json.Fields;
import grebewick.json.JsonException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The servers by zone, as an operator writes them: an object {@code zones}, in it a list for each zone's absolute name, and
 * in that for each server the fields that the platform's {@code known} has.
 */
final class ZoneFile {
    private static final double WEIGHT_SCALE = 10.0;
    private static final double ROUNDING = 1e-9;
    private static final long US_PER_MS = 1000;

    private ZoneFile() {}

    /** Reads the text of a file; what is wrong is named with its field. */
    static Map<String, List<Endpoint>> parse(String text) {
        Map<String, List<Endpoint>> zones = new LinkedHashMap<>();
        Fields file;
        try {
            file = Fields.parse("the file", text).object("zones");
        } catch (JsonException e) {
            throw new ConfigurationException(e.getMessage());
        }
        for (String zone : file.values().keySet()) {
            zones.put(zone, servers(zone, file));
        }
        return zones;
    }

    private static List<Endpoint> servers(String zone, Fields file) {
        String list = "zones." + zone;
        checkName(list, zone);
        if (!(file.values().get(zone) instanceof List<?> entries)) {
            throw new ConfigurationException(list + " is not a list");
        }
        List<Endpoint> servers = new ArrayList<>(entries.size());
        Set<String> ids = new HashSet<>();
        for (int i = 0; i < entries.size(); i++) {
            String field = list + "[" + i + "]";
            Endpoint server = server(zone, field, entries.get(i));
            if (!ids.add(server.entry().server())) {
                throw new ConfigurationException(field + ": server " + server.entry().server() + " is there twice");
            }
            servers.add(server);
        }
        return servers;
    }

    /** Refuses what is no absolute name of a zone in lower case. */
    static void checkName(String field, String zone) {
        try {
            TransferCodec.checkZone(zone);
        } catch (IllegalArgumentException e) {
            throw new ConfigurationException(field + ": " + e.getMessage());
        }
    }

    private static Endpoint server(String zone, String field, Object value) {
        try {
            Fields f = new Fields(field, Fields.asObject(field, value));
            double weight = f.number("weight", 1);
            if (Math.abs(Math.rint(weight * WEIGHT_SCALE) - weight * WEIGHT_SCALE) > ROUNDING) {
                throw new ConfigurationException(field + ": field weight is no multiple of 0.1");
            }
            ServerEntry entry = new ServerEntry(f.string("name"), Math.toIntExact(f.integer("group", -1)),
                stage(field, f.string("status", "up")), Math.multiplyExact(f.integer("since_ms", 0), US_PER_MS),
                f.string("type", ""), f.string("zone"), weight);
            Endpoint server = new Endpoint(entry, Address.parse(f.string("address")));
            TransferCodec.checkServer(zone, server);
            return server;
        } catch (JsonException e) {
            throw new ConfigurationException(e.getMessage());
        } catch (ArithmeticException | IllegalArgumentException e) {
            throw new ConfigurationException(field + ": " + e.getMessage());
        } catch (ConfigurationException e) {
            throw e.getMessage().startsWith(field) ? e : new ConfigurationException(field + ": " + e.getMessage());
        }
    }

    private static Stage stage(String field, String status) {
        return switch (status) {
            case "up" -> Stage.HEALTHY;
            case "draining" -> Stage.DRAINING;
            default -> throw new ConfigurationException(field + ": field status is neither up nor draining");
        };
    }
}
