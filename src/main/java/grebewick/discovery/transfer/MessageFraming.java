package grebewick.discovery.transfer;

import grebewick.discovery.transfer.TransferException.Kind;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** DNS messages on a TCP stream: each follows its length in two bytes (RFC 1035, section 4.2.2). */
public final class MessageFraming {
    private static final int LENGTH_BYTES = 2;
    private static final int MOST_BYTES = 0xffff;

    private final int mostBytes;
    private byte[] rest = {};

    /** A reader of one stream that takes messages up to this length. */
    public MessageFraming(int mostBytes) {
        this.mostBytes = mostBytes;
    }

    /** A message with its length. */
    public static byte[] frame(byte[] message) {
        if (message.length > MOST_BYTES) {
            throw new IllegalArgumentException("a message of " + message.length + " bytes");
        }
        byte[] framed = new byte[LENGTH_BYTES + message.length];
        framed[0] = (byte) (message.length >> 8);
        framed[1] = (byte) message.length;
        System.arraycopy(message, 0, framed, LENGTH_BYTES, message.length);
        return framed;
    }

    /** Takes the next bytes of the stream; gives the messages that are whole with them. */
    public List<byte[]> add(byte[] bytes) throws TransferException {
        byte[] all = rest.length == 0 ? bytes : join(rest, bytes);
        List<byte[]> messages = new ArrayList<>();
        int at = 0;
        while (all.length - at >= LENGTH_BYTES) {
            int length = (all[at] & 0xff) << 8 | all[at + 1] & 0xff;
            if (length > mostBytes) {
                throw new TransferException(Kind.TOO_LONG, "a message of " + length + " bytes");
            }
            if (all.length - at - LENGTH_BYTES < length) {
                break;
            }
            at += LENGTH_BYTES;
            messages.add(Arrays.copyOfRange(all, at, at + length));
            at += length;
        }
        rest = Arrays.copyOfRange(all, at, all.length);
        return messages;
    }

    /** Whether part of a message is held. */
    public boolean isWithinMessage() {
        return rest.length > 0;
    }

    private static byte[] join(byte[] first, byte[] second) {
        byte[] all = Arrays.copyOf(first, first.length + second.length);
        System.arraycopy(second, 0, all, first.length, second.length);
        return all;
    }
}
