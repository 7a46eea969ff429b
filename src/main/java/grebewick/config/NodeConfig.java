package grebewick.config;

import grebewick.core.CallControl.FamilyInfo;
import grebewick.core.CallControl.ServerEntry;
import grebewick.core.CallControl.Settings;
import grebewick.core.CallControl.Stage;
import grebewick.core.Logic;
import grebewick.json.Fields;
import grebewick.json.JsonException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** What a gatekeeper is told at its start, from the RELAY variables and the JSON file that they name. */
public record NodeConfig(String name, Address listen, long seed, Address peerListen, List<Address> peers,
                         Address peersAll, Address names, long index, List<Endpoint> known, int sockets,
                         Settings settings) {
    /** Descriptors where the file sets no limit. */
    public static final int SOCKETS = 1024;

    /** us. Kept on top of the release time: a give-up reaches the server later than a fast new set-up may. */
    private static final long RELEASE_MARGIN_US = 60_000;

    /** Reads the variables and the file. */
    public static NodeConfig load(Map<String, String> env) {
        String path = env.get("RELAY_CONFIG");
        if (path == null || path.isBlank()) {
            throw new ConfigurationException("RELAY_CONFIG is not set");
        }
        String text;
        try {
            text = Files.readString(Path.of(path));
        } catch (IOException | RuntimeException e) {
            throw new ConfigurationException("RELAY_CONFIG: cannot read the file");
        }
        return parse(text, env);
    }

    /** Reads the text of a file. */
    public static NodeConfig parse(String text, Map<String, String> env) {
        try {
            Fields f = Fields.parse("config", text);
            String listen = env.getOrDefault("RELAY_LISTEN", f.string("listen", ""));
            List<Address> peers = f.strings("peers").stream().map(Address::parse).toList();
            Map<String, Endpoint> known = new LinkedHashMap<>();
            Fields news = f.has("known") ? f.object("known") : new Fields("known", Map.of());
            for (Fields update : updates(news)) {
                apply(known, update);
            }
            Settings settings = margins(SettingsReader.read(f.object("settings")));
            // Refuses here, before anything is opened or changed, what the decisions cannot work with.
            new Logic(settings, 0);
            return new NodeConfig(env.getOrDefault("RELAY_NAME", f.string("name", "gatekeeper")),
                Address.parse(listen), Long.parseUnsignedLong(f.string("seed", "0"), 16),
                optional(f, "peer_listen"), peers, optional(f, "peers_all"), optional(f, "names"),
                news.integer("index", 0), List.copyOf(known.values()),
                f.has("limits") ? (int) f.object("limits").integer("sockets", SOCKETS) : SOCKETS,
                settings);
        } catch (JsonException | IllegalArgumentException e) {
            throw new ConfigurationException("RELAY_CONFIG: " + e.getMessage());
        }
    }

    /** The events: each may be wrapped with its number, and may be given with or without a list round it. */
    private static List<Fields> updates(Fields known) {
        List<Fields> result = new ArrayList<>();
        for (Fields update : known.has("updates") ? known.objects("updates") : List.of(known)) {
            Fields inner = update;
            while (inner.values().get("endpoints") instanceof Map) {
                inner = inner.object("endpoints");
            }
            result.add(inner);
        }
        return result;
    }

    private static void apply(Map<String, Endpoint> known, Fields update) {
        if (update.flag("snapshot")) {
            known.clear();
        }
        for (Fields e : update.objects("endpoints")) {
            String id = e.string("name");
            Stage stage = switch (e.string("status", "up")) {
                case "draining" -> Stage.DRAINING;
                case "removed" -> Stage.DEREGISTERED;
                default -> Stage.HEALTHY;
            };
            if (stage == Stage.DEREGISTERED) {
                known.remove(id);
                continue;
            }
            known.put(id, new Endpoint(new ServerEntry(id, (int) e.integer("group", -1), stage,
                e.integer("since_ms", 0) * 1000, e.string("type", ""), e.string("zone", ""),
                e.number("weight", 1)), Address.parse(e.string("address"))));
        }
    }

    private static Address optional(Fields f, String name) {
        return f.has(name) ? Address.parse(f.string(name)) : null;
    }

    private static Settings margins(Settings s) {
        FamilyInfo f = s.familyInfo();
        FamilyInfo wider = new FamilyInfo(f.farState(), f.hintsRoute(), f.homeNo(), f.meanHoldUs(),
            f.poolsByClass(), f.releaseUs() + RELEASE_MARGIN_US, f.resendUs(), f.retryHint(), f.shape(), f.widths());
        return new Settings(s.blend(), s.bounds(), s.clients(), s.family(), wider, s.fees(), s.flavors(),
            s.grades(), s.me(), s.overShareWorth(), s.periodUs(), s.realms(), s.registryMode(), s.replicasOfMe(),
            s.report(), s.rules(), s.stage(), s.tiers(), s.weightSource(), s.worthBy(), s.zone(), s.zones());
    }
}
