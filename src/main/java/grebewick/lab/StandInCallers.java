package grebewick.lab;

import grebewick.sip.SipCodec;
import grebewick.sip.SipMessage;
import grebewick.sip.SipMessage.Header;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetSocket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongConsumer;

/**
 * Callers over SIP on a few connections: they ask at given moments whatever comes back, give up at their deadline, and
 * confirm each BYE. Counts by outcome; an answer's time counts from when its INVITE was meant to leave.
 */
public final class StandInCallers {
    private final Vertx vertx;
    private final String tier;
    private final long deadlineMs;
    private final List<NetSocket> sockets = new ArrayList<>();
    private final Map<Long, Long> asked = new HashMap<>();
    private final Map<Long, Long> stood = new HashMap<>();
    private final Map<String, Integer> counts = new java.util.TreeMap<>();
    private final List<Long> answerUs = new ArrayList<>();
    private final Map<Long, Long> overUs = new HashMap<>();
    /** Connections on which a message is half written, and what is to follow it. */
    private final Map<NetSocket, List<Buffer>> pausing = new HashMap<>();
    private LongConsumer answered = id -> {};
    private Observer observer = new Observer() {};
    private NetClient client;
    private long next = 1;

    /** Who is told what becomes of each call, on the event loop. */
    public interface Observer {
        /** Its INVITE leaves. */
        default void asked(long id) {}

        /** A final answer has come, in time or late. */
        default void finalAnswer(long id, int status) {}

        /** Its caller stops waiting without an answer. */
        default void gaveUp(long id) {}

        /** Its caller leaves before its answer and its deadline. */
        default void left(long id) {}

        /** A BYE has come. */
        default void over(long id) {}
    }

    /** Callers of one class, each of whom waits so long. */
    public StandInCallers(Vertx vertx, String tier, long deadlineMs) {
        this.vertx = vertx;
        this.tier = tier;
        this.deadlineMs = deadlineMs;
    }

    /** Names the observer, and the id of the first call. */
    public void observe(Observer who, long firstId) {
        observer = who;
        next = firstId;
    }

    /** Opens so many connections; a lost one is opened again. */
    public Future<Void> connect(int port, int connections) {
        client = client == null ? vertx.createNetClient() : client;
        Future<Void> all = Future.succeededFuture();
        for (int i = 0; i < connections; i++) {
            all = all.compose(v -> one(port));
        }
        return all;
    }

    private Future<Void> one(int port) {
        return client.connect(port, "127.0.0.1").map(socket -> {
            SipCodec codec = new SipCodec();
            sockets.add(socket);
            socket.handler(bytes -> codec.read(bytes, m -> take(socket, m)));
            socket.exceptionHandler(e -> socket.close());
            socket.closeHandler(v -> sockets.remove(socket));
            socket.write(SipCodec.encode(SipMessage.request("OPTIONS", "sip:ping@net", new Header("Call-ID", hex(0)),
                new Header("CSeq", "1 OPTIONS"))));
            return null;
        });
    }

    /** All connections are closed in order, and no answer is waited for; {@link #connect} opens others. */
    public void leave() {
        asked.keySet().forEach(id -> {
            count("left");
            observer.left(id);
        });
        asked.clear();
        List.copyOf(sockets).forEach(NetSocket::close);
        sockets.clear();
    }

    /** Calls that stand, as far as the callers know. */
    public Set<Long> standingCalls() {
        return Set.copyOf(stood.keySet());
    }

    /** Who is told of each call that is answered with 200, as the answer comes. */
    public void onAnswer(LongConsumer answered) {
        this.answered = answered;
    }

    /** How a caller behaves: ms until it gives its set-up up, 0 for never, and of a pause in its writing, 0 for none. */
    public record Manner(long cancelMs, long pauseMs) {
        /** Waits for its answer, and writes at once. */
        public static final Manner USUAL = new Manner(0, 0);
    }

    /** One call to a server group, now; it was meant for {@code meantUs}. Gives its id; 0: there is no connection. */
    public long call(int group, long meantUs) {
        return call(group, meantUs, Manner.USUAL);
    }

    /** The same by a caller of that manner. */
    public long call(int group, long meantUs, Manner manner) {
        List<NetSocket> free = sockets.stream().filter(socket -> !pausing.containsKey(socket)).toList();
        if (free.isEmpty()) {
            count("no connection");
            return 0;
        }
        long id = next++;
        NetSocket on = free.get((int) (id % free.size()));
        Buffer invite = SipCodec.encode(invite(id, group));
        if (manner.pauseMs == 0) {
            ask(id, on, invite, meantUs, manner);
            return id;
        }
        int half = invite.length() / 2;
        on.write(invite.getBuffer(0, half));
        pausing.put(on, new ArrayList<>());
        vertx.setTimer(manner.pauseMs, t -> {
            List<Buffer> held = pausing.remove(on);
            if (sockets.contains(on)) {
                ask(id, on, invite.getBuffer(half, invite.length()), meantUs + manner.pauseMs * 1000, manner);
                held.forEach(on::write);
            }
        });
        return id;
    }

    private SipMessage invite(long id, int group) {
        SipMessage bare = SipMessage.request("INVITE", uri(id), new Header("Via", "SIP/2.0/TCP peer"),
            new Header("Call-ID", hex(id)), new Header("CSeq", "1 INVITE"), new Header("X-Tier", tier),
            new Header("X-Deadline", Long.toString(deadlineMs)), new Header("X-Attrs", "dest:" + group + ";width:1;via:-1"));
        byte[] body = (hex(id) + "\r\nc=IN IP4 127.0.0.1\r\n").getBytes(StandardCharsets.US_ASCII);
        return new SipMessage(bare.method(), bare.uri(), 0, "", bare.headers(), body);
    }

    /** The last bytes of an INVITE leave: its time counts from here. */
    private void ask(long id, NetSocket on, Buffer last, long meantUs, Manner manner) {
        asked.put(id, meantUs);
        observer.asked(id);
        on.write(last);
        if (manner.cancelMs > 0) {
            vertx.setTimer(manner.cancelMs, t -> cancel(id, on));
        }
        vertx.setTimer(deadlineMs, t -> {
            if (asked.remove(id) != null) {
                count("gave up");
                observer.gaveUp(id);
                writeCancel(id, on);
            }
        });
    }

    private void writeCancel(long id, NetSocket on) {
        write(on, SipMessage.request("CANCEL", uri(id), new Header("Call-ID", hex(id)), new Header("CSeq", "1 CANCEL")));
    }

    private static String uri(long id) {
        return "sip:" + hex(id * 7919) + "@net";
    }

    /** The caller of a call gives its set-up up before its deadline, if it still waits. */
    private void cancel(long id, NetSocket on) {
        if (asked.remove(id) != null) {
            count("cancelled");
            observer.left(id);
            writeCancel(id, on);
        }
    }

    /** A caller ends a call of its own that stands; false: none does. */
    public boolean hangUp() {
        if (stood.isEmpty() || sockets.isEmpty()) {
            return false;
        }
        long id = stood.keySet().iterator().next();
        stood.remove(id);
        write(sockets.get(0), SipMessage.request("BYE", "sip:peer@net", new Header("Call-ID", hex(id)),
            new Header("CSeq", "2 BYE"), new Header("Reason", "Q.850;cause=16")));
        return true;
    }

    private void take(NetSocket on, SipMessage m) {
        long id = Long.parseUnsignedLong(m.header("Call-ID", "0"), 16);
        long nowUs = System.nanoTime() / 1000;
        if (m.isRequest()) {
            // A BYE: the call is over.
            boolean known = stood.remove(id) != null;
            count(known ? "ended" : "ended again");
            observer.over(id);
            if (known) {
                overUs.put(id, nowUs);
            }
            write(on, m.response(200, "OK"));
        } else if (m.method().equals("INVITE") && m.status() >= 200) {
            observer.finalAnswer(id, m.status());
            Long sinceUs = asked.remove(id);
            if (sinceUs == null) {
                count("late " + m.status());
                return;
            }
            count(Integer.toString(m.status()));
            answerUs.add(nowUs - sinceUs);
            if (m.status() == 200) {
                stood.put(id, nowUs);
                answered.accept(id);
            }
        } else if (!m.method().equals("INVITE")) {
            count(m.method() + " " + m.status());
        }
    }

    /** What comes while a message is half written follows it. */
    private void write(NetSocket on, SipMessage m) {
        Buffer bytes = SipCodec.encode(m);
        if (pausing.containsKey(on)) {
            pausing.get(on).add(bytes);
        } else {
            on.write(bytes);
        }
    }

    private static String hex(long id) {
        return String.format("%016x", id);
    }

    private void count(String what) {
        counts.merge(what, 1, Integer::sum);
    }

    /** Outcomes by name. */
    public Map<String, Integer> counts() {
        return counts;
    }

    /** us from when each call was meant to leave to its answer, in no order. */
    public List<Long> answerUs() {
        return answerUs;
    }

    /** By call: the moment at which its caller heard that it is over. */
    public Map<Long, Long> overUs() {
        return overUs;
    }

    /** Calls without a final answer that were not given up. */
    public int unanswered() {
        return asked.size();
    }

    /** Calls that stand, as far as the callers know. */
    public int standing() {
        return stood.size();
    }
}
