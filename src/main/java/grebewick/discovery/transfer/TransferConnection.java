package grebewick.discovery.transfer;

import io.vertx.core.Context;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetSocket;
import java.util.ArrayDeque;
import java.util.Optional;

/**
 * One transfer over TCP. Reads one message a turn of the event loop, and no more from the network meanwhile; what is told of
 * it is told once.
 */
final class TransferConnection {
    /** What a transfer comes to. */
    interface Listener {
        /** Bytes came. */
        void received(int bytes);

        /** All of an answer is there. */
        void answered(TransferResponse response);

        /** There will be none. */
        void failed(TransferFailure failure, String cause);
    }

    /** Bytes of a server's records at the least; bounds the records by the bytes. */
    private static final int LEAST_RECORD_BYTES = 12;
    private static final int MAX_MESSAGE_BYTES = 0xffff;

    private final Context context;
    private final TransferRequest request;
    private final Listener listener;
    private final TransferAssembler assembler;
    private final MessageFraming framing = new MessageFraming(MAX_MESSAGE_BYTES);
    private final ArrayDeque<byte[]> unread = new ArrayDeque<>();
    private NetSocket socket;
    private boolean isReading;
    private boolean isEnded;
    private boolean isDone;

    TransferConnection(Context context, TransferRequest request, long maxBytes, Listener listener) {
        this.context = context;
        this.request = request;
        this.listener = listener;
        int maxRecords = (int) Math.min(Integer.MAX_VALUE, maxBytes / LEAST_RECORD_BYTES);
        assembler = new TransferAssembler(request, maxRecords, maxBytes);
    }

    /** Connects and asks. */
    void open(NetClient client, Replica replica) {
        client.connect(replica.address().socket()).onSuccess(this::connected)
            .onFailure(e -> fail(TransferFailure.DISCONNECTED, e.getMessage()));
    }

    /** Ends it; nothing more is told. */
    void close() {
        isDone = true;
        if (socket != null) {
            socket.close();
        }
    }

    private void connected(NetSocket connected) {
        socket = connected;
        if (isDone) {
            socket.close();
            return;
        }
        socket.handler(this::read);
        socket.exceptionHandler(e -> fail(TransferFailure.DISCONNECTED, e.getMessage()));
        socket.closeHandler(v -> ended());
        socket.write(Buffer.buffer(MessageFraming.frame(TransferCodec.encodeQuery(request))));
    }

    private void read(Buffer buffer) {
        if (isDone) {
            return;
        }
        listener.received(buffer.length());
        try {
            unread.addAll(framing.add(buffer.getBytes()));
        } catch (TransferException e) {
            fail(TransferFailure.MALFORMED, e.getMessage());
            return;
        }
        if (!isReading && !unread.isEmpty()) {
            isReading = true;
            socket.pause();
            readNext();
        }
    }

    private void readNext() {
        if (isDone) {
            return;
        }
        byte[] message = unread.poll();
        if (message == null) {
            isReading = false;
            if (isEnded) {
                fail(TransferFailure.DISCONNECTED, "closed within an answer");
            } else {
                socket.resume();
            }
            return;
        }
        try {
            Optional<TransferResponse> response = assembler.add(message);
            if (response.isPresent()) {
                close();
                listener.answered(response.get());
                return;
            }
        } catch (TransferException e) {
            fail(TransferFailure.MALFORMED, e.getMessage());
            return;
        }
        context.runOnContext(v -> readNext());
    }

    private void ended() {
        isEnded = true;
        if (!isReading) {
            fail(TransferFailure.DISCONNECTED, "closed within an answer");
        }
    }

    private void fail(TransferFailure failure, String cause) {
        if (!isDone) {
            close();
            listener.failed(failure, cause);
        }
    }
}
