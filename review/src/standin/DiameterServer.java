package standin;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import standin.Diameter.Avp;
import standin.Diameter.Message;

/**
 * An authorising server. It answers watchdogs at once and each AAR after a while; a repeat (T flag, same Origin-Host and
 * End-to-End Identifier) of what it has in hand or has answered is no second request (RFC 6733, section 3). A session that is
 * open ends with an STR, or after its time with an ASR, sent on the connection that is open.
 */
public final class DiameterServer {
    public final String host;
    public final int port;
    private final Record record;
    private final long answerMs;
    private final long holdMs;
    /** Open sessions, with the moment at which each began. */
    public final Map<String, Double> open = new ConcurrentHashMap<>();
    /** By session: what ended it, and when. */
    public final Map<String, String> ended = new ConcurrentHashMap<>();
    public final Map<String, Double> endedAt = new ConcurrentHashMap<>();
    /** AARs as they came: session and moment. */
    public final List<String> requests = new ArrayList<>();
    /** Requests in hand or answered, and where they came from last: no second one is run. */
    private final Map<String, List<Object[]>> known = new HashMap<>();
    private final Map<String, Integer> done = new HashMap<>();
    private final Set<Diameter> connections = ConcurrentHashMap.newKeySet();
    /** The connection of the next AAR that has been read is reset as its answer is due. */
    public volatile boolean resetsNext;

    /** {@code holdMs} 0: sessions have no end of their own. */
    public DiameterServer(String host, long answerMs, long holdMs, Record record) throws IOException {
        this.host = host;
        this.answerMs = answerMs;
        this.holdMs = holdMs;
        this.record = record;
        ServerSocket listener = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        port = listener.getLocalPort();
        start(() -> {
            while (true) {
                Socket socket = listener.accept();
                start(() -> serve(new Diameter(socket)));
            }
        });
    }

    /** Something that may end with its connection. */
    public interface Task {
        void run() throws Exception;
    }

    public static void start(Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (IOException | InterruptedException e) {
                // Its connection has ended.
            } catch (Exception e) {
                e.printStackTrace();
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    public static void later(long ms, Task task) {
        start(() -> {
            Thread.sleep(ms);
            task.run();
        });
    }

    private void serve(Diameter on) throws IOException {
        try {
            while (true) {
                take(on, on.read());
            }
        } finally {
            connections.remove(on);
            record.line(host + ": a connection has ended");
        }
    }

    private void take(Diameter on, Message m) throws IOException {
        if (!m.isRequest()) {
            if (m.command() == Diameter.ASR) {
                record.line(host + ": ASA " + m.number(Diameter.RESULT_CODE) + " for " + m.text(Diameter.SESSION_ID));
            }
            return;
        }
        switch (m.command()) {
            case Diameter.CER -> {
                on.write(m.answer(Diameter.capabilities(host, 2001)));
                connections.add(on);
            }
            case Diameter.AA -> authorise(on, m);
            case Diameter.STR -> {
                String id = m.text(Diameter.SESSION_ID);
                boolean was = open.remove(id) != null;
                record.line(host + ": STR for " + id + (was ? ", which was open" : ", which is not open"));
                if (was) {
                    ended.put(id, "an STR");
                    endedAt.put(id, record.now());
                }
                on.write(m.answer(result(id, was ? 2001 : 5002)));
            }
            case Diameter.DPR -> {
                on.write(m.answer(result("", 2001)));
            }
            default -> on.write(m.answer(result("", 2001)));
        }
    }

    private List<Avp> result(String id, int code) {
        List<Avp> avps = new ArrayList<>();
        if (!id.isEmpty()) {
            avps.add(Diameter.text(Diameter.SESSION_ID, id));
        }
        avps.add(Diameter.number(Diameter.RESULT_CODE, code));
        avps.addAll(Diameter.origin(host));
        return avps;
    }

    private void authorise(Diameter on, Message m) {
        String id = m.text(Diameter.SESSION_ID);
        String key = m.text(Diameter.ORIGIN_HOST) + "/" + m.end();
        synchronized (this) {
            requests.add(id);
            record.line(host + ": AAR for " + id + ", end-to-end " + Integer.toHexString(m.end()) + (m.isRepeat() ? ", T" : ""));
            List<Object[]> waiting = known.get(key);
            if (waiting != null && m.isRepeat()) {
                if (done.containsKey(key)) {
                    answer(on, m, id, key);
                } else {
                    waiting.add(new Object[] {on, m});
                }
                return;
            }
            waiting = new ArrayList<>();
            waiting.add(new Object[] {on, m});
            known.put(key, waiting);
        }
        boolean resets = resetsNext;
        resetsNext = false;
        later(answerMs, () -> {
            synchronized (this) {
                done.put(key, 2001);
                open.put(id, record.now());
                record.line(host + ": session " + id + " is open");
                if (holdMs > 0) {
                    later(holdMs, () -> end(id));
                }
                if (resets) {
                    record.line(host + ": the connection is reset before the answer has left");
                    on.reset();
                    return;
                }
                for (Object[] each : known.get(key)) {
                    answer((Diameter) each[0], (Message) each[1], id, key);
                }
            }
        });
    }

    private void answer(Diameter on, Message m, String id, String key) {
        try {
            on.write(m.answer(result(id, done.get(key))));
            record.line(host + ": AAA 2001 for " + id);
        } catch (IOException e) {
            record.line(host + ": AAA for " + id + " could not be sent");
        }
    }

    /** All connections are reset; the process and its sessions live, and it goes on listening. */
    public void resetAll() throws IOException {
        for (Diameter each : connections) {
            record.line(host + ": resets a connection");
            each.reset();
        }
    }

    /** The session has come to its end: the client is told, on the connection that is open or the next one. */
    private void end(String id) throws Exception {
        if (open.remove(id) == null) {
            return;
        }
        ended.put(id, "its own end");
        endedAt.put(id, record.now());
        record.line(host + ": session " + id + " has come to its end");
        while (connections.isEmpty()) {
            Thread.sleep(50);
        }
        List<Avp> avps = new ArrayList<>();
        avps.add(Diameter.text(Diameter.SESSION_ID, id));
        avps.addAll(Diameter.origin(host));
        avps.add(Diameter.text(283, "kozos-konyha.example"));
        avps.add(Diameter.text(293, DiameterClient.HOST));
        avps.add(Diameter.number(258, 1));
        Diameter on = connections.iterator().next();
        record.line(host + ": ASR for " + id);
        on.write(new Message(0xc0, Diameter.ASR, 1, on.nextHop(), on.nextHop(), avps));
    }
}
