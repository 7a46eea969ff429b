package review2;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;

/** The Diameter front as {@code deploy/diameter.json} says, between two stand-in servers, with other ports. */
final class DiaSetting {
    final DiaServer first;
    final DiaServer second;
    final int port;
    final Process gatekeeper;
    private final Map<String, String> env;

    DiaSetting(Kit kit, long holdMs) throws Exception {
        first = new DiaServer(kit, "auth1.kozos-konyha.example", Kit.freePort(), holdMs);
        second = new DiaServer(kit, "auth2.kozos-konyha.example", Kit.freePort(), holdMs);
        port = Kit.freePort();
        String text = Files.readString(Path.of("deploy/diameter.json")).replace("127.0.0.1:3868", "127.0.0.1:" + port)
            .replace("127.0.0.1:3869", "127.0.0.1:" + first.port).replace("127.0.0.1:3870", "127.0.0.1:" + second.port);
        Path file = Files.writeString(kit.folder.resolve("diameter.json"), text);
        env = Map.of("RELAY_DIAMETER", file.toString());
        gatekeeper = kit.gatekeeper(env);
        Kit.awaitPort(port, 20_000);
        for (int i = 0; i < 100 && (first.lines.isEmpty() || second.lines.isEmpty()); i++) {
            Thread.sleep(100);
        }
        Thread.sleep(500);
    }

    /** The same command again, with the same file. */
    Process again(Kit kit) throws Exception {
        return kit.gatekeeper(env);
    }
}
