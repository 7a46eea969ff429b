package standin;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;

/** The name service: SRV, A and TXT records over UDP (RFC 1035), without compression. */
public final class Names {
    /** One recipe server of the list. */
    public record Server(String id, String zone, int port, int group, boolean draining, long startedMs) {}

    public final int port;
    private final DatagramSocket socket;
    private final Map<String, Server> servers = new TreeMap<>();
    private int serial = 1;
    public volatile boolean silent;
    public volatile double told = Double.NaN;
    private volatile int told0;
    private final Record record;

    public Names(Record record) throws IOException {
        this.record = record;
        socket = new DatagramSocket(0, InetAddress.getByName("127.0.0.1"));
        port = socket.getLocalPort();
        DiameterServer.start(this::serve);
    }

    public synchronized void put(Server server) {
        servers.put(server.id, server);
    }

    /** An event: the list is another from now on. */
    public synchronized void event(Server server) {
        servers.put(server.id, server);
        serial++;
        record.line("names: event " + serial + ", " + server);
    }

    public synchronized void remove(String id) {
        servers.remove(id);
        serial++;
        record.line("names: event " + serial + ", " + id + " is removed");
    }

    /** The events of the start, as JSON of the configuration. */
    public synchronized String known() {
        StringBuilder all = new StringBuilder();
        for (Server s : servers.values()) {
            all.append(all.isEmpty() ? "" : ",").append("{\"name\":\"" + s.id + "\",\"address\":\"127.0.0.1:" + s.port + "\",\"zone\":\""
                + s.zone + "\",\"type\":\"kis-gep\",\"group\":" + s.group + ",\"status\":\"" + (s.draining ? "draining" : "up")
                + "\",\"weight\":1,\"since_ms\":" + s.startedMs + "}");
        }
        return "{\"index\":" + serial + ",\"updates\":[{\"index\":" + serial + ",\"endpoints\":{\"index\":" + serial
            + ",\"snapshot\":true,\"endpoints\":[" + all + "]}}]}";
    }

    private void serve() throws IOException {
        byte[] buffer = new byte[8000];
        while (true) {
            DatagramPacket packet = new DatagramPacket(buffer, buffer.length);
            socket.receive(packet);
            if (silent) {
                continue;
            }
            byte[] answer = answer(buffer, packet.getLength());
            socket.send(new DatagramPacket(answer, answer.length, packet.getSocketAddress()));
            if (told0 < serial) {
                told0 = serial;
                told = record.now();
                record.line("names: an answer with event " + serial + " is sent");
            }
        }
    }

    private synchronized byte[] answer(byte[] query, int length) {
        int at = 12;
        StringBuilder name = new StringBuilder();
        while (query[at] != 0) {
            name.append(new String(query, at + 1, query[at], StandardCharsets.US_ASCII)).append('.');
            at += query[at] + 1;
        }
        int type = query[at + 2] & 0xff;
        int end = at + 5;
        ByteArrayOutputStream rows = new ByteArrayOutputStream();
        int count = 0;
        for (Server s : servers.values()) {
            String host = s.id + "." + s.zone + ".hosts.";
            if (type == 33 && name.toString().equals("_work._tcp.fleet.local.")) {
                ByteArrayOutputStream data = new ByteArrayOutputStream();
                short2(data, s.draining ? 1 : 0);
                short2(data, 10);
                short2(data, s.port);
                name(data, host);
                row(rows, name.toString(), 33, data.toByteArray());
                count++;
            } else if (type == 1 && host.equals(name.toString())) {
                row(rows, host, 1, new byte[] {127, 0, 0, 1});
                count++;
            } else if (type == 16 && host.equals(name.toString())) {
                ByteArrayOutputStream data = new ByteArrayOutputStream();
                for (String text : new String[] {"kind=kis-gep", "cell=" + s.group, "started=" + s.startedMs}) {
                    data.write(text.length());
                    data.writeBytes(text.getBytes(StandardCharsets.US_ASCII));
                }
                row(rows, host, 16, data.toByteArray());
                count++;
            }
        }
        ByteArrayOutputStream soa = new ByteArrayOutputStream();
        name(soa, "names.fleet.local.");
        name(soa, "admin.fleet.local.");
        for (int figure : new int[] {serial, 1, 1, 1, 1}) {
            short2(soa, figure >>> 16);
            short2(soa, figure);
        }
        row(rows, "fleet.local.", 6, soa.toByteArray());
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.write(query, 0, 2);
        short2(all, 0x8400);
        short2(all, 1);
        short2(all, count);
        short2(all, 1);
        short2(all, 0);
        all.write(query, 12, end - 12);
        all.writeBytes(rows.toByteArray());
        return all.toByteArray();
    }

    private static void row(ByteArrayOutputStream to, String name, int type, byte[] data) {
        name(to, name);
        short2(to, type);
        short2(to, 1);
        short2(to, 0);
        short2(to, 0);
        short2(to, data.length);
        to.writeBytes(data);
    }

    private static void name(ByteArrayOutputStream to, String name) {
        for (String label : name.split("\\.")) {
            to.write(label.length());
            to.writeBytes(label.getBytes(StandardCharsets.US_ASCII));
        }
        to.write(0);
    }

    private static void short2(ByteArrayOutputStream to, int value) {
        to.write(value >> 8);
        to.write(value);
    }
}
