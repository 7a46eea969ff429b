package grebewick.trunk;

import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;
import java.util.BitSet;
import java.util.function.Consumer;

/** Cuts a connection's bytes into messages, and writes messages. One instance a connection. */
public final class TrunkCodec {
    public static final int MOST = 16 * 1024;
    private static final int HEAD = 9;
    private static final int TIER = 180;
    private static final int WAIT = 182;
    private static final int NUMBER = 188;
    private static final int NOTE = 194;
    private static final int REPORT = 198;
    private static final int CAUSE = 208;
    private static final int DESCRIPTION = 210;

    private static final BitSet TYPES = new BitSet();

    static {
        for (int type : new int[] {TrunkMessage.SET_UP, TrunkMessage.PROGRESS, TrunkMessage.ANSWER, TrunkMessage.RELEASE,
            TrunkMessage.RELEASED, TrunkMessage.GROUP_STATE, TrunkMessage.TEST, TrunkMessage.TESTED}) {
            TYPES.set(type);
        }
    }

    private Buffer held = Buffer.buffer();

    /** Takes what was read and hands out every whole message; throws where the bytes are none of the protocol's. */
    public void read(Buffer bytes, Consumer<TrunkMessage> each) {
        Buffer all = held.length() == 0 ? bytes : held.appendBuffer(bytes);
        int from = 0;
        while (all.length() - from >= 2) {
            int length = all.getUnsignedShort(from);
            if (length < HEAD || length + 2 > MOST) {
                throw new IllegalArgumentException("length " + length);
            }
            if (all.length() - from - 2 < length) {
                break;
            }
            TrunkMessage message = decode(all, from + 2, from + 2 + length);
            from += 2 + length;
            each.accept(message);
        }
        if (from < all.length()) {
            held = all.getBuffer(from, all.length());
        } else if (held.length() > 0) {
            held = Buffer.buffer();
        }
    }

    /** Whether a message has begun and is not whole yet. */
    boolean half() {
        return held.length() > 0;
    }

    private static TrunkMessage decode(Buffer b, int from, int end) {
        int type = b.getUnsignedByte(from);
        if (!TYPES.get(type)) {
            // Guards against noise that by chance has a length: what follows it is noise too.
            throw new IllegalArgumentException("type " + type);
        }
        long call = b.getLong(from + 1);
        String tier = "";
        String number = "";
        String note = "";
        String report = "";
        long waitMs = -1;
        int cause = -1;
        byte[] description = {};
        for (int at = from + HEAD; at < end;) {
            if (end - at < 3 || end - at - 3 < b.getUnsignedShort(at + 1)) {
                throw new IllegalArgumentException("a parameter that runs past its message");
            }
            int code = b.getUnsignedByte(at);
            int start = at + 3;
            at = start + b.getUnsignedShort(at + 1);
            switch (code) {
                case TIER -> tier = text(b, start, at);
                case NUMBER -> number = text(b, start, at);
                case NOTE -> note = text(b, start, at);
                case REPORT -> report = text(b, start, at);
                case WAIT -> waitMs = Long.parseLong(text(b, start, at));
                case CAUSE -> {
                    if (at - start != 1) {
                        throw new IllegalArgumentException("a cause of " + (at - start) + " bytes");
                    }
                    cause = b.getUnsignedByte(start);
                }
                case DESCRIPTION -> description = b.getBytes(start, at);
                default -> {}
            }
        }
        if (type == TrunkMessage.ANSWER && description.length == 0 || type == TrunkMessage.RELEASE && cause < 0) {
            throw new IllegalArgumentException("type " + type + " without what belongs to it");
        }
        return new TrunkMessage(type, call, tier, number, waitMs, note, report, cause, description);
    }

    private static String text(Buffer b, int from, int to) {
        return from == to ? "" : new String(b.getBytes(from, to), StandardCharsets.UTF_8);
    }

    public static Buffer encode(TrunkMessage m) {
        Buffer b = Buffer.buffer(64 + m.description().length).appendUnsignedShort(0).appendUnsignedByte((short) m.type())
            .appendLong(m.call());
        text(b, TIER, m.tier());
        text(b, WAIT, m.waitMs() < 0 ? "" : Long.toString(m.waitMs()));
        text(b, NUMBER, m.number());
        text(b, NOTE, m.note());
        text(b, REPORT, m.report());
        if (m.cause() >= 0) {
            parameter(b, CAUSE, new byte[] {(byte) m.cause()});
        }
        if (m.description().length > 0) {
            parameter(b, DESCRIPTION, m.description());
        }
        if (b.length() > MOST) {
            throw new IllegalArgumentException("a message of " + b.length() + " bytes");
        }
        return b.setUnsignedShort(0, b.length() - 2);
    }

    private static void text(Buffer b, int code, String value) {
        if (!value.isEmpty()) {
            parameter(b, code, value.getBytes(StandardCharsets.UTF_8));
        }
    }

    private static void parameter(Buffer b, int code, byte[] value) {
        b.appendUnsignedByte((short) code).appendUnsignedShort(value.length).appendBytes(value);
    }
}
