package grebewick.discovery.replica;

import grebewick.core.Clock;
import grebewick.core.Timers;
import grebewick.discovery.replica.ReplicaState.Transport;
import grebewick.discovery.transfer.MessageFraming;
import grebewick.discovery.transfer.TransferCodec;
import grebewick.discovery.transfer.TransferException;
import grebewick.discovery.transfer.TransferRequest;
import grebewick.discovery.transfer.TransferResponse;
import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.internal.net.NetSocketInternal;
import io.vertx.core.net.NetSocket;
import java.util.ArrayDeque;
import java.util.Collections;
import java.util.Iterator;
import java.util.function.Consumer;

/**
 * One client over TCP: queries are answered one after the other. Messages are encoded when the socket takes them, so that a
 * slow reader holds one write queue at the most; one that takes nothing, or asks nothing, is closed.
 */
final class ClientConnection {
    /** Bytes of a query at the most. */
    private static final int MOST_QUERY = 1_024;
    /** Bytes that wait for the socket before no more are encoded. */
    private static final int WRITE_QUEUE = 65_536;

    /** Messages that are encoded in a turn of the event loop: 256 servers, so that long copies hold nobody up. */
    private static final int MESSAGES_PER_TURN = 8;

    private final NetSocket socket;
    private final ReplicaState state;
    private final ServerLimits limits;
    private final Clock clock;
    private final Timers timers;
    private final Consumer<Runnable> nextTurn;
    private final MessageFraming framing = new MessageFraming(MOST_QUERY);
    private final ArrayDeque<byte[]> queries = new ArrayDeque<>();
    private Iterator<byte[]> messages = Collections.emptyIterator();
    private boolean answering;
    private boolean isTransfer;
    private boolean ending;
    private boolean closed;
    private long answerEndUs;
    private Runnable deadline = () -> {};
    /** The write of the latest message: the answer has left once this has. */
    private Future<Void> lastWrite = Future.succeededFuture();
    /** Answers begun. What was put off for an earlier one must not end the present one. */
    private long answerNumber;

    ClientConnection(NetSocket socket, ReplicaState state, ServerLimits limits, Clock clock, Timers timers,
                     Consumer<Runnable> nextTurn) {
        this.socket = socket;
        this.state = state;
        this.limits = limits;
        this.clock = clock;
        this.timers = timers;
        this.nextTurn = nextTurn;
        socket.setWriteQueueMaxSize(WRITE_QUEUE);
        socket.handler(this::read);
        // A close follows.
        socket.exceptionHandler(e -> {});
        closeAfter(limits.idleUs());
    }

    private void closeAfter(long us) {
        deadline.run();
        deadline = timers.after(us, this::close);
    }

    /** At once: Vert.x's own close waits until all that was written has left, and this client may read nothing. */
    private void close() {
        if (!closed) {
            ((NetSocketInternal) socket).channelHandlerContext().close();
        }
    }

    /** The socket is closed. */
    void closed() {
        closed = true;
        deadline.run();
        endTransfer();
    }

    /** Takes no more queries, and closes once the answer that has begun has ended. */
    void end() {
        ending = true;
        if (!answering) {
            close();
        }
    }

    private void read(Buffer bytes) {
        try {
            queries.addAll(framing.add(bytes.getBytes()));
        } catch (TransferException e) {
            state.malformed(clock.nowUs());
            close();
            return;
        }
        answerNext();
    }

    private void answerNext() {
        byte[] query = answering || ending ? null : queries.poll();
        if (query == null) {
            return;
        }
        answering = true;
        answerNumber++;
        socket.pause();
        answerEndUs = clock.nowUs() + limits.answerUs();
        try {
            TransferRequest request = TransferCodec.decodeQuery(query);
            TransferResponse response = state.answer(request, Transport.STREAM, clock.nowUs());
            isTransfer = ReplicaState.isTransfer(response);
            messages = TransferCodec.encodeStream(request, response, state.ageUs(request.zone(), clock.nowUs()));
        } catch (TransferException e) {
            // After what cannot be read nothing can be trusted: it is told so, and that is the end.
            ending = true;
            byte[] error = state.malformed(clock.nowUs()) ? TransferCodec.formatError(query).orElse(null) : null;
            messages = error == null ? Collections.emptyIterator() : Collections.singleton(error).iterator();
        }
        write();
    }

    private void write() {
        for (int i = 0; i < MESSAGES_PER_TURN && !closed && messages.hasNext() && !socket.writeQueueFull(); i++) {
            Buffer framed = Buffer.buffer(MessageFraming.frame(messages.next()));
            state.sent(framed.length());
            lastWrite = socket.write(framed);
        }
        if (closed) {
            return;
        }
        long leftUs = answerEndUs - clock.nowUs();
        closeAfter(Math.max(1, Math.min(limits.stalledUs(), leftUs)));
        if (!messages.hasNext()) {
            // Both the next turn and a drained queue may come here: the answer ends once.
            long number = answerNumber;
            lastWrite.onSuccess(written -> answered(number));
        } else if (socket.writeQueueFull()) {
            socket.drainHandler(drained -> write());
        } else {
            nextTurn.accept(this::write);
        }
    }

    private void answered(long number) {
        if (closed || !answering || number != answerNumber) {
            return;
        }
        endTransfer();
        answering = false;
        if (ending) {
            close();
            return;
        }
        closeAfter(limits.idleUs());
        socket.resume();
        answerNext();
    }

    private void endTransfer() {
        if (isTransfer) {
            isTransfer = false;
            state.transferEnded();
        }
    }
}
