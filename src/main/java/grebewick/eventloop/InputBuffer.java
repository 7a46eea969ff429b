package grebewick.eventloop;

import io.vertx.core.buffer.Buffer;
import java.nio.ByteBuffer;
import java.util.Arrays;

/** The bytes of one connection that were read and not taken yet. What comes is copied once, however small its pieces are. */
public final class InputBuffer {
    private static final byte[] NONE = {};
    private static final int LEAST = 1_024;

    private byte[] bytes = NONE;
    private int from;
    private int to;

    /** Adds what was read. */
    public void append(Buffer read) {
        int more = read.length();
        if (to + more > bytes.length) {
            int size = size();
            byte[] place = size + more <= bytes.length / 2 ? bytes : new byte[Math.max(LEAST, Math.max(size + more, 2 * size))];
            System.arraycopy(bytes, from, place, 0, size);
            bytes = place;
            from = 0;
            to = size;
        }
        read.getBytes(bytes, to);
        to += more;
    }

    /** Bytes that are there. */
    public int size() {
        return to - from;
    }

    /** One of them, counted from the first. */
    public byte at(int index) {
        return bytes[from + index];
    }

    /** Some of them, counted from the first. */
    public byte[] copy(int index, int length) {
        return Arrays.copyOfRange(bytes, from + index, from + index + length);
    }

    /** The first bytes, without a copy: valid until the next call. */
    public ByteBuffer view(int length) {
        return ByteBuffer.wrap(bytes, from, length).slice();
    }

    /** Takes the first bytes away. */
    public void skip(int length) {
        from += length;
        if (from == to) {
            clear();
        }
    }

    /** Takes all away. */
    public void clear() {
        bytes = NONE;
        from = 0;
        to = 0;
    }
}
