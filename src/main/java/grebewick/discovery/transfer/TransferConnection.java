package grebewick.discovery.transfer;

import io.vertx.core.Context;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetSocket;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * A connection to a replica with its transfers. Answers are told apart by the ids of their messages, in whatever order they
 * come (RFC 7766, section 7). Reads one message a turn of the event loop, a long one in several turns, and no more from the
 * network meanwhile; what is told of a transfer is told once, and nothing after the connection's end.
 */
final class TransferConnection {
    /** What becomes of a connection and its transfers. */
    interface Listener {
        /** Bytes came. */
        void received(int bytes);

        /** All of an answer is there. */
        void answered(long request, TransferResponse response, long sourceAgeUs);

        /** There will be none, and what follows on the connection cannot be trusted. */
        void failed(long request, String cause);

        /** The connection has ended, could not be opened, or brought what belongs to no transfer. */
        void disconnected(TransferFailure failure, String cause);

        /** The replica has closed it while no answer was due. */
        void closedIdle();
    }

    /** Bytes of a server's records at the least; bounds the records by the bytes. */
    private static final int LEAST_RECORD_BYTES = 12;
    private static final int MAX_MESSAGE_BYTES = 0xffff;
    private static final int MAX_ID = 0xffff;
    private static final int ID_BYTES = 2;

    private record Transfer(long request, int id, TransferAssembler assembler) {}

    private final Context context;
    private final RandomGenerator random;
    private final long maxBytes;
    private final Listener listener;
    private final Map<Integer, Transfer> transfers = new HashMap<>();
    private final MessageFraming framing = new MessageFraming(MAX_MESSAGE_BYTES);
    private final ArrayDeque<byte[]> unread = new ArrayDeque<>();
    /** Asked before the connection was open. */
    private final List<Buffer> unsent = new ArrayList<>();
    /** Whose message is being read; null: none. */
    private Transfer current;
    private NetSocket socket;
    private boolean isReading;
    private boolean isEnded;
    private boolean isDone;

    /** A connection that is not open yet, for answers of up to {@code maxBytes}. */
    TransferConnection(Context context, RandomGenerator random, long maxBytes, Listener listener) {
        this.context = context;
        this.random = random;
        this.maxBytes = maxBytes;
        this.listener = listener;
    }

    /** Connects. */
    void open(NetClient client, Replica replica) {
        client.connect(replica.address().socket()).onSuccess(this::connected)
            .onFailure(e -> end(TransferFailure.DISCONNECTED, e.getMessage()));
    }

    /** Asks for a transfer, now or once the connection is open. */
    void ask(long request, String zone, Optional<ZoneVersion> held) {
        int id = random.nextInt(MAX_ID + 1);
        while (transfers.containsKey(id)) {
            id = id + 1 & MAX_ID;
        }
        TransferRequest asked = new TransferRequest(id, zone, held);
        int maxRecords = (int) Math.min(Integer.MAX_VALUE, maxBytes / LEAST_RECORD_BYTES);
        transfers.put(id, new Transfer(request, id, new TransferAssembler(asked, maxRecords, maxBytes)));
        Buffer query = Buffer.buffer(MessageFraming.frame(TransferCodec.encodeQuery(asked)));
        if (socket == null) {
            unsent.add(query);
        } else {
            socket.write(query);
        }
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
        socket.exceptionHandler(e -> end(TransferFailure.DISCONNECTED, e.getMessage()));
        socket.closeHandler(v -> ended());
        unsent.forEach(socket::write);
        unsent.clear();
    }

    private void read(Buffer buffer) {
        if (isDone) {
            return;
        }
        listener.received(buffer.length());
        try {
            unread.addAll(framing.add(buffer.getBytes()));
        } catch (TransferException e) {
            end(TransferFailure.MALFORMED, e.getMessage());
            return;
        }
        if (!isReading && !unread.isEmpty()) {
            isReading = true;
            socket.pause();
            readNext();
        }
    }

    /** One turn: a slice of the message that is being read, or the beginning of the next. */
    private void readNext() {
        if (isDone) {
            return;
        }
        if (current == null && unread.isEmpty()) {
            isReading = false;
            if (isEnded) {
                endedByReplica();
            } else {
                socket.resume();
            }
            return;
        }
        try {
            if (current == null) {
                begin(unread.poll());
            } else {
                readOn();
            }
        } catch (TransferException e) {
            close();
            listener.failed(current.request, e.getMessage());
        }
        context.runOnContext(v -> readNext());
    }

    private void begin(byte[] message) throws TransferException {
        int id = message.length < ID_BYTES ? -1 : (message[0] & 0xff) << 8 | message[1] & 0xff;
        current = transfers.get(id);
        if (current == null) {
            end(TransferFailure.MALFORMED, "an answer to no query that is open, with id " + id);
            return;
        }
        current.assembler.begin(message);
        readOn();
    }

    private void readOn() throws TransferException {
        Transfer transfer = current;
        Optional<TransferResponse> response = transfer.assembler.readOn();
        if (!transfer.assembler.isWithinMessage()) {
            current = null;
        }
        if (response.isPresent()) {
            transfers.remove(transfer.id);
            listener.answered(transfer.request, response.get(), transfer.assembler.sourceAgeUs());
        }
    }

    private void ended() {
        isEnded = true;
        if (!isReading) {
            endedByReplica();
        }
    }

    private void endedByReplica() {
        if (!transfers.isEmpty()) {
            end(TransferFailure.DISCONNECTED, "closed within an answer");
        } else if (!isDone) {
            close();
            listener.closedIdle();
        }
    }

    private void end(TransferFailure failure, String cause) {
        if (!isDone) {
            close();
            listener.disconnected(failure, cause);
        }
    }
}
