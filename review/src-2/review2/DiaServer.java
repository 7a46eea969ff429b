package review2;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;

/**
 * A sound authorising server: a session is open from its answer until an STR, or until it ends it itself with an ASR. Sessions
 * belong to no connection. An ASR that no connection takes goes out on the next one.
 */
final class DiaServer implements Dia.Handler {
    final String host;
    final int port;
    /** Open sessions. */
    final Map<String, Long> open = new ConcurrentHashMap<>();
    /** Sessions that were ended from the other side, by STR, while they were open; with the time, ms. */
    final Map<String, Long> terminated = new ConcurrentHashMap<>();
    final List<String> asked = new CopyOnWriteArrayList<>();
    final List<Dia.Line> lines = new CopyOnWriteArrayList<>();
    /** Answers that never arrive. */
    volatile Predicate<String> losesAnswer = id -> false;
    /** From a request to its answer, ms; watchdogs are answered at once. */
    volatile ToLongFunction<String> answerMs = id -> 0;
    /** Requests that have come whole, without an answer yet, and not given up: by an STR or with their connection. */
    final Map<String, Dia.Line> outstanding = new ConcurrentHashMap<>();
    private final Kit kit;
    private final long holdMs;
    private final List<String> owed = new CopyOnWriteArrayList<>();
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread t = new Thread(task, "timer");
        t.setDaemon(true);
        return t;
    });

    DiaServer(Kit kit, String host, int port, long holdMs) throws IOException {
        this.kit = kit;
        this.host = host;
        this.port = port;
        this.holdMs = holdMs;
        ServerSocket listener = new ServerSocket(port, 50, InetAddress.getByName("127.0.0.1"));
        int state = (int) (System.currentTimeMillis() / 1000);
        Thread accepting = new Thread(() -> {
            try {
                while (true) {
                    Dia.Line line = new Dia.Line(listener.accept(), host, state, this);
                    lines.add(line);
                    line.start();
                }
            } catch (IOException e) {
                kit.say(host + " accepts no more: " + e);
            }
        }, "accepts");
        accepting.setDaemon(true);
        accepting.start();
    }

    @Override
    public void message(Dia.Line line, Dia.Message m) throws IOException {
        String id = m.text(Dia.SESSION_ID);
        if (m.command() == Dia.CER && m.isRequest()) {
            kit.say(host + " has a connection");
            for (String each : List.copyOf(owed)) {
                owed.remove(each);
                abort(each);
            }
        } else if (m.command() == Dia.AAR && m.isRequest()) {
            asked.add(id);
            boolean lost = losesAnswer.test(id);
            kit.say(host + " got AAR " + id + ((m.flags() & 0x10) != 0 ? " T" : "") + (lost ? ", its answer will be lost" : ""));
            outstanding.put(id, line);
            long ms = answerMs.applyAsLong(id);
            if (ms <= 0) {
                answer(line, m, lost);
            } else {
                timer.schedule(() -> answer(line, m, lost), ms, TimeUnit.MILLISECONDS);
            }
        } else if (m.command() == Dia.STR && m.isRequest()) {
            outstanding.remove(id);
            boolean was = open.remove(id) != null;
            if (was) {
                terminated.put(id, kit.nowMs());
            }
            kit.say(host + " got STR " + id + (was ? ", which was open" : ""));
            line.answer(m, was ? 2001 : 5002, line.origin());
        } else if (m.command() == Dia.ASR) {
            kit.say(host + " got ASA " + id + " " + m.number(Dia.RESULT));
        }
    }

    private void answer(Dia.Line line, Dia.Message m, boolean lost) {
        String id = m.text(Dia.SESSION_ID);
        if (!outstanding.remove(id, line)) {
            return;
        }
        open.put(id, kit.nowMs());
        timer.schedule(() -> end(id), holdMs, TimeUnit.MILLISECONDS);
        if (lost) {
            return;
        }
        List<Dia.Avp> avps = line.origin();
        avps.add(Dia.number(Dia.AUTH_APPLICATION, 1));
        avps.add(Dia.number(Dia.AUTH_REQUEST_TYPE, 1));
        try {
            line.answer(m, 2001, avps);
            kit.say(host + " answers " + id);
        } catch (IOException e) {
            kit.say(host + ": " + e);
        }
    }

    /** The session's time is up. */
    private void end(String id) {
        if (open.remove(id) != null) {
            kit.say(host + " ends " + id);
            abort(id);
        }
    }

    private void abort(String id) {
        for (Dia.Line line : lines) {
            if (line.open) {
                List<Dia.Avp> avps = new ArrayList<>(List.of(Dia.text(Dia.SESSION_ID, id)));
                avps.addAll(line.origin());
                avps.add(Dia.text(Dia.DESTINATION_REALM, "kozos-konyha.example"));
                avps.add(Dia.text(Dia.DESTINATION_HOST, "gatekeeper.kozos-konyha.example"));
                avps.add(Dia.number(Dia.AUTH_APPLICATION, 1));
                try {
                    line.send(Dia.request(Dia.ASR, 1, avps));
                    return;
                } catch (IOException e) {
                    kit.say(host + ": " + e);
                }
            }
        }
        owed.add(id);
    }

    @Override
    public void closed(Dia.Line line) {
        lines.remove(line);
        outstanding.values().removeIf(each -> each == line);
        kit.say(host + ": a connection has ended");
    }
}
