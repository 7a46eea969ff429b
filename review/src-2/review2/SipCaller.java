package review2;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** A sound caller on one connection: set-ups under new ids, an ACK for each final answer, a 200 for each BYE. */
final class SipCaller {
    /** By Call-ID, the status of each final answer, in the order in which they came. */
    final Map<String, java.util.List<Integer>> answers = new ConcurrentHashMap<>();
    final Map<String, String> descriptions = new ConcurrentHashMap<>();
    /** By Call-ID, when a BYE came first, ms. */
    final Map<String, Long> over = new ConcurrentHashMap<>();
    final Map<String, Long> sent = new ConcurrentHashMap<>();
    volatile int testStatus;
    volatile boolean closed;
    private final Kit kit;
    private final Socket socket;
    private final AtomicInteger next = new AtomicInteger();

    SipCaller(Kit kit, int port) throws IOException {
        this.kit = kit;
        socket = new Socket("127.0.0.1", port);
        socket.setTcpNoDelay(true);
        Thread reader = new Thread(this::read, "caller");
        reader.setDaemon(true);
        reader.start();
    }

    /** Sends a set-up; gives its id. */
    String invite(String tier, long deadlineMs, int dest) throws IOException {
        String id = String.format("%08x%08x", (int) (Math.random() * Integer.MAX_VALUE), next.incrementAndGet());
        String body = "c=IN IP4 127.0.0.1\r\nm=audio 31000 RTP/AVP 0\r\n";
        sent.put(id, kit.nowMs());
        kit.say("caller sends INVITE " + id + " " + tier);
        write("INVITE sip:7f3a9c21e0b4d655@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: " + id + "\r\nCSeq: 1 INVITE\r\nX-Tier: "
            + tier + "\r\nX-Deadline: " + deadlineMs + "\r\nX-Attrs: dest:" + dest + ";width:1;via:-1\r\nContent-Length: "
            + body.length() + "\r\n\r\n" + body);
        return id;
    }

    void test() throws IOException {
        write("OPTIONS sip:ping@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: 0000000000000001\r\nCSeq: 1 OPTIONS\r\n"
            + "Content-Length: 0\r\n\r\n");
    }

    void close() throws IOException {
        socket.close();
    }

    private synchronized void write(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
    }

    private void read() {
        try {
            InputStream in = new java.io.BufferedInputStream(socket.getInputStream());
            while (true) {
                ByteArrayOutputStream head = new ByteArrayOutputStream();
                while (!head.toString(StandardCharsets.UTF_8).endsWith("\r\n\r\n")) {
                    int c = in.read();
                    if (c < 0) {
                        throw new IOException("ended");
                    }
                    head.write(c);
                }
                String[] lines = head.toString(StandardCharsets.UTF_8).split("\r\n");
                Map<String, String> fields = new java.util.HashMap<>();
                for (int i = 1; i < lines.length; i++) {
                    fields.putIfAbsent(lines[i].substring(0, lines[i].indexOf(':')).trim().toLowerCase(),
                        lines[i].substring(lines[i].indexOf(':') + 1).trim());
                }
                byte[] body = in.readNBytes(Integer.parseInt(fields.getOrDefault("content-length", "0")));
                take(lines[0], fields, new String(body, StandardCharsets.UTF_8));
            }
        } catch (IOException | RuntimeException e) {
            closed = true;
            kit.say("caller: its connection has ended: " + e.getMessage());
        }
    }

    private void take(String first, Map<String, String> fields, String body) throws IOException {
        String id = fields.getOrDefault("call-id", "");
        if (first.startsWith("BYE ")) {
            kit.say("caller got BYE " + id + " " + fields.get("reason"));
            over.putIfAbsent(id, kit.nowMs());
            write("SIP/2.0 200 OK\r\nVia: " + fields.get("via") + "\r\nCall-ID: " + id + "\r\nCSeq: " + fields.get("cseq")
                + "\r\nContent-Length: 0\r\n\r\n");
            return;
        }
        int status = Integer.parseInt(first.split(" ")[1]);
        if (fields.getOrDefault("cseq", "").endsWith("INVITE") && status >= 200) {
            kit.say("caller got " + status + " " + id);
            answers.computeIfAbsent(id, i -> new java.util.concurrent.CopyOnWriteArrayList<>()).add(status);
            descriptions.put(id, body);
            write("ACK sip:7f3a9c21e0b4d655@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: " + id
                + "\r\nCSeq: 1 ACK\r\nContent-Length: 0\r\n\r\n");
        } else if (fields.getOrDefault("cseq", "").endsWith("OPTIONS")) {
            testStatus = status;
        }
    }
}
