package grebewick.sip;

import grebewick.config.Address;
import grebewick.core.CallControl.Settings;
import grebewick.core.Callers;
import grebewick.core.Clock;
import grebewick.core.Ending;
import grebewick.core.Gatekeeper;
import grebewick.core.Offer;
import grebewick.core.Timers;
import grebewick.sip.SipMessage.Header;
import grebewick.teardown.RetryPolicy;
import grebewick.teardown.TeardownCounts;
import grebewick.teardown.TeardownSender;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.net.NetSocket;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.LongPredicate;

/** The callers' side over SIP: each call is a session from its INVITE to its BYE. */
public final class SipFront {
    /** s. What a refused caller is told where the module gives no advice. */
    private static final long COME_BACK_S = 1;
    /**
     * BYEs without an answer: again elsewhere after 0.3 s, three times at most; what was written has arrived within
     * 5 s or never will; one waits for a connection from callers for 60 s.
     */
    private static final RetryPolicy BYES = new RetryPolicy(300_000, 3, 5_000_000, 60_000_000, 20_000);
    private static final long SWEEP_US = 250_000;
    /** Part of the descriptors that callers' connections may take: the usual ones take a third at the most. */
    private static final double CALLERS_PART = 0.5;
    /** Open set-ups on a connection on which a call has stood, and on any other. */
    private static final int MOST_OPEN = 128;
    private static final int MOST_OPEN_UNPROVEN = 16;
    /** Useless requests in a row after which a connection is closed: bad ones, failed ones, ones just withdrawn. */
    private static final int MOST_USELESS = 8;

    private final Vertx vertx;
    private final Gatekeeper<byte[]> core;
    private final Clock clock;
    private final Timers timers;
    private final Consumer<String> log;
    private final Map<Long, Session> sessions = new HashMap<>();
    private final CallerLines lines;
    private final TeardownSender<Long, SipMessage, CallerLine> byes;
    private final OfferReader offers;
    private LongPredicate formerProcessCalls = id -> false;
    private boolean testsPass = true;
    private boolean takesCalls = true;
    private NetServer server;
    private int bad;
    private long taken;

    /** Makes the front of a core; {@code sockets} are the descriptors that the process may have. */
    public SipFront(Vertx vertx, Settings set, int sockets, Gatekeeper<byte[]> core, Clock clock, Timers timers,
                    Consumer<String> log) {
        lines = new CallerLines(mostLines(sockets));
        byes = new TeardownSender<>(BYES, lines, clock, timers, SWEEP_US);
        offers = new OfferReader(set);
        this.vertx = vertx;
        this.core = core;
        this.clock = clock;
        this.timers = timers;
        this.log = log;
    }

    /** How many connections from callers are held with so many descriptors. */
    public static int mostLines(int sockets) {
        return (int) (sockets * CALLERS_PART);
    }

    /** Listens; ready once the result is there. */
    public Future<NetServer> listen(Address address) {
        timers.after(SWEEP_US, this::sweep);
        byes.start();
        return vertx.createNetServer(new NetServerOptions().setTcpNoDelay(true).setAcceptBacklog(1024))
            .connectHandler(this::accept).listen(address.port(), address.host()).onSuccess(s -> server = s);
    }

    /** Closes the listener and all connections. */
    public Future<Void> close() {
        return server == null ? Future.succeededFuture() : server.close();
    }

    /** Who may know a call that has no session here; says whether its release was passed on. */
    public void onCallOfFormerProcess(LongPredicate told) {
        formerProcessCalls = told;
    }

    /** A call that stood before this process started is over. */
    public void releaseCallOfFormerProcess(long id, Ending ending) {
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
        CallerLine line = new CallerLine(socket, timers, this::closed, clock.nowUs());
        socket.handler(bytes -> read(line, bytes));
        socket.exceptionHandler(e -> {
            // Its calls are over at once: what else was read in this round must not send them on.
            closed(line);
            line.close();
        });
        socket.closeHandler(v -> closed(line));
        lines.add(line);
    }

    private void read(CallerLine line, Buffer bytes) {
        if (line.closed) {
            return;
        }
        try {
            line.codec.read(bytes, message -> {
                if (!line.closed) {
                    taken++;
                    line.heardUs = clock.nowUs();
                    take(line, message);
                }
            });
            line.halfUs = !line.codec.half() ? 0 : line.halfUs > 0 && line.halfUs >= line.heardUs ? line.halfUs : clock.nowUs();
        } catch (RuntimeException e) {
            complain("closed a connection that sent " + e.getMessage());
            // Guards the set-ups before it on the same connection: with it they would be lost without an answer.
            List.copyOf(line.open).forEach(each -> core.answer(((Session) each).call));
            line.close();
        }
    }

    /** Guards the log against a flood: the first lines, then every hundredth. */
    private void complain(String text) {
        if (++bad <= 20 || bad % 100 == 0) {
            log.accept("sip: " + text + " (" + bad + " so far)");
        }
    }

    private void closed(CallerLine line) {
        line.closed = true;
        lines.remove(line);
        for (Object each : List.copyOf(line.open)) {
            Session s = (Session) each;
            s.answered = true;
            sessions.remove(s.id, s);
            core.hangup(s.call);
        }
        line.open.clear();
        // Guards against a BYE lost in a connection that its caller was just closing.
        byes.lost(line);
    }

    private void take(CallerLine on, SipMessage m) {
        if (!m.isRequest()) {
            if (m.method().equals("BYE")) {
                heard(on, m);
            }
            return;
        }
        switch (m.method()) {
            case "INVITE" -> invite(on, m);
            case "CANCEL" -> cancel(on, m);
            case "BYE" -> bye(on, m);
            case "OPTIONS" -> {
                spoke(on);
                on.write(testsPass ? m.response(200, "OK") : m.response(503, "Service Unavailable"));
            }
            case "ACK", "NOTIFY" -> {}
            default -> useless(on, m, 501, "Not Implemented");
        }
    }

    /** It has said something of use: what is owed may go there, and goes there from who is less likely a caller. */
    private void spoke(CallerLine on) {
        if (!on.spoke) {
            on.spoke = true;
            byes.found(on);
        }
    }

    /** Guards against a BYE that went to a stranger: it is not over before a caller has said that it knows the call. */
    private void heard(CallerLine on, SipMessage m) {
        if (m.status() >= 300) {
            byes.denied(id(m), on);
        } else if (m.status() >= 200) {
            byes.told(id(m));
        }
    }

    private void useless(CallerLine on, SipMessage m, int status, String phrase) {
        on.write(m.response(status, phrase));
        useless(on);
    }

    /** Who sends nothing of use is closed: at full speed that takes the core, and the servers' time. */
    private void useless(CallerLine on) {
        if (++on.useless >= MOST_USELESS && on.open.isEmpty() && on.standing == 0) {
            complain("closed a connection that sent nothing of use");
            on.close();
        }
    }

    private static long id(SipMessage m) {
        String text = m.header("Call-ID", m.header("i", ""));
        if (text.length() != 16) {
            throw new IllegalArgumentException("a Call-ID that is not 16 hex digits");
        }
        return Long.parseUnsignedLong(text, 16);
    }

    private void invite(CallerLine on, SipMessage m) {
        long id = id(m);
        Offer<byte[]> offer;
        try {
            offer = offers.read(id, m);
        } catch (IllegalArgumentException e) {
            useless(on, m, 400, "Bad Request");
            return;
        }
        Session known = sessions.get(id);
        if (known != null) {
            // A repeat of the same is no second request; another under its id must not take the first one's place.
            if (known.on != on || !Arrays.equals(known.invite.body(), m.body())) {
                useless(on, m, 482, "Loop Detected");
            }
            return;
        }
        // What is over goes before what is new.
        byes.first();
        spoke(on);
        if (!on.asked) {
            on.asked = true;
            byes.found(on);
        }
        Session session = new Session(id, on, m, offer.leftUs());
        on.open.add(session);
        // Guards the servers against one connection's flood; a usual caller's connection has a few open.
        if (!takesCalls || on.open.size() > (on.proven ? MOST_OPEN : MOST_OPEN_UNPROVEN)) {
            session.refused(0, 0);
            return;
        }
        sessions.put(id, session);
        session.call = core.offer(offer, session);
    }

    private void cancel(CallerLine on, SipMessage m) {
        Session s = sessions.get(id(m));
        // Only where the set-up came from: elsewhere it is a stranger's.
        boolean known = s != null && s.on == on;
        on.write(known ? m.response(200, "OK") : m.response(481, "Call/Transaction Does Not Exist"));
        if (known && !s.answered) {
            s.answer(487, "Request Terminated");
            core.hangup(s.call);
            if (clock.nowUs() - s.sinceUs < s.waitUs / 2) {
                useless(on);
            }
        }
    }

    private void bye(CallerLine on, SipMessage m) {
        Session s = sessions.get(id(m));
        boolean known = s == null ? formerProcessCalls.test(id(m)) : s.stands;
        on.write(known ? m.response(200, "OK") : m.response(481, "Call/Transaction Does Not Exist"));
        if (s != null && s.stands) {
            spoke(on);
            sessions.remove(s.id, s);
            s.on.standing--;
            core.releasedByCaller(s.call);
        }
    }

    private void release(long id, String callId, Ending ending, CallerLine on) {
        byes.owe(id, SipMessage.request("BYE", "sip:peer@net", new Header("Via", "SIP/2.0/TCP gatekeeper"),
            new Header("Call-ID", callId), new Header("CSeq", "1 BYE"),
            new Header("Reason", "Q.850;cause=" + (ending == Ending.CUT ? 41 : 16))), on);
    }

    /** BYEs that are owed, and what became of those before. */
    public TeardownCounts pendingTeardowns() {
        return byes.counts();
    }

    /** Bytes that callers were sent and the network has not taken. */
    public long unwritten() {
        return lines.unwritten();
    }

    /** Messages from callers since the start. */
    public long taken() {
        return taken;
    }

    private void sweep() {
        timers.after(SWEEP_US, this::sweep);
        // What a loop that came late has not read yet may be a set-up: a close would lose it.
        timers.afterInput(() -> lines.sweep(clock.nowUs()));
    }

    /** One call on this side. */
    private final class Session implements Callers<byte[]> {
        final long id;
        final CallerLine on;
        final SipMessage invite;
        final long sinceUs;
        final long waitUs;
        long call;
        boolean answered;
        boolean stands;

        Session(long id, CallerLine on, SipMessage invite, long waitUs) {
            sinceUs = clock.nowUs();
            this.waitUs = waitUs;
            this.id = id;
            this.on = on;
            this.invite = invite;
        }

        /** The one place where an INVITE gets a final answer that is not 200. */
        void answer(int status, String phrase, Header... more) {
            answered = true;
            on.open.remove(this);
            sessions.remove(id, this);
            on.write(invite.response(status, phrase, more));
        }

        @Override
        public void stands(long number, byte[] description) {
            answered = true;
            stands = true;
            on.standing++;
            on.open.remove(this);
            on.useless = 0;
            on.write(invite.response(200, "OK", description));
            if (!on.proven) {
                on.proven = true;
                byes.found(on);
            }
        }

        @Override
        public void refused(long number, long comeBackUs) {
            long seconds = comeBackUs > 0 ? (comeBackUs + 999_999) / 1_000_000 : COME_BACK_S;
            answer(503, "Service Unavailable", new Header("Retry-After", Long.toString(seconds)));
        }

        @Override
        public void failed(long number) {
            answer(500, "Server Internal Error");
            // Not one that ran out of time.
            if (!on.proven && clock.nowUs() - sinceUs < waitUs / 2) {
                useless(on);
            }
        }

        @Override
        public void released(long number, Ending ending) {
            on.standing--;
            sessions.remove(id, this);
            release(id, invite.header("Call-ID", invite.header("i", "")), ending, on);
        }
    }
}
