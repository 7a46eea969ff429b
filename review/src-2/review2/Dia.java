package review2;

import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Diameter messages (RFC 6733, section 3) as far as the stand-ins need them, and a connection that speaks them. */
final class Dia {
    static final int CER = 257;
    static final int AAR = 265;
    static final int ASR = 274;
    static final int STR = 275;
    static final int DWR = 280;
    static final int DPR = 282;
    static final int SESSION_ID = 263;
    static final int RESULT = 268;
    static final int ORIGIN_HOST = 264;
    static final int ORIGIN_REALM = 296;
    static final int DESTINATION_REALM = 283;
    static final int DESTINATION_HOST = 293;
    static final int AUTH_APPLICATION = 258;
    static final int AUTH_REQUEST_TYPE = 274;
    static final int ORIGIN_STATE = 278;
    static final int TERMINATION_CAUSE = 295;
    static final AtomicInteger NEXT = new AtomicInteger(1000);

    record Avp(int code, byte[] data) {}

    /** One message; {@code flags} has 0x80 for requests, 0x10 for what may be a repeat. */
    record Message(int flags, int command, int application, int hop, int end, List<Avp> avps) {
        boolean isRequest() {
            return (flags & 0x80) != 0;
        }

        String text(int code) {
            for (Avp a : avps) {
                if (a.code == code) {
                    return new String(a.data, StandardCharsets.UTF_8);
                }
            }
            return "";
        }

        int number(int code) {
            for (Avp a : avps) {
                if (a.code == code && a.data.length == 4) {
                    return ByteBuffer.wrap(a.data).getInt();
                }
            }
            return 0;
        }
    }

    private Dia() {}

    static Avp text(int code, String value) {
        return new Avp(code, value.getBytes(StandardCharsets.UTF_8));
    }

    static Avp number(int code, int value) {
        return new Avp(code, ByteBuffer.allocate(4).putInt(value).array());
    }

    static Message request(int command, int application, List<Avp> avps) {
        return new Message(application == 0 ? 0x80 : 0xc0, command, application, NEXT.incrementAndGet(), NEXT.incrementAndGet(),
            avps);
    }

    static byte[] encode(Message m) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(body);
        for (Avp a : m.avps) {
            out.writeInt(a.code);
            out.writeInt(0x40 << 24 | 8 + a.data.length);
            out.write(a.data);
            for (int i = a.data.length; i % 4 != 0; i++) {
                out.write(0);
            }
        }
        ByteBuffer all = ByteBuffer.allocate(20 + body.size());
        all.putInt(1 << 24 | 20 + body.size()).putInt(m.flags << 24 | m.command).putInt(m.application).putInt(m.hop).putInt(m.end);
        return all.put(body.toByteArray()).array();
    }

    static Message read(DataInputStream in) throws IOException {
        int length = in.readInt() & 0xffffff;
        int second = in.readInt();
        int application = in.readInt();
        int hop = in.readInt();
        int end = in.readInt();
        byte[] body = new byte[length - 20];
        in.readFully(body);
        List<Avp> avps = new ArrayList<>();
        ByteBuffer b = ByteBuffer.wrap(body);
        while (b.remaining() >= 8) {
            int code = b.getInt();
            int word = b.getInt();
            int head = (word >>> 24 & 0x80) != 0 ? 12 : 8;
            if (head == 12) {
                b.getInt();
            }
            byte[] data = new byte[(word & 0xffffff) - head];
            b.get(data);
            b.position(b.position() + Math.min(b.remaining(), (4 - data.length % 4) % 4));
            avps.add(new Avp(code, data));
        }
        return new Message(second >>> 24, second & 0xffffff, application, hop, end, avps);
    }

    /** What a peer is told. */
    interface Handler {
        void message(Line line, Message m) throws IOException;

        void closed(Line line);
    }

    /** One connection: a thread reads it. Capabilities, watchdogs and leave-taking are answered here. */
    static final class Line {
        final Socket socket;
        final String host;
        final int state;
        final Handler handler;
        volatile boolean open;

        Line(Socket socket, String host, int state, Handler handler) throws IOException {
            this.socket = socket;
            this.host = host;
            this.state = state;
            this.handler = handler;
            socket.setTcpNoDelay(true);
        }

        void start() {
            Thread reader = new Thread(this::read, "diameter " + host);
            reader.setDaemon(true);
            reader.start();
        }

        List<Avp> origin() {
            return new ArrayList<>(List.of(text(ORIGIN_HOST, host), text(ORIGIN_REALM, "kozos-konyha.example")));
        }

        List<Avp> capabilities() {
            List<Avp> avps = origin();
            avps.add(new Avp(257, new byte[] {0, 1, 127, 0, 0, 1}));
            avps.add(number(266, 0));
            avps.add(text(269, "stand-in"));
            avps.add(number(ORIGIN_STATE, state));
            avps.add(number(AUTH_APPLICATION, 1));
            return avps;
        }

        void send(Message m) throws IOException {
            byte[] bytes = encode(m);
            synchronized (this) {
                socket.getOutputStream().write(bytes);
                socket.getOutputStream().flush();
            }
        }

        void answer(Message m, int result, List<Avp> more) throws IOException {
            List<Avp> avps = new ArrayList<>();
            if (!m.text(SESSION_ID).isEmpty()) {
                avps.add(text(SESSION_ID, m.text(SESSION_ID)));
            }
            avps.add(number(RESULT, result));
            avps.addAll(more);
            send(new Message(m.flags & 0x40 | (result / 1000 == 3 ? 0x20 : 0), m.command, m.application, m.hop, m.end, avps));
        }

        private void read() {
            try {
                DataInputStream in = new DataInputStream(new java.io.BufferedInputStream(socket.getInputStream()));
                while (true) {
                    Message m = Dia.read(in);
                    if (m.command == CER && m.isRequest()) {
                        answer(m, 2001, capabilities());
                        open = true;
                    } else if (m.command == CER) {
                        open = m.number(RESULT) == 2001;
                    } else if (m.command == DWR && m.isRequest()) {
                        List<Avp> avps = origin();
                        avps.add(number(ORIGIN_STATE, state));
                        answer(m, 2001, avps);
                    } else if (m.command == DPR && m.isRequest()) {
                        answer(m, 2001, origin());
                        socket.shutdownOutput();
                    }
                    handler.message(this, m);
                }
            } catch (IOException | RuntimeException e) {
                open = false;
                try {
                    socket.close();
                } catch (IOException ignored) {
                    // It is closed.
                }
                handler.closed(this);
            }
        }

        /** The connection is reset. */
        void reset() throws IOException {
            socket.setSoLinger(true, 0);
            socket.close();
        }
    }
}
