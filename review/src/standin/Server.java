package standin;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.ToLongFunction;

/**
 * A recipe server of the platform's protocol. A set-up is answered after a while, stands, and is released after its time on the
 * connection of its set-up, else on any open one, and again on the next to be opened.
 */
public final class Server {
    /** What a server does with a set-up beside answering it well. */
    public interface Manner {
        /** True: it has seen to the answer itself. */
        default boolean answers(Server server, Trunk on, Held held) throws Exception {
            return false;
        }
    }

    /** A set-up that is in hand. */
    public static final class Held {
        public final Calls.Call call;
        public final Calls.Attempt attempt;
        public final Trunk on;
        public volatile boolean givenUp;
        public volatile boolean stands;

        Held(Calls.Call call, Calls.Attempt attempt, Trunk on) {
            this.call = call;
            this.attempt = attempt;
            this.on = on;
        }
    }

    public final String id;
    public final int port;
    private final Record record;
    private final Calls calls;
    private final ServerSocket listener;
    private final ToLongFunction<Calls.Call> answerMs;
    private final ToLongFunction<Calls.Call> holdMs;
    public volatile Manner manner = new Manner() {};
    private final Map<Long, Held> held = new ConcurrentHashMap<>();
    private final Set<Trunk> open = ConcurrentHashMap.newKeySet();
    private final Map<Long, Trunk.Message> unsaid = new LinkedHashMap<>();
    public final List<String> foreign = new CopyOnWriteArrayList<>();
    public volatile boolean stopped;
    public volatile int mostConnections = Integer.MAX_VALUE;
    public volatile boolean logs = true;

    public Server(String id, ToLongFunction<Calls.Call> answerMs, ToLongFunction<Calls.Call> holdMs, Calls calls, Record record)
        throws IOException {
        this.id = id;
        this.answerMs = answerMs;
        this.holdMs = holdMs;
        this.calls = calls;
        this.record = record;
        listener = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
        port = listener.getLocalPort();
        DiameterServer.start(() -> {
            while (true) {
                Socket socket = listener.accept();
                DiameterServer.start(() -> serve(new Trunk(socket)));
            }
        });
    }

    private void line(String text) {
        if (logs) {
            record.line(id + ": " + text);
        }
    }

    private String report() {
        return "x0:" + Math.max(0, 400 - held.size()) + ";x1:400;qps:60";
    }

    private void serve(Trunk on) throws Exception {
        if (stopped || open.size() >= mostConnections) {
            on.reset();
            return;
        }
        open.add(on);
        try {
            on.write(Trunk.message(Trunk.STATE, 0, -1, "", report(), null));
            synchronized (unsaid) {
                for (Trunk.Message each : unsaid.values()) {
                    on.write(each);
                }
            }
            while (true) {
                take(on, on.read());
            }
        } finally {
            open.remove(on);
            on.socket.close();
            for (Held each : held.values()) {
                if (each.on == on && !each.stands) {
                    end(each, "given up with its connection");
                }
            }
        }
    }

    private void end(Held each, String how) {
        synchronized (each.call) {
            if (Double.isNaN(each.attempt.to)) {
                each.attempt.to = record.now();
                each.attempt.end = how;
            }
        }
        each.givenUp = true;
        held.remove(each.call.id, each);
        line(String.format("%016x: %s", each.call.id, how));
    }

    private void take(Trunk on, Trunk.Message m) throws Exception {
        switch (m.type()) {
            case Trunk.TEST -> on.write(Trunk.message(Trunk.TESTED, m.call(), 1, "", m.cause() == 1 ? report() : "", null));
            case Trunk.RELEASE -> {
                Held each = held.get(m.call());
                if (each != null && each.stands) {
                    held.remove(m.call());
                    each.call.over = record.now();
                    each.call.ended = "released by the gatekeeper";
                    line(String.format("%016x: released by the gatekeeper", m.call()));
                } else if (each != null && each.on == on) {
                    end(each, "given up");
                }
                on.write(Trunk.message(Trunk.RELEASED, m.call(), -1, "", "", null));
            }
            case Trunk.RELEASED -> {
                synchronized (unsaid) {
                    unsaid.remove(m.call());
                }
            }
            case Trunk.SET_UP -> setUp(on, m);
            default -> {}
        }
    }

    private void setUp(Trunk on, Trunk.Message m) throws Exception {
        Calls.Call call = calls.all.get(m.call());
        if (call == null || !java.util.Arrays.equals(call.description, m.parameters().get(210))) {
            foreign.add(String.format("%016x", m.call()));
            line("a set-up that nobody sent: " + m);
            return;
        }
        Held each = new Held(call, call.attempt(id, record.now()), on);
        line(String.format("%016x: set-up", m.call()));
        held.put(m.call(), each);
        DiameterServer.later(answerMs.applyAsLong(call), () -> {
            if (!each.givenUp && !stopped && !manner.answers(this, on, each)) {
                answer(each);
            }
        });
    }

    /** The answer, after which the call stands. */
    public void answer(Held each) throws IOException {
        byte[] description = (id + String.format(" %016x\r\nm=audio 4000 RTP/AVP 0\r\n", each.call.id)).getBytes();
        begin(each);
        each.on.write(Trunk.message(Trunk.ANSWER, each.call.id, -1, "", report(), description));
    }

    /** The call stands from now on. */
    public void begin(Held each) {
        synchronized (each.call) {
            each.attempt.to = record.now();
            each.attempt.end = "answered";
            each.call.standsAt = id;
            each.call.over = Double.NaN;
        }
        each.stands = true;
        line(String.format("%016x: answered", each.call.id));
        DiameterServer.later(holdMs.applyAsLong(each.call), () -> release(each, 16));
    }

    public void refuse(Held each, int cause, String note) throws IOException {
        end(each, "refused " + cause);
        each.on.write(Trunk.message(Trunk.RELEASE, each.call.id, cause, note, report(), null));
    }

    /** Ends a standing call; told on the connection of its set-up, else any. */
    public void release(Held each, int cause) {
        if (stopped || !held.remove(each.call.id, each)) {
            return;
        }
        each.call.over = record.now();
        each.call.ended = "released by " + id + " with " + cause;
        line(String.format("%016x: released with %d", each.call.id, cause));
        Trunk.Message m = Trunk.message(Trunk.RELEASE, each.call.id, cause, "", report(), null);
        synchronized (unsaid) {
            unsaid.put(m.call(), m);
            for (Trunk to : open.contains(each.on) ? List.of(each.on) : List.copyOf(open)) {
                try {
                    to.write(m);
                    break;
                } catch (IOException e) {
                    // On the next one.
                }
            }
        }
    }

    public void cutAll() {
        held.values().stream().filter(h -> h.stands).forEach(h -> release(h, 41));
    }

    public int standing() {
        return (int) held.values().stream().filter(h -> h.stands).count();
    }

    /** The process ends: connections are reset, calls are cut. */
    public void die() throws IOException {
        stopped = true;
        listener.close();
        line("its process has ended");
        held.values().forEach(h -> {
            if (h.stands) {
                h.call.over = record.now();
                h.call.ended = "cut, as " + id + " has ended";
            }
        });
        held.clear();
        for (Trunk each : open) {
            each.reset();
        }
    }

    public int connections() {
        return open.size();
    }

    public void resetAny() throws IOException {
        for (Trunk each : open) {
            line("resets a connection");
            each.reset();
            return;
        }
    }
}
