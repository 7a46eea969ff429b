package standin;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;

/** Callers over SIP at one gatekeeper, on a few connections. They take any BYE on any of them, and confirm it. */
public final class Callers {
    private final Calls calls;
    private final Record record;
    private final int port;
    private final List<Line> lines = new ArrayList<>();
    private final int connections;
    public volatile boolean logs = true;

    public Callers(int port, int connections, Calls calls, Record record) {
        this.port = port;
        this.connections = connections;
        this.calls = calls;
        this.record = record;
    }

    private final class Line {
        final Socket socket;
        volatile boolean ended;

        Line() throws IOException {
            socket = new Socket(InetAddress.getByName("127.0.0.1"), port);
            socket.setTcpNoDelay(true);
            DiameterServer.start(this::read);
        }

        synchronized void write(String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
            socket.getOutputStream().flush();
        }

        private void read() {
            try {
                InputStream in = socket.getInputStream();
                while (true) {
                    StringBuilder head = new StringBuilder();
                    while (!head.toString().endsWith("\r\n\r\n")) {
                        int c = in.read();
                        if (c < 0) {
                            return;
                        }
                        head.append((char) c);
                    }
                    String[] rows = head.toString().split("\r\n");
                    Map<String, String> headers = new HashMap<>();
                    for (int i = 1; i < rows.length; i++) {
                        int colon = rows[i].indexOf(':');
                        headers.put(rows[i].substring(0, colon).trim().toLowerCase(), rows[i].substring(colon + 1).trim());
                    }
                    byte[] body = in.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0")));
                    take(rows[0], headers, body);
                }
            } catch (IOException e) {
                // It has ended.
            } finally {
                ended = true;
                try {
                    socket.close();
                } catch (IOException e) {
                    // It is closed.
                }
            }
        }

        private void take(String first, Map<String, String> headers, byte[] body) throws IOException {
            String id = headers.getOrDefault("call-id", "0");
            Calls.Call call = calls.all.get(Long.parseUnsignedLong(id, 16));
            if (first.startsWith("SIP/2.0")) {
                int status = Integer.parseInt(first.split(" ")[1]);
                if (!headers.getOrDefault("cseq", "").endsWith("INVITE") || status < 200) {
                    return;
                }
                line("caller: " + status + " for " + id);
                if (call != null) {
                    synchronized (call) {
                        call.answers.add(String.valueOf(status));
                        if (Double.isNaN(call.answered)) {
                            call.answered = record.now();
                            call.status = status;
                            call.served = body;
                        }
                    }
                    write("ACK sip:peer@net SIP/2.0\r\nCall-ID: " + id + "\r\nCSeq: 1 ACK\r\nContent-Length: 0\r\n\r\n");
                }
            } else if (first.startsWith("BYE")) {
                line("caller: BYE for " + id + ", " + headers.get("reason"));
                if (call != null && Double.isNaN(call.told)) {
                    call.told = record.now();
                }
                write("SIP/2.0 200 OK\r\nCall-ID: " + id + "\r\nCSeq: " + headers.getOrDefault("cseq", "1 BYE")
                    + "\r\nContent-Length: 0\r\n\r\n");
            }
        }
    }

    private void line(String text) {
        if (logs) {
            record.line(text);
        }
    }

    private Line pick() throws IOException {
        synchronized (lines) {
            lines.removeIf(l -> l.ended);
            while (lines.size() < connections) {
                lines.add(new Line());
            }
            return lines.get(ThreadLocalRandom.current().nextInt(lines.size()));
        }
    }

    /** From now on calls go out on new connections; those that are open are left as they are, and still read. */
    public void leaveLines() {
        synchronized (lines) {
            lines.clear();
        }
    }

    /** One call; {@code cancelMs} above 0: its caller gives it up so soon. */
    public Calls.Call ask(String tier, int dest, int deadlineMs, long cancelMs) throws IOException {
        long number = ThreadLocalRandom.current().nextLong() >>> 1;
        String id = String.format("%016x", number);
        Line on = pick();
        byte[] description = (id + "\r\nc=IN IP4 127.0.0.1\r\nm=audio 31000 RTP/AVP 0 8 101\r\n").getBytes(StandardCharsets.UTF_8);
        Calls.Call call = calls.ask(number, description, record.now(), record.now() + deadlineMs / 1000.0);
        line("caller: INVITE " + id + " to group " + dest + ", waits " + deadlineMs + " ms");
        on.write("INVITE sip:" + String.format("%016x", number * 31) + "@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: " + id
            + "\r\nCSeq: 1 INVITE\r\nX-Tier: " + tier + "\r\nX-Deadline: " + deadlineMs + "\r\nX-Attrs: dest:" + dest
            + ";width:1;via:-1\r\nContent-Length: " + description.length + "\r\n\r\n"
            + new String(description, StandardCharsets.UTF_8));
        DiameterServer.later(cancelMs > 0 ? cancelMs : deadlineMs, () -> {
            if (Double.isNaN(call.answered) && !on.ended) {
                if (cancelMs > 0 && cancelMs < deadlineMs) {
                    call.withdrawn = true;
                }
                line("caller: CANCEL " + id);
                on.write("CANCEL sip:x@net SIP/2.0\r\nCall-ID: " + id + "\r\nCSeq: 1 CANCEL\r\nContent-Length: 0\r\n\r\n");
            } else if (Double.isNaN(call.answered)) {
                call.connectionEnded = true;
            }
        });
        return call;
    }

    /** Asks whether it serves. */
    public static boolean test(int port) {
        try (Socket socket = new Socket(InetAddress.getByName("127.0.0.1"), port)) {
            socket.setSoTimeout(1000);
            socket.getOutputStream().write("OPTIONS sip:ping@net SIP/2.0\r\nCall-ID: 0000000000000000\r\nCSeq: 1 OPTIONS\r\nContent-Length: 0\r\n\r\n"
                .getBytes(StandardCharsets.UTF_8));
            return new String(socket.getInputStream().readNBytes(11), StandardCharsets.UTF_8).equals("SIP/2.0 200");
        } catch (IOException e) {
            return false;
        }
    }
}
