package grebewick.diameter;

import grebewick.acme.AcmeConfig;
import grebewick.config.Address;
import grebewick.config.ConfigurationException;
import grebewick.config.SettingsReader;
import grebewick.core.CallControl.Settings;
import grebewick.core.Logic;
import grebewick.json.Fields;
import grebewick.json.JsonException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;

/**
 * The Diameter front's own file, such as {@code deploy/diameter.json}. {@code clients} empty: any may connect;
 * {@code acme} null: without TLS.
 */
public record DiameterConfig(Address listen, String host, String realm, Set<String> clients, String band,
                             long requestUs, long watchdogUs, long jitterUs, long reconnectUs, List<Peer> peers,
                             Settings settings, AcmeConfig acme) {
    /** RFC 3539: Tw is 6 s at the least. Tests may go lower, files may not. */
    private static final long LEAST_WATCHDOG_MS = 6_000;

    /** A server that authorises. */
    record Peer(String host, Address address, int group, String zone) {}

    /** Reads the file. */
    public static DiameterConfig load(String path) {
        try {
            return parse(Files.readString(Path.of(path)));
        } catch (IOException e) {
            throw new ConfigurationException("RELAY_DIAMETER: cannot read the file");
        }
    }

    static DiameterConfig parse(String text) {
        try {
            Fields f = Fields.parse("diameter", text);
            Settings settings = SettingsReader.read(f.object("settings"));
            new Logic(settings, 0);
            long watchdogMs = f.integer("watchdog_ms", 30_000);
            if (watchdogMs < LEAST_WATCHDOG_MS) {
                throw new ConfigurationException("diameter: field watchdog_ms is under " + LEAST_WATCHDOG_MS);
            }
            List<Peer> peers = f.objects("peers").stream().map(p -> new Peer(p.string("host"),
                Address.parse(p.string("address")), (int) p.integer("group", 0), p.string("zone", ""))).toList();
            return new DiameterConfig(Address.parse(f.string("listen")), f.string("host"), f.string("realm"),
                Set.copyOf(f.strings("clients")), f.string("class", settings.grades().get(0).name()),
                f.integer("request_ms", 9_000) * 1000, watchdogMs * 1000, f.integer("jitter_ms", 2_000) * 1000,
                f.integer("reconnect_ms", 30_000) * 1000, peers, settings,
                f.has("acme") ? AcmeConfig.read(f.object("acme")) : null);
        } catch (JsonException | IllegalArgumentException | IndexOutOfBoundsException e) {
            throw new ConfigurationException("diameter: " + e.getMessage());
        }
    }
}
