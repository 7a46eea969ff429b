package grebewick.lab.measure;

/** Messages and their bytes in both directions, counted by a stand-in; bytes are those of the payload. */
public record Traffic(long messagesIn, long bytesIn, long messagesOut, long bytesOut) {
    /** Nothing yet. */
    public static final Traffic NONE = new Traffic(0, 0, 0, 0);

    /** With one more that came. */
    public Traffic received(int bytes) {
        return new Traffic(messagesIn + 1, bytesIn + bytes, messagesOut, bytesOut);
    }

    /** With one more that left. */
    public Traffic sent(int bytes) {
        return new Traffic(messagesIn, bytesIn, messagesOut + 1, bytesOut + bytes);
    }

    /** Both together. */
    public Traffic plus(Traffic other) {
        return new Traffic(messagesIn + other.messagesIn, bytesIn + other.bytesIn, messagesOut + other.messagesOut,
            bytesOut + other.bytesOut);
    }

    /** What came and left since an earlier count. */
    public Traffic since(Traffic before) {
        return new Traffic(messagesIn - before.messagesIn, bytesIn - before.bytesIn, messagesOut - before.messagesOut,
            bytesOut - before.bytesOut);
    }

    /** Bytes of both directions. */
    public long bytes() {
        return bytesIn + bytesOut;
    }

    /** Messages of both directions. */
    public long messages() {
        return messagesIn + messagesOut;
    }
}
