package grebewick.lab.hostile;

import grebewick.lab.GatekeeperProcess;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;

/** The second front: Diameter on both sides (RFC 6733), two stand-in servers that answer each AAR at once. */
final class DiameterUnderTest implements FrontUnderTest {
    private static final int CER = 257;
    private static final int AAR = 265;
    private static final int STR = 275;
    private static final int DWR = 280;
    private static final int SESSION_ID = 263;
    private static final int PROXY_INFO = 284;
    private static final int HEAD = 20;
    private static final int REQUEST = 0x80;
    private static final int BODY = 14_000;
    private static final int FIELDS = 1_500;

    private final Map<Long, Integer> reached = new ConcurrentHashMap<>();
    private int port;

    @Override
    public Map<String, String> open(Path folder) throws Exception {
        port = GatekeeperProcess.freePort();
        String json = Files.readString(Path.of("deploy/diameter.json")).replace("127.0.0.1:3868", "127.0.0.1:" + port)
            .replace("127.0.0.1:3869", "127.0.0.1:" + server("auth1.kozos-konyha.example"))
            .replace("127.0.0.1:3870", "127.0.0.1:" + server("auth2.kozos-konyha.example"));
        Path file = folder.resolve("diameter.json");
        Files.writeString(file, json);
        return Map.of("RELAY_DIAMETER", file.toString());
    }

    private int server(String host) throws IOException {
        ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        Background.run(() -> {
            while (true) {
                Socket socket = listener.accept();
                Background.run(() -> serve(host, socket));
            }
        });
        return listener.getLocalPort();
    }

    private void serve(String host, Socket socket) throws IOException {
        DataInputStream in = new DataInputStream(socket.getInputStream());
        while (true) {
            ByteBuffer request = read(in);
            if ((request.get(4) & REQUEST) == 0) {
                continue;
            }
            int command = command(request);
            byte[] session = command == AAR || command == STR ? avpData(request, SESSION_ID) : null;
            if (command == AAR) {
                reached.merge(number(session), 1, Integer::sum);
            }
            ByteArrayOutputStream avps = new ByteArrayOutputStream();
            if (session != null) {
                avps.write(avp(SESSION_ID, session));
            }
            avps.write(avp(268, number(2001)));
            avps.write(origin(host));
            avps.write(avp(258, number(1)));
            socket.getOutputStream().write(message(0, command, request.getInt(8), request.getInt(12), request.getInt(16),
                avps.toByteArray()));
        }
    }

    private static long number(byte[] session) {
        String id = new String(session, StandardCharsets.US_ASCII);
        return Long.parseLong(id.substring(id.lastIndexOf(';') + 1));
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
        ByteArrayOutputStream avps = new ByteArrayOutputStream();
        avps.write(origin("client" + ThreadLocalRandom.current().nextInt(1 << 30)));
        avps.write(avp(258, number(1)));
        out.write(message(REQUEST, CER, 0, 1, 1, avps.toByteArray()));
        read(in);
    }

    private static byte[] sessionRequest(int command, long number, byte[] more) {
        try {
            ByteArrayOutputStream avps = new ByteArrayOutputStream();
            avps.write(avp(SESSION_ID, ("client;1;" + number).getBytes(StandardCharsets.US_ASCII)));
            avps.write(origin("client"));
            avps.write(avp(283, "kozos-konyha.example".getBytes(StandardCharsets.US_ASCII)));
            avps.write(avp(258, number(1)));
            avps.write(avp(command == AAR ? 274 : 295, number(1)));
            avps.write(more);
            return message(REQUEST | 0x40, command, 1, (int) number, (int) number, avps.toByteArray());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Override
    public byte[] request(long number) {
        return sessionRequest(AAR, number, new byte[0]);
    }

    @Override
    public byte[] useless(HostileTraffic kind, long number) {
        return switch (kind) {
            case UNKNOWN_ENDS -> sessionRequest(STR, number, new byte[0]);
            // An AVP that nobody knows, and one that an answer has to carry.
            case UNSOUND -> sessionRequest(AAR, number, concat(avp(9_999, new byte[4]), avp(PROXY_INFO, new byte[2_000])));
            case SOUND_FLOOD -> request(number);
            default -> message(REQUEST, DWR, 0, (int) number, (int) number, origin("client"));
        };
    }

    private static byte[] concat(byte[] one, byte[] other) {
        return ByteBuffer.allocate(one.length + other.length).put(one).put(other).array();
    }

    @Override
    public byte[] large(boolean manyFields, long number) {
        if (!manyFields) {
            return sessionRequest(AAR, number, avp(1, new byte[BODY]));
        }
        ByteBuffer fields = ByteBuffer.allocate(FIELDS * 8);
        for (int i = 0; i < FIELDS; i++) {
            fields.put(avp(18, new byte[0]));
        }
        return sessionRequest(AAR, number, fields.array());
    }

    @Override
    public boolean readAnswer(DataInputStream in, OutputStream out) throws IOException {
        while (true) {
            ByteBuffer m = read(in);
            boolean request = (m.get(4) & REQUEST) != 0;
            if (request) {
                out.write(message(0, command(m), m.getInt(8), m.getInt(12), m.getInt(16), avp(268, number(2001))));
            } else if (command(m) == AAR) {
                boolean served = ByteBuffer.wrap(avpData(m, 268)).getInt() == 2001;
                if (served) {
                    out.write(sessionRequest(STR, number(avpData(m, SESSION_ID)), new byte[0]));
                }
                return served;
            }
        }
    }

    private static ByteBuffer read(DataInputStream in) throws IOException {
        byte[] head = new byte[HEAD];
        in.readFully(head);
        int length = ByteBuffer.wrap(head).getInt() & 0xffffff;
        byte[] all = Arrays.copyOf(head, length);
        in.readFully(all, HEAD, length - HEAD);
        return ByteBuffer.wrap(all);
    }

    private static int command(ByteBuffer message) {
        return message.getInt(4) & 0xffffff;
    }

    private static byte[] avpData(ByteBuffer message, int code) {
        int at = HEAD;
        while (at < message.limit()) {
            int length = message.getInt(at + 4) & 0xffffff;
            int head = message.get(at + 4) < 0 ? 12 : 8;
            if (message.getInt(at) == code) {
                return Arrays.copyOfRange(message.array(), at + head, at + length);
            }
            at += (length + 3) / 4 * 4;
        }
        return new byte[4];
    }

    private static byte[] message(int flags, int command, int application, int hop, int end, byte[] avps) {
        return ByteBuffer.allocate(HEAD + avps.length).putInt(1 << 24 | HEAD + avps.length).putInt(flags << 24 | command)
            .putInt(application).putInt(hop).putInt(end).put(avps).array();
    }

    private static byte[] avp(int code, byte[] data) {
        return ByteBuffer.allocate((8 + data.length + 3) / 4 * 4).putInt(code).putInt(0x40 << 24 | 8 + data.length).put(data)
            .array();
    }

    private static byte[] number(int value) {
        return ByteBuffer.allocate(4).putInt(value).array();
    }

    private static byte[] origin(String host) {
        return concat(avp(264, host.getBytes(StandardCharsets.US_ASCII)),
            avp(296, "kozos-konyha.example".getBytes(StandardCharsets.US_ASCII)));
    }

    @Override
    public Map<Long, Integer> reached() {
        return reached;
    }
}
