package review2;

import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/** The name service: the list by SRV, with A and TXT of each server in the additional section, and the serial in an SOA. */
final class Names {
    /** One server of the list. */
    record Entry(int port, int cell, boolean drains, long startedMs) {}

    final int port;
    final Map<String, Entry> list = new LinkedHashMap<>();
    /** What becomes of an answer. */
    enum Kind { GOOD, CUT, OLDER }

    /** By the number of the question after the list, what its answer is; null: all are good. */
    volatile java.util.function.IntFunction<Kind> kinds;
    private int asked;
    private Map<String, Entry> older = Map.of();
    /** It answers nobody. */
    volatile boolean down;
    volatile int serial = 1;
    /** When an answer that holds the latest event was first sent, ms of the kit; -1: none was. */
    volatile long toldMs = -1;
    private final Kit kit;

    Names(Kit kit) throws IOException {
        this.kit = kit;
        DatagramSocket socket = new DatagramSocket(0, InetAddress.getByName("127.0.0.1"));
        port = socket.getLocalPort();
        Thread answering = new Thread(() -> {
            byte[] buffer = new byte[2048];
            while (true) {
                try {
                    DatagramPacket asked = new DatagramPacket(buffer, buffer.length);
                    socket.receive(asked);
                    if (!down) {
                        byte[] answer = answer(buffer, asked.getLength());
                        socket.send(new DatagramPacket(answer, answer.length, asked.getSocketAddress()));
                    }
                } catch (IOException | RuntimeException e) {
                    kit.say("names: " + e);
                }
            }
        }, "names");
        answering.setDaemon(true);
        answering.start();
    }

    /** An event: the list is another now. */
    synchronized void change(Runnable how) {
        older = new LinkedHashMap<>(list);
        how.run();
        serial++;
        toldMs = -1;
    }

    private synchronized byte[] answer(byte[] query, int length) throws IOException {
        int at = 12;
        StringBuilder name = new StringBuilder();
        while (query[at] != 0) {
            name.append(new String(query, at + 1, query[at], StandardCharsets.US_ASCII)).append('.');
            at += query[at] + 1;
        }
        int type = ByteBuffer.wrap(query, at + 1, 2).getShort();
        int questionEnd = at + 5;
        ByteArrayOutputStream answers = new ByteArrayOutputStream();
        ByteArrayOutputStream more = new ByteArrayOutputStream();
        int nAnswers = 0;
        int nMore = 0;
        Kind kind = kinds == null || type != 33 ? Kind.GOOD : kinds.apply(asked++);
        // Only the list's answers are spoilt; what is said of one server is as it is.
        for (Map.Entry<String, Entry> each : (kind == Kind.OLDER ? older : list).entrySet()) {
            String target = each.getKey() + ".budapest.hosts.";
            Entry e = each.getValue();
            if (type == 33) {
                ByteArrayOutputStream data = new ByteArrayOutputStream();
                DataOutputStream out = new DataOutputStream(data);
                out.writeShort(e.drains ? 1 : 0);
                out.writeShort(40);
                out.writeShort(e.port);
                name(out, target);
                record(answers, name.toString(), 33, data.toByteArray());
                nAnswers++;
            }
            boolean asked = name.toString().equals(target);
            if (type == 33 || asked && type == 1) {
                record(type == 33 ? more : answers, target, 1, new byte[] {127, 0, 0, 1});
                nMore += type == 33 ? 1 : 0;
                nAnswers += type == 33 ? 0 : 1;
            }
            if (type == 33 || asked && type == 16) {
                ByteArrayOutputStream data = new ByteArrayOutputStream();
                for (String fact : new String[] {"kind=kis-gep", "cell=" + e.cell, "started=" + e.startedMs}) {
                    data.write(fact.length());
                    data.write(fact.getBytes(StandardCharsets.US_ASCII));
                }
                record(type == 33 ? more : answers, target, 16, data.toByteArray());
                nMore += type == 33 ? 1 : 0;
                nAnswers += type == 33 ? 0 : 1;
            }
        }
        ByteArrayOutputStream soa = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(soa);
        name(out, "ns.fleet.local.");
        name(out, "admin.fleet.local.");
        for (int figure : new int[] {kind == Kind.OLDER ? serial - 1 : serial, 1, 1, 1, 1}) {
            out.writeInt(figure);
        }
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        DataOutputStream message = new DataOutputStream(all);
        message.write(query, 0, 2);
        message.writeShort(kind == Kind.CUT ? 0x8600 : 0x8400);
        message.writeShort(1);
        message.writeShort(nAnswers);
        message.writeShort(1);
        message.writeShort(kind == Kind.CUT ? 0 : nMore);
        message.write(query, 12, questionEnd - 12);
        message.write(answers.toByteArray());
        record(all, "fleet.local.", 6, soa.toByteArray());
        if (kind != Kind.CUT) {
            message.write(more.toByteArray());
        }
        if (kinds != null && type == 33) {
            kit.say("names: answer " + kind);
        }
        if (type == 33 && kind == Kind.GOOD && toldMs < 0) {
            toldMs = kit.nowMs();
            kit.say("names: an answer with event " + serial + " goes out");
        }
        return all.toByteArray();
    }

    private static void record(ByteArrayOutputStream to, String name, int type, byte[] data) throws IOException {
        DataOutputStream out = new DataOutputStream(to);
        name(out, name);
        out.writeShort(type);
        out.writeShort(1);
        out.writeInt(0);
        out.writeShort(data.length);
        out.write(data);
    }

    private static void name(DataOutputStream out, String name) throws IOException {
        for (String label : name.split("\\.")) {
            out.writeByte(label.length());
            out.write(label.getBytes(StandardCharsets.US_ASCII));
        }
        out.writeByte(0);
    }
}
