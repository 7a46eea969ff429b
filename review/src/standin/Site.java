package standin;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;

/** Configurations of a small deployment, with figures of the site files. */
public final class Site {
    /** kozos-konyha, of 2 or 3 servers and so many gatekeepers. */
    public static String kozosKonyha(int gatekeepers, int servers) {
        return settings(gatekeepers, servers, "recept-olvasas", 4, true, 400, 500, 2000, 2000, 0.34,
            "\"Fields\":[\"free\",\"size\",\"can_take\"],\"How\":\"inline\"", "0.0029");
    }

    /** reykjavik-billing. */
    public static String reykjavik(int gatekeepers, int servers) {
        return settings(gatekeepers, servers, "statement-read", 6, false, 800, 200, 500, 3000, 0.3,
            "\"Fields\":[\"free\",\"size\",\"hold_back\",\"latency_ms\"],\"How\":\"on_probe\"", "0.004");
    }

    private static String settings(int gatekeepers, int servers, String tier, int attempts, boolean peers, int resendMs,
                                   int releaseMs, int drainMs, int fallMs, double coldFrom, String report, String probeFee) {
        StringBuilder pools = new StringBuilder();
        for (int i = 0; i < servers; i++) {
            pools.append(i == 0 ? "" : ",").append(i);
        }
        return "{\"Bounds\":{\"AttemptsCap\":" + attempts + ",\"Cancel\":true,\"ConnectTimeout\":500000,\"CpuUsPerRequest\":0.0,"
            + "\"CpuUsPerS\":400000,\"IdleClose\":600000000,\"MaxOpen\":20000,\"MaxRetryAfter\":2000000,\"Peers\":" + peers
            + ",\"Probes\":true,\"RetryAfter\":" + !peers + ",\"SecondCopies\":false,\"StreamsPerConn\":1048576},"
            + "\"Clients\":{\"MarksRetry\":true},\"Family\":\"trunks\",\"FamilyInfo\":{\"FarState\":\"inline\",\"HintsRoute\":false,"
            + "\"HomeNo\":-1,\"MeanHold\":[9900000],\"PoolsByClass\":[[" + pools + "]],\"Release\":" + releaseMs * 1000
            + ",\"Resend\":" + resendMs * 1000 + ",\"RetryHint\":false,\"Shape\":\"pools\",\"Widths\":[1]},"
            + "\"Fees\":{\"LateFail\":0.065,\"Probe\":" + probeFee + ",\"Waste\":0.16},\"Flavors\":[\"kis-gep\"],"
            + "\"Grades\":[{\"DedupScope\":\"all\",\"Effect\":\"retryable\",\"GoalTime\":1500000,\"HardLimit\":9000000,"
            + "\"LateValue\":0.1,\"Name\":\"" + tier + "\",\"Stream\":true,\"Window\":5000000,\"Worth\":1.0}],\"Me\":0,"
            + "\"OverShareWorth\":0.1,\"Period\":5000,\"Realms\":[],\"RegistryMode\":\"push\",\"ReplicasOfMe\":" + gatekeepers
            + ",\"Report\":{" + report + "},\"Rules\":{\"AnswerSlack\":20000,\"AskWithin\":10000000,\"Cold\":15000000,\"ColdFrom\":"
            + coldFrom + ",\"DrainGrace\":" + drainMs * 1000 + ",\"Fall\":" + fallMs * 1000 + ",\"OverloadFactor\":3.0},\"Stage\":0,"
            + "\"Tiers\":[\"servers\"],\"WeightSource\":\"off\",\"WorthBy\":\"request\",\"Zone\":\"a\",\"Zones\":[\"a\",\"b\"]}";
    }

    /** Writes the configuration of one gatekeeper and starts it. */
    public static Program start(String name, int port, Names names, String settings, Path temporary, Record record)
        throws IOException {
        Path file = temporary.resolve(name + ".json");
        Files.writeString(file, config(name, port, names, settings));
        return Program.start(Map.of("RELAY_CONFIG", file.toString(), "RELAY_NAME", name, "RELAY_LISTEN", "127.0.0.1:" + port),
            temporary, record, name);
    }

    public static String config(String name, int port, Names names, String settings) {
        return "{\"name\":\"" + name + "\",\"listen\":\"127.0.0.1:" + port + "\",\"seed\":\""
            + Long.toHexString(System.nanoTime() & 0xffffffffL) + "\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},"
            + "\"peers\":[],\"names\":\"127.0.0.1:" + names.port + "\",\"known\":" + names.known() + ",\"settings\":" + settings + "}";
    }
}
