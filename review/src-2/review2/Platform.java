package review2;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** A gatekeeper of the platform between stand-ins, with the settings of one of the sites. */
final class Platform {
    final Names names;
    final List<TrunkServer> servers = new ArrayList<>();
    final int port;
    final Path file;
    /** Figures of the site, as the wire names them. */
    final Map<String, String> figures;
    Process gatekeeper;
    private final Kit kit;

    Platform(Kit kit, int count, long holdMs, Map<String, String> figures) throws Exception {
        this.kit = kit;
        this.figures = new java.util.HashMap<>(figures);
        names = new Names(kit);
        for (int i = 0; i < count; i++) {
            TrunkServer server = new TrunkServer(kit, "s-" + (i + 1), Kit.freePort(), holdMs);
            servers.add(server);
            names.list.put(server.name, new Names.Entry(server.port, i, false, 0));
        }
        port = Kit.freePort();
        file = kit.folder.resolve("config.json");
    }

    void start() throws Exception {
        write();
        gatekeeper = kit.gatekeeper(Map.of("RELAY_CONFIG", file.toString(), "RELAY_NAME", "n0"));
        Kit.awaitPort(port, 20_000);
    }

    /** Writes the configuration; a reader sees the old file or the new one. */
    void write() throws IOException {
        List<String> known = new ArrayList<>();
        List<String> cells = new ArrayList<>();
        for (int i = 0; i < servers.size(); i++) {
            known.add("{\"name\":\"" + servers.get(i).name + "\",\"address\":\"127.0.0.1:" + servers.get(i).port
                + "\",\"zone\":\"budapest\",\"type\":\"kis-gep\",\"group\":" + i + ",\"status\":\"up\",\"weight\":4,\"since_ms\":0}");
            cells.add(Integer.toString(i));
        }
        String text = """
            {"name":"n0","listen":"127.0.0.1:%PORT%","seed":"8c1f30d27a5be964","names":"127.0.0.1:%NAMES%",
             "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
             "known":{"index":1,"updates":[{"index":1,"endpoints":{"index":1,"snapshot":true,"endpoints":[%KNOWN%]}}]},
             "settings":{"Blend":{"Whole":0.8,"WorstWindow":0.2},
              "Bounds":{"AttemptsCap":%ATTEMPTS%,"Cancel":true,"ConnectTimeout":500000,"CpuUsPerS":400000,"IdleClose":600000000,
               "MaxOpen":20000,"MaxRetryAfter":2000000,"Peers":false,"Probes":true,"RetryAfter":false,"SecondCopies":false,
               "StreamsPerConn":1048576},
              "Clients":{"MarksRetry":true},"Family":"trunks",
              "FamilyInfo":{"FarState":"off","HintsRoute":false,"HomeNo":-1,"MeanHold":[9900000],"PoolsByClass":[[%CELLS%]],
               "Release":%RELEASE%,"Resend":%RESEND%,"RetryHint":false,"Shape":"pools","Widths":[1]},
              "Fees":{"LateFail":0.065,"Probe":0.0029,"Waste":0.16},"Flavors":["kis-gep"],
              "Grades":[{"DedupScope":"all","Effect":"%EFFECT%","GoalTime":1500000,"HardLimit":9000000,"LateValue":0.1,
               "Name":"%CLASS%","Stream":true,"Window":5000000,"Worth":1.0}],
              "Me":0,"OverShareWorth":0.1,"Period":5000,"Realms":[],"RegistryMode":"push","ReplicasOfMe":6,
              "Report":{"Fields":["free","size"],"How":"inline"},
              "Rules":{"AnswerSlack":20000,"AskWithin":10000000,"Cold":15000000,"ColdFrom":0.34,"DrainGrace":%GRACE%,
               "Fall":2000000,"OverloadFactor":3.0},
              "Stage":0,"Tiers":["t"],"WeightSource":"off","WorthBy":"request","Zone":"budapest","Zones":["budapest"]}}
            """.replace("%PORT%", "" + port).replace("%NAMES%", "" + names.port).replace("%KNOWN%", String.join(",", known))
            .replace("%CELLS%", String.join(",", cells));
        for (Map.Entry<String, String> each : figures.entrySet()) {
            text = text.replace("%" + each.getKey() + "%", each.getValue());
        }
        Path draft = Files.writeString(file.resolveSibling("config.new"), text);
        Files.move(draft, file, java.nio.file.StandardCopyOption.REPLACE_EXISTING);
    }

    /** The figures of {@code kozos-konyha}. */
    static Map<String, String> kozos() {
        return Map.of("ATTEMPTS", "4", "RELEASE", "500000", "RESEND", "400000", "EFFECT", "retryable", "CLASS", "recept-olvasas",
            "GRACE", "2000000");
    }

    /** The figures of {@code reykjavik-billing}. */
    static Map<String, String> reykjavik() {
        return Map.of("ATTEMPTS", "6", "RELEASE", "200000", "RESEND", "800000", "EFFECT", "retryable", "CLASS", "statement-read",
            "GRACE", "500000");
    }
}
