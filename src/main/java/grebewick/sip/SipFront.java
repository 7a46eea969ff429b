package grebewick.sip;

import grebewick.core.Callers;
import grebewick.core.Clock;
import grebewick.core.Ending;
import grebewick.core.Gatekeeper;
import grebewick.core.Offer;
import grebewick.core.Timers;
import grebewick.config.Address;
import grebewick.sip.SipMessage.Header;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.net.NetSocket;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongPredicate;

/** The callers' side over SIP: each call is a session from its INVITE to its BYE. */
public final class SipFront {
    /** s. What a refused caller is told where the module gives no advice. */
    private static final long COME_BACK_S = 1;
    /** us. After this a BYE that was written and brought no answer has arrived or never will. */
    private static final long BYE_US = 5_000_000;
    /** us. How long a BYE waits for a connection from callers. */
    private static final long OWED_US = 60_000_000;
    private static final long SWEEP_US = 1_000_000;

    private final Vertx vertx;
    private final Gatekeeper<byte[]> core;
    private final Clock clock;
    private final Timers timers;
    private final Consumer<String> log;
    private final Map<Long, Session> sessions = new HashMap<>();
    private final Map<Long, Bye> byes = new LinkedHashMap<>();
    private final Set<NetSocket> connections = new LinkedHashSet<>();
    private LongPredicate strays = id -> false;
    private boolean testsPass = true;
    private boolean takesCalls = true;

    /** Makes the front of a core. */
    public SipFront(Vertx vertx, Gatekeeper<byte[]> core, Clock clock, Timers timers, Consumer<String> log) {
        this.vertx = vertx;
        this.core = core;
        this.clock = clock;
        this.timers = timers;
        this.log = log;
    }

    /** Listens; ready once the result is there. */
    public Future<NetServer> listen(Address address) {
        timers.after(SWEEP_US, this::sweep);
        return vertx.createNetServer(new NetServerOptions().setTcpNoDelay(true).setAcceptBacklog(1024))
            .connectHandler(this::accept).listen(address.port(), address.host());
    }

    /** Who may know a call that has no session here; says whether its release was passed on. */
    public void onStray(LongPredicate told) {
        strays = told;
    }

    /** A call that stood before this process started is over. */
    public void releaseStray(long id, Ending ending) {
        release(id, String.format("%016x", id), ending, null);
    }

    /** From now on tests fail, so that callers go elsewhere; calls are still taken. */
    public void failTests() {
        testsPass = false;
    }

    /** From now on calls are refused. */
    public void refuseCalls() {
        takesCalls = false;
    }

    private void accept(NetSocket socket) {
        connections.add(socket);
        SipCodec codec = new SipCodec();
        socket.handler(bytes -> read(socket, codec, bytes));
        socket.exceptionHandler(e -> socket.close());
        socket.closeHandler(v -> closed(socket));
        for (Bye bye : List.copyOf(byes.values())) {
            if (bye.on == null) {
                send(bye, socket);
            }
        }
    }

    private void read(NetSocket socket, SipCodec codec, Buffer bytes) {
        try {
            codec.read(bytes, message -> take(socket, message));
        } catch (RuntimeException e) {
            log.accept("sip: closed a connection that sent " + e.getMessage());
            socket.close();
        }
    }

    private void closed(NetSocket socket) {
        connections.remove(socket);
        for (Session s : List.copyOf(sessions.values())) {
            if (s.on == socket && !s.answered) {
                s.answered = true;
                sessions.remove(s.id, s);
                core.hangup(s.call);
            }
        }
        // Guards against a BYE lost in a connection that its caller was just closing.
        for (Bye bye : List.copyOf(byes.values())) {
            if (bye.on == socket) {
                send(bye, any());
            }
        }
    }

    private NetSocket any() {
        NetSocket last = null;
        for (NetSocket socket : connections) {
            last = socket;
        }
        return last;
    }

    private void take(NetSocket on, SipMessage m) {
        if (!m.isRequest()) {
            if (m.method().equals("BYE")) {
                byes.remove(id(m));
            }
            return;
        }
        switch (m.method()) {
            case "INVITE" -> invite(on, m);
            case "CANCEL" -> cancel(on, m);
            case "BYE" -> bye(on, m);
            case "OPTIONS" -> write(on, testsPass ? m.response(200, "OK") : m.response(503, "Service Unavailable"));
            case "ACK", "NOTIFY" -> { }
            default -> write(on, m.response(501, "Not Implemented"));
        }
    }

    private static long id(SipMessage m) {
        String text = m.header("Call-ID", m.header("i", ""));
        if (text.length() != 16) {
            throw new IllegalArgumentException("a Call-ID that is not 16 hex digits");
        }
        return Long.parseUnsignedLong(text, 16);
    }

    private void invite(NetSocket on, SipMessage m) {
        long id = id(m);
        if (sessions.containsKey(id)) {
            return;
        }
        Offer<byte[]> offer;
        try {
            offer = offer(id, m);
        } catch (RuntimeException e) {
            write(on, m.response(400, "Bad Request"));
            return;
        }
        Session session = new Session(id, on, m);
        if (!takesCalls) {
            session.refused(0, 0);
            return;
        }
        sessions.put(id, session);
        session.call = core.offer(offer, session);
    }

    private static Offer<byte[]> offer(long id, SipMessage m) {
        Map<String, Double> attrs = new HashMap<>();
        for (String part : m.header("X-Attrs", "").split(";")) {
            int colon = part.indexOf(':');
            if (colon > 0) {
                attrs.put(part.substring(0, colon).trim(), Double.valueOf(part.substring(colon + 1).trim()));
            }
        }
        String uri = m.uri();
        int colon = uri.indexOf(':');
        int at = uri.indexOf('@');
        String number = at > colon ? uri.substring(colon + 1, at) : uri.substring(colon + 1);
        String tier = m.header("X-Tier");
        if (tier == null) {
            throw new IllegalArgumentException("no X-Tier");
        }
        return new Offer<>(id, tier, number, Long.parseLong(m.header("X-Deadline")) * 1000,
            m.header("X-Resent", "0").equals("1"), attrs.getOrDefault("again", 0.0) == 1,
            attrs.getOrDefault("width", 1.0), attrs.getOrDefault("dest", -1.0).intValue(),
            attrs.getOrDefault("via", -1.0), m.body());
    }

    private void cancel(NetSocket on, SipMessage m) {
        Session s = sessions.get(id(m));
        write(on, s == null ? m.response(481, "Call/Transaction Does Not Exist") : m.response(200, "OK"));
        if (s != null && !s.answered) {
            s.answer(487, "Request Terminated");
            core.hangup(s.call);
        }
    }

    private void bye(NetSocket on, SipMessage m) {
        Session s = sessions.get(id(m));
        boolean known = s == null ? strays.test(id(m)) : s.stands;
        write(on, known ? m.response(200, "OK") : m.response(481, "Call/Transaction Does Not Exist"));
        if (s != null && s.stands) {
            sessions.remove(s.id, s);
            core.releasedByCaller(s.call);
        }
    }

    private void release(long id, String callId, Ending ending, NetSocket on) {
        Bye bye = new Bye(SipMessage.request("BYE", "sip:peer@net", new Header("Via", "SIP/2.0/TCP gatekeeper"),
            new Header("Call-ID", callId), new Header("CSeq", "1 BYE"),
            new Header("Reason", "Q.850;cause=" + (ending == Ending.CUT ? 41 : 16))), clock.nowUs());
        byes.put(id, bye);
        send(bye, connections.contains(on) ? on : any());
    }

    private void send(Bye bye, NetSocket on) {
        bye.on = on;
        if (on != null) {
            bye.sentUs = clock.nowUs();
            write(on, bye.message);
        }
    }

    private void sweep() {
        timers.after(SWEEP_US, this::sweep);
        long now = clock.nowUs();
        byes.values().removeIf(bye -> now - bye.sentUs > (bye.on != null ? BYE_US : OWED_US));
    }

    private void write(NetSocket on, SipMessage m) {
        if (connections.contains(on)) {
            on.write(SipCodec.encode(m));
        }
    }

    private static final class Bye {
        final SipMessage message;
        NetSocket on;
        long sentUs;

        Bye(SipMessage message, long sentUs) {
            this.message = message;
            this.sentUs = sentUs;
        }
    }

    /** One call on this side. */
    private final class Session implements Callers<byte[]> {
        final long id;
        final NetSocket on;
        final SipMessage invite;
        long call;
        boolean answered;
        boolean stands;

        Session(long id, NetSocket on, SipMessage invite) {
            this.id = id;
            this.on = on;
            this.invite = invite;
        }

        /** The one place where an INVITE gets a final answer that is not 200. */
        void answer(int status, String phrase, Header... more) {
            answered = true;
            sessions.remove(id, this);
            write(on, invite.response(status, phrase, more));
        }

        @Override
        public void stands(long number, byte[] description) {
            answered = true;
            stands = true;
            write(on, invite.response(200, "OK", description));
        }

        @Override
        public void refused(long number, long comeBackUs) {
            long seconds = comeBackUs > 0 ? (comeBackUs + 999_999) / 1_000_000 : COME_BACK_S;
            answer(503, "Service Unavailable", new Header("Retry-After", Long.toString(seconds)));
        }

        @Override
        public void failed(long number) {
            answer(500, "Server Internal Error");
        }

        @Override
        public void released(long number, Ending ending) {
            sessions.remove(id, this);
            release(id, invite.header("Call-ID", invite.header("i", "")), ending, on);
        }
    }
}
