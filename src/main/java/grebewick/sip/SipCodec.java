package grebewick.sip;

import grebewick.sip.SipMessage.Header;
import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/** Cuts a connection's bytes into SIP messages (RFC 3261 over a stream), and writes them. One a connection. */
final class SipCodec {
    static final int MOST = 16 * 1024;
    private Buffer held = Buffer.buffer();

    /** Takes what was read and hands out every whole message; throws where the bytes are not SIP. */
    void read(Buffer bytes, Consumer<SipMessage> each) {
        byte[] all = (held.length() == 0 ? bytes : held.appendBuffer(bytes)).getBytes();
        int from = 0;
        while (true) {
            // Line ends between messages keep a connection alive (RFC 5626).
            while (from + 1 < all.length && all[from] == '\r' && all[from + 1] == '\n') {
                from += 2;
            }
            int end = headEnd(all, from);
            if (end < 0) {
                if (all.length - from > MOST) {
                    throw new IllegalArgumentException("headers without an end");
                }
                break;
            }
            SipMessage head = head(new String(all, from, end - from, StandardCharsets.UTF_8));
            int length = contentLength(head);
            int bodyAt = end + 4;
            // Not as a sum, which the largest length would make negative.
            if (length > MOST - (bodyAt - from)) {
                throw new IllegalArgumentException("a message too long");
            }
            if (all.length - bodyAt < length) {
                break;
            }
            byte[] body = java.util.Arrays.copyOfRange(all, bodyAt, bodyAt + length);
            from = bodyAt + length;
            each.accept(new SipMessage(head.method(), head.uri(), head.status(), head.reason(), head.headers(), body));
        }
        held = Buffer.buffer();
        if (from < all.length) {
            held.appendBytes(all, from, all.length - from);
        }
    }

    /** Whether a message has begun and is not whole yet. */
    boolean half() {
        return held.length() > 0;
    }

    private static int headEnd(byte[] b, int from) {
        for (int i = from; i + 3 < b.length; i++) {
            if (b[i] == '\r' && b[i + 1] == '\n' && b[i + 2] == '\r' && b[i + 3] == '\n') {
                return i;
            }
        }
        return -1;
    }

    private static SipMessage head(String text) {
        String[] lines = text.split("\r\n");
        String[] first = lines[0].split(" ", 3);
        if (first.length < 3) {
            throw new IllegalArgumentException("a first line that is not SIP's");
        }
        List<Header> headers = new ArrayList<>();
        for (int i = 1; i < lines.length; i++) {
            int colon = lines[i].indexOf(':');
            if (colon <= 0) {
                throw new IllegalArgumentException("a header without a colon");
            }
            headers.add(new Header(lines[i].substring(0, colon).trim(), lines[i].substring(colon + 1).trim()));
        }
        if (first[0].equals("SIP/2.0")) {
            SipMessage bare = new SipMessage("", "", Integer.parseInt(first[1]), first[2], headers, new byte[0]);
            String cseq = bare.header("CSeq", "");
            return new SipMessage(cseq.substring(cseq.lastIndexOf(' ') + 1), "", bare.status(), first[2], headers,
                new byte[0]);
        }
        if (!first[2].equals("SIP/2.0")) {
            throw new IllegalArgumentException("a first line that is not SIP's");
        }
        return new SipMessage(first[0], first[1], 0, "", headers, new byte[0]);
    }

    private static int contentLength(SipMessage m) {
        String value = m.header("Content-Length", m.header("l", null));
        if (value == null) {
            throw new IllegalArgumentException("a message without Content-Length");
        }
        for (Header h : m.headers()) {
            if ((h.name().equalsIgnoreCase("Content-Length") || h.name().equals("l")) && !h.value().equals(value)) {
                throw new IllegalArgumentException("two lengths");
            }
        }
        if (value.isEmpty() || !value.chars().allMatch(c -> c >= '0' && c <= '9')) {
            throw new IllegalArgumentException("a Content-Length that is no number");
        }
        // More digits than that are more than any message may have, if they aren't zeros.
        return value.length() > 9 ? Integer.MAX_VALUE : Integer.parseInt(value);
    }

    static Buffer encode(SipMessage m) {
        StringBuilder head = new StringBuilder(256);
        if (m.isRequest()) {
            head.append(m.method()).append(' ').append(m.uri()).append(" SIP/2.0\r\n");
        } else {
            head.append("SIP/2.0 ").append(m.status()).append(' ').append(m.reason()).append("\r\n");
        }
        for (Header h : m.headers()) {
            head.append(h.name()).append(": ").append(oneLine(h.value())).append("\r\n");
        }
        head.append("Content-Length: ").append(m.body().length).append("\r\n\r\n");
        return Buffer.buffer(head.toString()).appendBytes(m.body());
    }

    /** Guards against header lines smuggled in by a value. */
    private static String oneLine(String value) {
        return value.indexOf('\r') < 0 && value.indexOf('\n') < 0 ? value : value.replaceAll("[\r\n]+", " ");
    }
}
