package grebewick.diameter;

import io.vertx.core.buffer.Buffer;
import java.nio.ByteBuffer;
import java.util.List;

/** Cuts a connection's bytes into Diameter messages, and writes them. One instance a connection. */
final class DiameterCodec {
    static final int MOST = 16 * 1024;
    private static final int HEAD = 20;

    private Buffer held = Buffer.buffer();

    /** What a reader is handed: whole messages, and faults with as much of the message as could be read. */
    interface Reader {
        void message(DiameterMessage message);

        /** {@code head} has no AVPs. Where {@code lost}, the next message can't be found: the connection ends. */
        void fault(DiameterMessage head, DiameterException fault, boolean lost);
    }

    void read(Buffer bytes, Reader reader) {
        ByteBuffer all = ByteBuffer.wrap((held.length() == 0 ? bytes : held.appendBuffer(bytes)).getBytes());
        held = Buffer.buffer();
        while (all.remaining() >= HEAD) {
            int from = all.position();
            int version = all.get(from) & 0xff;
            int length = all.getInt(from) & 0xffffff;
            DiameterMessage head = new DiameterMessage(all.get(from + 4) & 0xff, all.getInt(from + 4) & 0xffffff,
                all.getInt(from + 8) & 0xffffffffL, all.getInt(from + 12), all.getInt(from + 16), List.of());
            if (version != 1) {
                reader.fault(head, new DiameterException(DiameterException.UNSUPPORTED_VERSION, "version " + version, null),
                    true);
                return;
            }
            if (length < HEAD || length % 4 != 0 || length > MOST) {
                reader.fault(head, new DiameterException(DiameterException.INVALID_MESSAGE_LENGTH, "length " + length, null),
                    true);
                return;
            }
            if (all.remaining() < length) {
                break;
            }
            ByteBuffer body = all.slice(from + HEAD, length - HEAD);
            all.position(from + length);
            DiameterMessage whole;
            try {
                whole = new DiameterMessage(head.flags(), head.command(), head.application(), head.hopByHop(),
                    head.endToEnd(), Avp.readAll(body));
            } catch (DiameterException fault) {
                reader.fault(head, fault, false);
                continue;
            }
            reader.message(whole);
        }
        held.appendBytes(all.array(), all.position(), all.remaining());
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
