package standin;

import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** A connection that speaks Diameter (RFC 6733), as far as the cases need it. */
public final class Diameter {
    public static final int CER = 257;
    public static final int AA = 265;
    public static final int ASR = 274;
    public static final int STR = 275;
    public static final int DWR = 280;
    public static final int DPR = 282;
    public static final int SESSION_ID = 263;
    public static final int ORIGIN_HOST = 264;
    public static final int RESULT_CODE = 268;

    /** One attribute-value pair. */
    public record Avp(int code, byte[] data) {
        public String text() {
            return new String(data, StandardCharsets.UTF_8);
        }

        public int number() {
            return ByteBuffer.wrap(data).getInt();
        }
    }

    /** One message. */
    public record Message(int flags, int command, int application, int hop, int end, List<Avp> avps) {
        public boolean isRequest() {
            return (flags & 0x80) != 0;
        }

        public boolean isRepeat() {
            return (flags & 0x10) != 0;
        }

        public String text(int code) {
            return avps.stream().filter(a -> a.code == code).findFirst().map(Avp::text).orElse("");
        }

        public int number(int code) {
            return avps.stream().filter(a -> a.code == code).findFirst().map(Avp::number).orElse(0);
        }

        public Message answer(List<Avp> with) {
            return new Message(flags & 0x40, command, application, hop, end, with);
        }
    }

    public static Avp text(int code, String value) {
        return new Avp(code, value.getBytes(StandardCharsets.UTF_8));
    }

    public static Avp number(int code, int value) {
        return new Avp(code, ByteBuffer.allocate(4).putInt(value).array());
    }

    public final Socket socket;
    private final DataInputStream in;
    private int nextHop = 1;

    public Diameter(Socket socket) throws IOException {
        this.socket = socket;
        socket.setTcpNoDelay(true);
        in = new DataInputStream(socket.getInputStream());
    }

    public synchronized int nextHop() {
        return nextHop++;
    }

    /** Waits for a message; throws where the connection ends. */
    public Message read() throws IOException {
        int length = in.readInt() & 0xffffff;
        byte[] rest = new byte[length - 4];
        in.readFully(rest);
        ByteBuffer b = ByteBuffer.wrap(rest);
        int word = b.getInt();
        int application = b.getInt();
        int hop = b.getInt();
        int end = b.getInt();
        List<Avp> avps = new ArrayList<>();
        while (b.remaining() >= 8) {
            int code = b.getInt();
            int head = b.getInt();
            int size = head & 0xffffff;
            int skip = head < 0 ? 12 : 8;
            b.position(b.position() + skip - 8);
            byte[] data = new byte[size - skip];
            b.get(data);
            b.position(Math.min(b.limit(), b.position() + (4 - size % 4) % 4));
            avps.add(new Avp(code, data));
        }
        return new Message(word >>> 24, word & 0xffffff, application, hop, end, avps);
    }

    public synchronized void write(Message m) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        for (Avp a : m.avps) {
            ByteBuffer head = ByteBuffer.allocate(8).putInt(a.code).putInt(0x40 << 24 | 8 + a.data.length);
            body.write(head.array());
            body.write(a.data);
            body.write(new byte[(4 - a.data.length % 4) % 4]);
        }
        ByteBuffer all = ByteBuffer.allocate(20 + body.size()).putInt(1 << 24 | 20 + body.size())
            .putInt(m.flags << 24 | m.command).putInt(m.application).putInt(m.hop).putInt(m.end).put(body.toByteArray());
        socket.getOutputStream().write(all.array());
        socket.getOutputStream().flush();
    }

    /** Who a node is, and what its capabilities are. */
    public static List<Avp> capabilities(String host, int result) {
        List<Avp> avps = new ArrayList<>();
        if (result != 0) {
            avps.add(number(RESULT_CODE, result));
        }
        avps.addAll(origin(host));
        avps.add(new Avp(257, new byte[] {0, 1, 127, 0, 0, 1}));
        avps.add(number(266, 0));
        avps.add(text(269, "stand-in"));
        avps.add(number(278, 1000));
        avps.add(number(258, 1));
        return avps;
    }

    public static List<Avp> origin(String host) {
        return List.of(text(ORIGIN_HOST, host), text(296, "kozos-konyha.example"));
    }

    /** Ends it with a reset. */
    public void reset() throws IOException {
        socket.setSoLinger(true, 0);
        socket.close();
    }
}
