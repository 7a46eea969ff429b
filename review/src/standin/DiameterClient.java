package standin;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import standin.Diameter.Avp;
import standin.Diameter.Message;

/** One connection of a client. It answers ASRs and ends the session then with an STR, as RFC 6733, section 8.5, wants. */
public final class DiameterClient {
    public static final String HOST = "front1.kozos-konyha.example";
    private final Record record;
    public final Diameter connection;
    /** By end-to-end identifier: the result codes that came. */
    public final Map<Integer, List<Integer>> results;
    /** By session: when its end was told. */
    public final Map<String, Double> over;

    public DiameterClient(int port, Map<Integer, List<Integer>> results, Map<String, Double> over, Record record)
        throws IOException {
        this.record = record;
        this.results = results;
        this.over = over;
        connection = new Diameter(new Socket(InetAddress.getByName("127.0.0.1"), port));
        connection.write(new Message(0x80, Diameter.CER, 0, connection.nextHop(), 1, Diameter.capabilities(HOST, 0)));
        Message answer = connection.read();
        if (answer.number(Diameter.RESULT_CODE) != 2001) {
            throw new IOException("no capabilities");
        }
        record.line("client: a connection is open");
        DiameterServer.start(() -> {
            while (true) {
                take(connection.read());
            }
        });
    }

    /** Tries until the gatekeeper serves. */
    public static DiameterClient connect(int port, Map<Integer, List<Integer>> results, Map<String, Double> over, Record record,
                                         long withinMs) throws Exception {
        long endNs = System.nanoTime() + withinMs * 1_000_000;
        while (true) {
            try {
                return new DiameterClient(port, results, over, record);
            } catch (IOException e) {
                if (System.nanoTime() > endNs) {
                    throw e;
                }
                Thread.sleep(100);
            }
        }
    }

    public void ask(String id, int end, String server, boolean repeat) throws IOException {
        List<Avp> avps = new ArrayList<>();
        avps.add(Diameter.text(Diameter.SESSION_ID, id));
        avps.add(Diameter.number(258, 1));
        avps.addAll(Diameter.origin(HOST));
        avps.add(Diameter.text(283, "kozos-konyha.example"));
        avps.add(Diameter.text(293, server));
        avps.add(Diameter.number(274, 3));
        avps.add(Diameter.text(1, "recipe-" + id.substring(id.lastIndexOf(';') + 1)));
        record.line("client: AAR for " + id + " to " + server + (repeat ? ", T" : ""));
        connection.write(new Message(repeat ? 0xd0 : 0xc0, Diameter.AA, 1, connection.nextHop(), end, avps));
    }

    public void terminate(String id) throws IOException {
        List<Avp> avps = new ArrayList<>();
        avps.add(Diameter.text(Diameter.SESSION_ID, id));
        avps.addAll(Diameter.origin(HOST));
        avps.add(Diameter.text(283, "kozos-konyha.example"));
        avps.add(Diameter.number(258, 1));
        avps.add(Diameter.number(295, 1));
        record.line("client: STR for " + id);
        int hop = connection.nextHop();
        connection.write(new Message(0xc0, Diameter.STR, 1, hop, 0x7000000 + hop, avps));
    }

    private void take(Message m) throws IOException {
        String id = m.text(Diameter.SESSION_ID);
        if (!m.isRequest()) {
            record.line("client: answer " + m.number(Diameter.RESULT_CODE) + " to command " + m.command() + " for " + id);
            if (m.command() == Diameter.AA) {
                results.computeIfAbsent(m.end(), k -> new ArrayList<>()).add(m.number(Diameter.RESULT_CODE));
            }
            return;
        }
        List<Avp> avps = new ArrayList<>();
        if (!id.isEmpty()) {
            avps.add(Diameter.text(Diameter.SESSION_ID, id));
        }
        avps.add(Diameter.number(Diameter.RESULT_CODE, 2001));
        avps.addAll(Diameter.origin(HOST));
        connection.write(m.answer(avps));
        if (m.command() == Diameter.ASR) {
            record.line("client: ASR for " + id);
            over.putIfAbsent(id, record.now());
            terminate(id);
        }
    }

    public static Map<Integer, List<Integer>> results() {
        return new ConcurrentHashMap<>();
    }

    public static Map<String, Double> over() {
        return new ConcurrentHashMap<>();
    }
}
