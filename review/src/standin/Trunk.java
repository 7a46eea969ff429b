package standin;

import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;

/** A connection of the recipe servers' binary protocol. */
public final class Trunk {
    public static final int SET_UP = 1;
    public static final int ANSWER = 9;
    public static final int RELEASE = 12;
    public static final int RELEASED = 16;
    public static final int STATE = 43;
    public static final int TEST = 52;
    public static final int TESTED = 53;

    /** One message; parameters by code. */
    public record Message(int type, long call, Map<Integer, byte[]> parameters) {
        public int cause() {
            byte[] cause = parameters.get(208);
            return cause == null ? -1 : cause[0] & 0xff;
        }

        public String text(int code) {
            return new String(parameters.getOrDefault(code, new byte[0]), StandardCharsets.UTF_8);
        }
    }

    public final Socket socket;
    private final DataInputStream in;

    public Trunk(Socket socket) throws IOException {
        this.socket = socket;
        socket.setTcpNoDelay(true);
        in = new DataInputStream(socket.getInputStream());
    }

    public Message read() throws IOException {
        byte[] all = new byte[in.readUnsignedShort()];
        in.readFully(all);
        ByteBuffer b = ByteBuffer.wrap(all);
        int type = b.get() & 0xff;
        long call = b.getLong();
        Map<Integer, byte[]> parameters = new TreeMap<>();
        while (b.hasRemaining()) {
            int code = b.get() & 0xff;
            byte[] value = new byte[b.getShort() & 0xffff];
            b.get(value);
            parameters.put(code, value);
        }
        return new Message(type, call, parameters);
    }

    public static byte[] encode(Message m) {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        body.write(m.type);
        body.writeBytes(ByteBuffer.allocate(8).putLong(m.call).array());
        m.parameters.forEach((code, value) -> {
            body.write(code);
            body.write(value.length >> 8);
            body.write(value.length);
            body.writeBytes(value);
        });
        return ByteBuffer.allocate(2 + body.size()).putShort((short) body.size()).put(body.toByteArray()).array();
    }

    public static Message message(int type, long call, int cause, String note, String report, byte[] description) {
        Map<Integer, byte[]> parameters = new TreeMap<>();
        if (!note.isEmpty()) {
            parameters.put(194, note.getBytes(StandardCharsets.UTF_8));
        }
        if (!report.isEmpty()) {
            parameters.put(198, report.getBytes(StandardCharsets.UTF_8));
        }
        if (cause >= 0) {
            parameters.put(208, new byte[] {(byte) cause});
        }
        if (description != null) {
            parameters.put(210, description);
        }
        return new Message(type, call, parameters);
    }

    public void write(Message m) throws IOException {
        raw(encode(m));
    }

    public synchronized void raw(byte[] bytes) throws IOException {
        socket.getOutputStream().write(bytes);
        socket.getOutputStream().flush();
    }

    public void reset() throws IOException {
        socket.setSoLinger(true, 0);
        socket.close();
    }
}
