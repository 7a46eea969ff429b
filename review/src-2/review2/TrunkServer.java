package review2;

import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.LongFunction;

/** A sound server of the platform's binary protocol: it answers after a while, and releases after the holding time. */
final class TrunkServer {
    static final int SET_UP = 1;
    static final int ANSWER = 9;
    static final int RELEASE = 12;
    static final int STATE = 43;
    static final int TEST = 52;
    static final int TESTED = 53;

    /** A set-up that has come whole; {@code firstMs}: when its first byte was there. */
    record SetUp(long call, String tier, long firstMs, long wholeMs) {}

    /** One connection. */
    static final class Line {
        final Socket socket;

        Line(Socket socket) {
            this.socket = socket;
        }
    }

    final String name;
    final int port;
    final List<SetUp> setUps = new CopyOnWriteArrayList<>();
    /** Calls that stand, with the connection of their set-up. */
    final Map<Long, Line> standing = new ConcurrentHashMap<>();
    /** Calls that the gatekeeper released while they stood. */
    final List<Long> releasedByGatekeeper = new CopyOnWriteArrayList<>();
    /** By call, a cause to release it with instead of an answer; null: it is answered. */
    volatile LongFunction<Integer> ends = call -> null;
    volatile long answerMs = 20;
    private final Kit kit;
    private final long holdMs;
    private final ServerSocket listener;
    private final List<Line> lines = new CopyOnWriteArrayList<>();
    private final List<byte[]> said = new CopyOnWriteArrayList<>();
    private final Map<Long, Line> waiting = new ConcurrentHashMap<>();
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread t = new Thread(task, "timer");
        t.setDaemon(true);
        return t;
    });

    TrunkServer(Kit kit, String name, int port, long holdMs) throws IOException {
        this.kit = kit;
        this.name = name;
        this.port = port;
        this.holdMs = holdMs;
        listener = new ServerSocket(port, 100, InetAddress.getByName("127.0.0.1"));
        Thread accepting = new Thread(() -> {
            try {
                while (true) {
                    Line line = new Line(listener.accept());
                    line.socket.setTcpNoDelay(true);
                    lines.add(line);
                    write(line, message(STATE, 0, -1, "", report()));
                    for (byte[] each : said) {
                        write(line, each);
                    }
                    Thread reader = new Thread(() -> read(line), name);
                    reader.setDaemon(true);
                    reader.start();
                }
            } catch (IOException e) {
                kit.say(name + " accepts no more");
            }
        }, "accepts");
        accepting.setDaemon(true);
        accepting.start();
    }

    private static String report() {
        return "x0:500;x1:500";
    }

    private void read(Line line) {
        try {
            DataInputStream in = new DataInputStream(line.socket.getInputStream());
            while (true) {
                int high = in.read();
                if (high < 0) {
                    throw new IOException("ended");
                }
                long firstMs = kit.nowMs();
                byte[] body = new byte[high << 8 | in.readUnsignedByte()];
                in.readFully(body);
                take(line, body, firstMs);
            }
        } catch (IOException e) {
            lines.remove(line);
            // Set-ups that are open on a connection that is closed are given up; what stands belongs to no connection.
            waiting.values().removeIf(each -> each == line);
            try {
                line.socket.close();
            } catch (IOException ignored) {
                // It is closed.
            }
        }
    }

    private void take(Line line, byte[] body, long firstMs) throws IOException {
        java.nio.ByteBuffer b = java.nio.ByteBuffer.wrap(body);
        int type = b.get() & 0xff;
        long call = b.getLong();
        int cause = -1;
        String tier = "";
        while (b.hasRemaining()) {
            int code = b.get() & 0xff;
            byte[] value = new byte[b.getShort() & 0xffff];
            b.get(value);
            cause = code == 208 ? value[0] & 0xff : cause;
            tier = code == 180 ? new String(value, StandardCharsets.UTF_8) : tier;
        }
        if (type == SET_UP) {
            setUps.add(new SetUp(call, tier, firstMs, kit.nowMs()));
            kit.say(String.format("%s got set-up %016x %s", name, call, tier));
            waiting.put(call, line);
            timer.schedule(() -> answer(call, line), answerMs, TimeUnit.MILLISECONDS);
        } else if (type == RELEASE) {
            if (waiting.remove(call) == null && standing.remove(call) != null) {
                releasedByGatekeeper.add(call);
                kit.say(String.format("%s: the gatekeeper releases %016x, which stands", name, call));
            }
            write(line, message(16, call, -1, "", ""));
        } else if (type == TEST) {
            write(line, message(TESTED, call, 1, "", report()));
        }
    }

    private void answer(long call, Line line) {
        if (!waiting.remove(call, line)) {
            return;
        }
        Integer cause = ends.apply(call);
        if (cause != null) {
            kit.say(String.format("%s ends set-up %016x with cause %d", name, call, cause));
            write(line, message(RELEASE, call, cause, "", report()));
            return;
        }
        standing.put(call, line);
        kit.say(String.format("%s answers %016x", name, call));
        write(line, message(ANSWER, call, -1, name + "-" + Long.toHexString(call), report()));
        timer.schedule(() -> end(call, 16), holdMs, TimeUnit.MILLISECONDS);
    }

    private void end(long call, int cause) {
        Line line = standing.remove(call);
        if (line == null) {
            return;
        }
        kit.say(String.format("%s ends call %016x with cause %d", name, call, cause));
        byte[] release = message(RELEASE, call, cause, "", report());
        said.add(release);
        if (lines.contains(line)) {
            write(line, release);
        } else if (!lines.isEmpty()) {
            write(lines.get(0), release);
        }
    }

    /** It stops: what stands is cut, with a word, and then its connections end. Gives how many calls it cut. */
    int stop() throws Exception {
        listener.close();
        List<Long> cut = List.copyOf(standing.keySet());
        cut.forEach(call -> end(call, 41));
        Thread.sleep(100);
        for (Line line : lines) {
            line.socket.close();
        }
        return cut.size();
    }

    private void write(Line line, byte[] bytes) {
        try {
            synchronized (line) {
                line.socket.getOutputStream().write(bytes);
            }
        } catch (IOException e) {
            lines.remove(line);
        }
    }

    static byte[] message(int type, long call, int cause, String description, String report) {
        try {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            DataOutputStream out = new DataOutputStream(body);
            out.writeByte(type);
            out.writeLong(call);
            parameter(out, 198, report.getBytes(StandardCharsets.UTF_8));
            parameter(out, 208, cause < 0 ? new byte[0] : new byte[] {(byte) cause});
            parameter(out, 210, description.getBytes(StandardCharsets.UTF_8));
            byte[] all = body.toByteArray();
            byte[] framed = new byte[all.length + 2];
            framed[0] = (byte) (all.length >> 8);
            framed[1] = (byte) all.length;
            System.arraycopy(all, 0, framed, 2, all.length);
            return framed;
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private static void parameter(DataOutputStream out, int code, byte[] value) throws IOException {
        if (value.length > 0) {
            out.writeByte(code);
            out.writeShort(value.length);
            out.write(value);
        }
    }
}
