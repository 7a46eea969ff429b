package grebewick.diameter;

import static grebewick.diameter.DiameterMessage.*;

import grebewick.core.ByteBudget;
import grebewick.core.Clock;
import grebewick.core.Timers;
import grebewick.eventloop.InputBuffer;
import grebewick.eventloop.PacedInput;
import io.netty.channel.ChannelOutboundBuffer;
import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.internal.net.NetSocketInternal;
import io.vertx.core.net.NetSocket;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** One transport connection to a peer, in either role: capabilities, watchdogs, disconnecting, hop-by-hop ids. */
final class Connection implements DiameterCodec.Reader {
    /** What a connection tells its owner. */
    interface Owner {
        /** Whether a peer of that identity may connect; {@code asked}: what its own messages say it is. */
        boolean admits(String asked);

        void open(Connection connection);

        void request(Connection connection, DiameterMessage request);

        /** The peer asked to disconnect: it takes nothing new. */
        void draining(Connection connection);

        void heard(Connection connection, DiameterMessage message);

        /** This side is about to close it: the last moment in which something can be said on it. */
        void closing(Connection connection);

        void closed(Connection connection);
    }

    /** Requests without an answer on one connection above which no more are sent. */
    private static final int MOST_PENDING = 20_000;
    /** Bytes that may wait for a peer that does not read. */
    private static final int MOST_UNREAD = 1024 * 1024;
    /** us. In which a peer has to take what was written before its connection was closed. */
    private static final long FAREWELL_US = 1_000_000;

    private final NetSocket socket;
    private final Identity me;
    private final Timers timers;
    private final Owner owner;
    private final Consumer<String> log;
    private final InputBuffer input = new InputBuffer();
    private final DiameterCodec codec = new DiameterCodec(input);
    private final PacedInput paced;
    private final Clock clock;
    private final Map<Integer, Consumer<DiameterMessage>> pending = new HashMap<>();
    private final Runnable patience;
    private boolean open;
    private boolean ended;
    /** When the message that is not whole yet began; 0: there is none. */
    private long halfSinceUs;
    /** Bytes that were written and the network has not taken. */
    private int unread;
    private boolean overrun;
    private int nextHop;
    private String peer = "";
    private long stateId;

    /**
     * {@code initiator}: the exchange of capabilities is asked for, else awaited, for {@code patienceUs}; {@code backlog} is for
     * input that waits to be taken, of all connections of the owner.
     */
    Connection(NetSocket socket, Identity me, boolean initiator, Clock clock, Timers timers, long patienceUs, Owner owner,
               ByteBudget backlog, Consumer<String> log) {
        this.socket = socket;
        this.clock = clock;
        this.me = me;
        this.timers = timers;
        this.owner = owner;
        this.log = log;
        this.nextHop = System.identityHashCode(this);
        this.patience = timers.after(patienceUs, () -> close("no exchange of capabilities"));
        paced = new PacedInput(input, backlog, clock, timers, this::takeNext);
        socket.handler(bytes -> {
            if (!paced.arrived(bytes)) {
                close("it sent more than can be taken in time");
                abort();
            }
        });
        socket.exceptionHandler(e -> {
            // What is open on it is over at once: what else was read in this round must not send it on.
            ended();
            socket.close();
        });
        socket.closeHandler(v -> ended());
        if (initiator) {
            request(own(CAPABILITIES_EXCHANGE, capabilities()), this::capabilitiesAnswer);
        }
    }

    private boolean takeNext() {
        boolean whole = false;
        try {
            whole = codec.next(this);
        } catch (RuntimeException e) {
            close("it sent " + e.getMessage());
        }
        boolean half = !whole && codec.half();
        halfSinceUs = !half ? 0 : halfSinceUs == 0 ? clock.nowUs() : halfSinceUs;
        return whole && !ended;
    }

    /** Whether a message began that long ago, us, and is not whole yet. */
    boolean isHalfFor(long us) {
        return halfSinceUs > 0 && clock.nowUs() - halfSinceUs >= us;
    }

    String peer() {
        return peer;
    }

    /** The peer's Origin-State-Id, 0 where it has none. */
    long stateId() {
        return stateId;
    }

    boolean isOpen() {
        return open && !ended;
    }

    /** The network has not taken all that was handed to it: what is written now waits behind that. */
    boolean isStuck() {
        ChannelOutboundBuffer waiting = ((NetSocketInternal) socket).channelHandlerContext().channel().unsafe().outboundBuffer();
        return waiting != null && waiting.size() > 0;
    }

    private List<Avp> capabilities() {
        List<Avp> list = new ArrayList<>(me.origin());
        byte[] ip = {127, 0, 0, 1};
        if (socket.localAddress() != null && socket.localAddress().host() != null) {
            String[] parts = socket.localAddress().host().split("\\.");
            for (int i = 0; parts.length == 4 && i < 4; i++) {
                ip[i] = (byte) Integer.parseInt(parts[i]);
            }
        }
        list.add(Avp.address(Avp.HOST_IP_ADDRESS, ip));
        list.add(Avp.unsigned(Avp.VENDOR_ID, 0));
        list.add(Avp.note(Avp.PRODUCT_NAME, "grebewick"));
        list.add(Avp.unsigned(Avp.ORIGIN_STATE_ID, me.stateId()));
        list.add(Avp.unsigned(Avp.AUTH_APPLICATION_ID, NASREQ));
        return list;
    }

    /** Sends a request under a hop-by-hop id of its own; the handler gets the answer, or null if none can come. */
    void request(DiameterMessage m, Consumer<DiameterMessage> onAnswer) {
        request(m, onAnswer, () -> {});
    }

    /** {@code sent} is run once the network has it. */
    void request(DiameterMessage m, Consumer<DiameterMessage> onAnswer, Runnable sent) {
        if (ended || pending.size() >= MOST_PENDING) {
            onAnswer.accept(null);
            return;
        }
        int hop = nextHop++;
        pending.put(hop, onAnswer);
        send(m.with(m.flags(), hop, m.avps())).onSuccess(v -> sent.run());
    }

    /** Sends an answer. */
    Future<Void> send(DiameterMessage m) {
        if (ended) {
            return Future.failedFuture("closed");
        }
        Buffer bytes = DiameterCodec.encode(m);
        unread += bytes.length();
        if (unread > MOST_UNREAD && !overrun) {
            overrun = true;
            // Not within the peer's own loop over what it writes.
            timers.after(0, () -> {
                close("it reads nothing");
                abort();
            });
        }
        return overrun ? Future.failedFuture("unread") : socket.write(bytes).onComplete(done -> unread -= bytes.length());
    }

    void sendWatchdog() {
        sendWatchdog(answer -> {});
    }

    /** The handler gets the answer, or null if none can come. */
    void sendWatchdog(Consumer<DiameterMessage> onAnswer) {
        List<Avp> avps = new ArrayList<>(me.origin());
        avps.add(Avp.unsigned(Avp.ORIGIN_STATE_ID, me.stateId()));
        request(own(DEVICE_WATCHDOG, avps), onAnswer);
    }

    /** Says that this node goes (cause REBOOTING) and closes once the peer has answered. */
    void disconnect() {
        announceLeave(socket::close);
    }

    /** Says that this node goes; {@code answered} is run once the peer has answered, or can't any more. */
    void announceLeave(Runnable answered) {
        List<Avp> avps = new ArrayList<>(me.origin());
        avps.add(Avp.unsigned(Avp.DISCONNECT_CAUSE, 0));
        request(own(DISCONNECT_PEER, avps), answer -> answered.run());
    }

    private DiameterMessage own(int command, List<Avp> avps) {
        return new DiameterMessage(REQUEST, command, BASE, 0, nextHop, avps);
    }

    void close(String why) {
        if (!ended) {
            log.accept("diameter: closed the connection to " + (peer.isEmpty() ? "a peer" : peer) + ": " + why);
            owner.closing(this);
        }
        socket.close();
        // Guards against a peer that takes nothing any more: the close would wait for what was written before it.
        timers.after(FAREWELL_US, this::abort);
    }

    /** Closes it with what it has not sent. Vert.x's own close waits until all that was written has left. */
    void abort() {
        ended();
        ((NetSocketInternal) socket).channelHandlerContext().close();
    }

    private void ended() {
        if (ended) {
            return;
        }
        ended = true;
        paced.end();
        patience.run();
        List<Consumer<DiameterMessage>> waiting = new ArrayList<>(pending.values());
        pending.clear();
        waiting.forEach(w -> w.accept(null));
        owner.closed(this);
    }

    @Override
    public void fault(DiameterMessage head, DiameterException fault, boolean lost) {
        if (lost) {
            owner.closing(this);
        }
        if (head.isRequest()) {
            send(head.answer(me, fault));
        }
        if (lost) {
            close(fault.getMessage());
        }
    }

    @Override
    public void message(DiameterMessage m) {
        if (!m.isRequest()) {
            Consumer<DiameterMessage> waits = pending.remove(m.hopByHop());
            if (open) {
                owner.heard(this, m);
            }
            // An answer that nothing waits for is dropped, as RFC 6733, section 6.2, wants it.
            if (waits != null) {
                waits.accept(m);
            }
            return;
        }
        if (!open && m.command() != CAPABILITIES_EXCHANGE) {
            close("a request before the exchange of capabilities");
            return;
        }
        try {
            if (open) {
                owner.heard(this, m);
            }
            take(m);
        } catch (DiameterException fault) {
            send(m.answer(me, fault));
        }
    }

    private void take(DiameterMessage m) {
        if ((m.flags() & ERROR) != 0) {
            throw new DiameterException(DiameterException.INVALID_HDR_BITS, "a request with the E bit", null);
        }
        switch (m.command()) {
            case CAPABILITIES_EXCHANGE -> capabilitiesRequest(m);
            case DEVICE_WATCHDOG -> {
                learn(m);
                send(m.answer(me, SUCCESS, Avp.unsigned(Avp.ORIGIN_STATE_ID, me.stateId())));
            }
            case DISCONNECT_PEER -> {
                send(m.answer(me, SUCCESS));
                owner.draining(this);
            }
            default -> owner.request(this, m);
        }
    }

    private void learn(DiameterMessage m) {
        Avp state = m.find(Avp.ORIGIN_STATE_ID);
        stateId = state == null ? stateId : state.unsigned();
    }

    private static boolean common(DiameterMessage m) {
        for (Avp a : m.avps()) {
            if (a.vendor() == 0 && a.code() == Avp.AUTH_APPLICATION_ID && (a.unsigned() == NASREQ || a.unsigned() == RELAY)) {
                return true;
            }
        }
        return false;
    }

    private void capabilitiesRequest(DiameterMessage m) {
        String host = m.need(Avp.ORIGIN_HOST).text();
        m.need(Avp.ORIGIN_REALM);
        if (!owner.admits(host)) {
            send(m.answer(me, DiameterException.UNKNOWN_PEER));
            close("unknown peer " + host);
        } else if (!common(m)) {
            send(m.answer(me, DiameterException.NO_COMMON_APPLICATION));
            close("no common application with " + host);
        } else {
            List<Avp> more = capabilities();
            more.removeAll(me.origin());
            send(m.answer(me, SUCCESS, more.toArray(Avp[]::new)));
            begin(m, host);
        }
    }

    private void capabilitiesAnswer(DiameterMessage m) {
        if (m == null) {
            return;
        }
        String host = m.text(Avp.ORIGIN_HOST);
        if (m.result() != SUCCESS) {
            close("it answered the exchange of capabilities with " + m.result());
        } else if (!owner.admits(host)) {
            close("it says that it is " + host);
        } else if (!common(m)) {
            close("no common application");
        } else {
            begin(m, host);
        }
    }

    private void begin(DiameterMessage m, String host) {
        patience.run();
        peer = host;
        learn(m);
        if (!open) {
            open = true;
            owner.open(this);
        }
    }
}
