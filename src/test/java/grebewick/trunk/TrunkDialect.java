package grebewick.trunk;

import grebewick.play.Dialect;
import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.function.Consumer;

/** A server's messages as text: {@code set-up 01 tier number offer}, {@code release 01 34 cpu_full}. */
public final class TrunkDialect implements Dialect {
    private static final Map<String, Integer> TYPES = Map.of("set-up", 1, "progress", 6, "answer", 9, "release", 12,
        "released", 16, "state", 43, "test", 52, "tested", 53);

    @Override
    public Buffer encode(String text) {
        String[] w = text.split(" ", 4);
        if (w[0].equals("raw")) {
            return Buffer.buffer(text.substring(4));
        }
        long call = w.length > 1 ? Long.parseUnsignedLong(w[1], 16) : 0;
        boolean answer = w[0].equals("answer");
        return TrunkCodec.encode(new TrunkMessage(TYPES.get(w[0]), call, "", "", -1,
            w[0].equals("release") && w.length > 3 ? w[3] : "", w[0].equals("state") ? w[2] : "",
            w.length > 2 && w[0].equals("release") || w[0].startsWith("test") ? Integer.parseInt(w[2]) : -1,
            answer ? w[2].getBytes(StandardCharsets.UTF_8) : new byte[0]));
    }

    @Override
    public Consumer<Buffer> reader(Consumer<String> each) {
        TrunkCodec codec = new TrunkCodec();
        return bytes -> codec.read(bytes, m -> {
            if (m.type() == TYPES.get("released") && m.call() == 0) {
                // Keeps a connection alive, and is no part of a scenario.
                return;
            }
            String name = TYPES.entrySet().stream().filter(e -> e.getValue() == m.type()).findFirst().orElseThrow().getKey();
            String rest = switch (name) {
                case "set-up" -> " " + m.tier() + " " + m.number() + " " + new String(m.description(), StandardCharsets.UTF_8);
                case "release", "tested" -> " " + m.cause();
                default -> "";
            };
            each.accept(name + " " + String.format("%02x", m.call()) + rest);
        });
    }

    /** Any server answers a test, whatever else the scenario is about. */
    @Override
    public String reply(String message) {
        return message.startsWith("test ") ? "tested " + message.substring("test ".length()) + " 1" : null;
    }

    @Override
    public String[] ping() {
        return new String[] {"test ff 0", "tested ff 1"};
    }
}
