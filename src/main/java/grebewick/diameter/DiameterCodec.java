package grebewick.diameter;

import grebewick.eventloop.InputBuffer;
import io.vertx.core.buffer.Buffer;
import java.nio.ByteBuffer;
import java.util.List;

/** Cuts a connection's bytes into Diameter messages, and writes them. One instance a connection. */
final class DiameterCodec {
    static final int MOST = 16 * 1024;
    private static final int HEAD = 20;

    private final InputBuffer input;

    /** What a reader is handed: whole messages, and faults with as much of the message as could be read. */
    interface Reader {
        void message(DiameterMessage message);

        /** {@code head} has no AVPs. Where {@code lost}, the next message can't be found: the connection ends. */
        void fault(DiameterMessage head, DiameterException fault, boolean lost);
    }

    /** Over a buffer of its own, for {@link #read}. */
    DiameterCodec() {
        this(new InputBuffer());
    }

    /** Over a buffer that is filled elsewhere, for {@link #next}. */
    DiameterCodec(InputBuffer input) {
        this.input = input;
    }

    void read(Buffer bytes, Reader reader) {
        input.append(bytes);
        while (next(reader)) {
            // Each message goes to the reader.
        }
    }

    /** Whether a message has begun and is not whole yet. */
    boolean half() {
        return input.size() > 0;
    }

    /** Hands out the next message; false: none is whole, or none can be found any more. */
    boolean next(Reader reader) {
        if (input.size() < HEAD) {
            return false;
        }
        ByteBuffer start = input.view(HEAD);
        int version = start.get(0) & 0xff;
        int length = start.getInt(0) & 0xffffff;
        DiameterMessage head = new DiameterMessage(start.get(4) & 0xff, start.getInt(4) & 0xffffff, start.getInt(8) & 0xffffffffL,
            start.getInt(12), start.getInt(16), List.of());
        DiameterException unreadable = version != 1
            ? new DiameterException(DiameterException.UNSUPPORTED_VERSION, "version " + version, null)
            : length < HEAD || length % 4 != 0 || length > MOST
                ? new DiameterException(DiameterException.INVALID_MESSAGE_LENGTH, "length " + length, null) : null;
        if (unreadable != null) {
            input.clear();
            reader.fault(head, unreadable, true);
            return false;
        }
        if (input.size() < length) {
            return false;
        }
        byte[] body = input.copy(HEAD, length - HEAD);
        input.skip(length);
        DiameterMessage whole;
        try {
            whole = new DiameterMessage(head.flags(), head.command(), head.application(), head.hopByHop(), head.endToEnd(),
                Avp.readAll(ByteBuffer.wrap(body)));
        } catch (DiameterException fault) {
            reader.fault(head, fault, false);
            return true;
        }
        reader.message(whole);
        return true;
    }

    static Buffer encode(DiameterMessage m) {
        int length = HEAD;
        for (Avp a : m.avps()) {
            length += a.size();
        }
        ByteBuffer b = ByteBuffer.allocate(length);
        b.putInt(1 << 24 | length).putInt(m.flags() << 24 | m.command()).putInt((int) m.application())
            .putInt(m.hopByHop()).putInt(m.endToEnd());
        m.avps().forEach(a -> a.write(b));
        return Buffer.buffer(b.array());
    }
}
