package grebewick.lab.hostile;

import grebewick.lab.Futures;
import grebewick.lab.GatekeeperConfig;
import grebewick.lab.GatekeeperProcess;
import grebewick.lab.StandInFleet;
import grebewick.lab.StandInNames;
import grebewick.lab.StandInServer;
import io.vertx.core.Vertx;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** The platform's front: SIP from callers, four stand-in servers on the binary trunk. */
final class SipUnderTest implements FrontUnderTest {
    private static final int SERVERS = 4;
    private static final int ANSWER_MS = 20;
    private static final int HOLD_MS = 400;
    private static final int LINES = 4_000;
    private static final int DESCRIPTORS = 1_024;
    private static final int BODY = 14_000;
    private static final int FIELDS = 3_000;

    private final Vertx vertx;
    private final Map<Long, Integer> reached = new ConcurrentHashMap<>();
    private int port;

    SipUnderTest(Vertx vertx) {
        this.vertx = vertx;
    }

    @Override
    public Map<String, String> open(Path folder) throws Exception {
        StandInNames names = new StandInNames(vertx);
        int namesPort = Futures.await(names.listen());
        List<Integer> ports = new ArrayList<>();
        for (int i = 0; i < SERVERS; i++) {
            StandInServer server = new StandInServer(vertx, ANSWER_MS, HOLD_MS, LINES, ended -> {});
            server.onCall(id -> reached.merge(id, 1, Integer::sum), id -> {});
            ports.add(Futures.await(server.listen(0)));
        }
        List<StandInNames.Host> hosts = StandInFleet.hosts(SERVERS, ports);
        Futures.onLoop(vertx, () -> {
            names.list(hosts);
            return null;
        });
        port = GatekeeperProcess.freePort();
        Path file = folder.resolve("relay.json");
        Files.writeString(file, new GatekeeperConfig(port, namesPort, hosts, 1, DESCRIPTORS).json());
        return Map.of("RELAY_CONFIG", file.toString());
    }

    @Override
    public List<String> command(List<String> serve) {
        return serve;
    }

    @Override
    public int port() {
        return port;
    }

    @Override
    public void greet(DataInputStream in, OutputStream out) throws IOException {
        // A caller says nothing first.
    }

    private static byte[] message(String method, String id, String more, String body) {
        return (method + " sip:55@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: " + id + "\r\nCSeq: 1 " + method + "\r\n"
            + more
            + "Content-Length: " + body.length() + "\r\n\r\n" + body).getBytes(StandardCharsets.US_ASCII);
    }

    private static byte[] invite(long number, String more, String body) {
        return message("INVITE", "%016x".formatted(number), "X-Tier: a\r\nX-Deadline: 2500\r\n" + more, body);
    }

    @Override
    public byte[] request(long number) {
        return invite(number, "", "offer");
    }

    @Override
    public byte[] useless(HostileTraffic kind, long number) {
        String id = "%016x".formatted(number);
        return switch (kind) {
            case UNKNOWN_ENDS -> message("BYE", id, "", "");
            case UNSOUND -> message("INVITE", id, "X-Tier: none\r\n", "");
            case SOUND_FLOOD -> request(number);
            default -> message("OPTIONS", id, "", "");
        };
    }

    @Override
    public byte[] large(boolean manyFields, long number) {
        return manyFields ? invite(number, "v:1\r\n".repeat(FIELDS), "offer") : invite(number, "", "x".repeat(BODY));
    }

    @Override
    public boolean readAnswer(DataInputStream in, OutputStream out) throws IOException {
        while (true) {
            String head = head(in);
            String id = head.replaceAll("(?s).*Call-ID: (\\w+).*", "$1");
            if (head.startsWith("BYE")) {
                out.write(("SIP/2.0 200 OK\r\nCall-ID: " + id + "\r\nCSeq: 1 BYE\r\nContent-Length: 0\r\n\r\n").getBytes());
            } else if (head.contains("INVITE")) {
                out.write(message("ACK", id, "", ""));
                return head.startsWith("SIP/2.0 200");
            }
        }
    }

    private static String head(DataInputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.length() < 4 || !head.substring(head.length() - 4).equals("\r\n\r\n")) {
            head.append((char) in.readUnsignedByte());
        }
        int length = Integer.parseInt(head.toString().replaceAll("(?s).*Content-Length: (\\d+).*", "$1"));
        in.readNBytes(length);
        return head.toString();
    }

    @Override
    public Map<Long, Integer> reached() {
        return reached;
    }
}
