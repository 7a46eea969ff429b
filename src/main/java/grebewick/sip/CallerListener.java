package grebewick.sip;

import grebewick.config.Address;
import grebewick.core.ByteBudget;
import grebewick.core.Clock;
import grebewick.core.LimitedLog;
import grebewick.core.Timers;
import grebewick.eventloop.PacedInput;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.net.NetSocket;

/** The sockets of the callers' side: connections are accepted, read, and closed for what cannot be read. */
final class CallerListener {
    /** What is read goes there. */
    interface Receiver {
        /** A whole message. */
        void message(CallerLine on, SipMessage message);

        /** What came cannot be read: the connection is closed after this. */
        void unreadable(CallerLine line);

        /** A connection has ended. */
        void closed(CallerLine line);
    }

    private static final int ACCEPT_BACKLOG = 1_024;
    private static final long SWEEP_US = 250_000;
    /** The part of the heap that input may take is one in so many. */
    private static final int HEAP_PART = 8;

    private final Vertx vertx;
    private final CallerLines lines;
    private final Receiver receiver;
    private final Clock clock;
    private final Timers timers;
    private final LimitedLog log;
    private NetServer server;
    /** Of what was read and waits for its slice. */
    private final ByteBudget backlog = ByteBudget.ofHeap(HEAP_PART);
    private long taken;

    CallerListener(Vertx vertx, CallerLines lines, Receiver receiver, Clock clock, Timers timers, LimitedLog log) {
        this.vertx = vertx;
        this.lines = lines;
        this.receiver = receiver;
        this.clock = clock;
        this.timers = timers;
        this.log = log;
    }

    /** Listens; ready once the result is there. */
    Future<NetServer> listen(Address address) {
        timers.after(SWEEP_US, this::sweep);
        return vertx.createNetServer(new NetServerOptions().setTcpNoDelay(true).setAcceptBacklog(ACCEPT_BACKLOG))
            .connectHandler(this::accept).listen(address.port(), address.host()).onSuccess(s -> server = s);
    }

    /** Closes the listener and all connections. */
    Future<Void> close() {
        return server == null ? Future.succeededFuture() : server.close();
    }

    /** Messages since the start. */
    long taken() {
        return taken;
    }

    private void accept(NetSocket socket) {
        CallerLine line = new CallerLine(socket, timers, this::closed, clock.nowUs());
        line.paced = new PacedInput(line.input, backlog, clock, timers, () -> takeNext(line));
        socket.handler(bytes -> read(line, bytes));
        socket.exceptionHandler(e -> {
            // Its calls are over at once: what else was read in this round must not send them on.
            closed(line);
            line.close();
        });
        socket.closeHandler(v -> closed(line));
        if (lines.add(line)) {
            timers.afterInput(() -> lines.evict(clock.nowUs()));
        }
    }

    private void read(CallerLine line, Buffer bytes) {
        if (!line.closed && !line.paced.arrived(bytes)) {
            refuse(line, "more than can be taken in time");
        }
    }

    private boolean takeNext(CallerLine line) {
        SipMessage message;
        try {
            message = line.codec.next();
            if (message != null) {
                taken++;
                line.heardUs = clock.nowUs();
                receiver.message(line, message);
            }
        } catch (RuntimeException e) {
            refuse(line, e.getMessage());
            return false;
        }
        if (line.closed) {
            line.paced.end();
            return false;
        }
        noteHalfMessage(line, message == null);
        return message != null;
    }

    private void refuse(CallerLine line, String what) {
        log.complain("closed a connection that sent " + what);
        receiver.unreadable(line);
        line.close();
        line.paced.end();
    }

    /** Notes when the message began that is not whole yet. */
    private void noteHalfMessage(CallerLine line, boolean allTaken) {
        if (!allTaken || !line.codec.half()) {
            line.halfUs = 0;
        } else if (line.halfUs == 0 || line.halfUs < line.heardUs) {
            line.halfUs = clock.nowUs();
        }
    }

    private void closed(CallerLine line) {
        line.closed = true;
        line.paced.end();
        lines.remove(line);
        receiver.closed(line);
    }

    private void sweep() {
        timers.after(SWEEP_US, this::sweep);
        // What a loop that came late has not read yet may be a set-up: a close would lose it.
        timers.afterInput(() -> lines.sweep(clock.nowUs()));
    }
}
