package grebewick.sip;

import grebewick.sip.SipMessage.Header;
import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.Consumer;

/** Cuts a connection's bytes into SIP messages (RFC 3261 over a stream), and writes them. One a connection. */
public final class SipCodec {
    static final int MOST = 16 * 1024;
    private static final byte[] NONE = {};
    private Buffer held = Buffer.buffer();

    /** Takes what was read and hands out every whole message; throws where the bytes are not SIP. */
    public void read(Buffer bytes, Consumer<SipMessage> each) {
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
            byte[] body = length == 0 ? NONE : Arrays.copyOfRange(all, bodyAt, bodyAt + length);
            from = bodyAt + length;
            each.accept(new SipMessage(head.method(), head.uri(), head.status(), head.reason(), head.headers(), body));
        }
        if (from < all.length) {
            held = Buffer.buffer().appendBytes(all, from, all.length - from);
        } else if (held.length() > 0) {
            held = Buffer.buffer();
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
        int end = lineEnd(text, 0);
        int space = text.indexOf(' ');
        int second = space < 0 ? -1 : text.indexOf(' ', space + 1);
        if (second < 0 || second > end) {
            throw new IllegalArgumentException("a first line that is not SIP's");
        }
        String first = text.substring(0, space);
        String middle = text.substring(space + 1, second);
        String last = text.substring(second + 1, end);
        List<Header> headers = new ArrayList<>(12);
        for (int at = end + 2; at < text.length(); at = end + 2) {
            end = lineEnd(text, at);
            int colon = text.indexOf(':', at);
            if (colon <= at || colon >= end) {
                throw new IllegalArgumentException("a header without a colon");
            }
            headers.add(new Header(text.substring(at, colon).trim(), text.substring(colon + 1, end).trim()));
        }
        if (first.equals("SIP/2.0")) {
            SipMessage bare = new SipMessage("", "", Integer.parseInt(middle), last, headers, NONE);
            String cseq = bare.header("CSeq", "");
            return new SipMessage(cseq.substring(cseq.lastIndexOf(' ') + 1), "", bare.status(), last, headers, NONE);
        }
        if (!last.equals("SIP/2.0")) {
            throw new IllegalArgumentException("a first line that is not SIP's");
        }
        return new SipMessage(first, middle, 0, "", headers, NONE);
    }

    private static int lineEnd(String text, int from) {
        int end = text.indexOf("\r\n", from);
        return end < 0 ? text.length() : end;
    }

    private static int contentLength(SipMessage m) {
        String value = m.header("Content-Length", m.header("l", null));
        if (value == null) {
            throw new IllegalArgumentException("a message without Content-Length");
        }
        for (Header h : m.headers()) {
            if ((h.name().equals("l") || h.name().equalsIgnoreCase("Content-Length")) && !h.value().equals(value)) {
                throw new IllegalArgumentException("two lengths");
            }
        }
        boolean digits = !value.isEmpty();
        for (int i = 0; i < value.length(); i++) {
            digits &= value.charAt(i) >= '0' && value.charAt(i) <= '9';
        }
        if (!digits) {
            throw new IllegalArgumentException("a Content-Length that is no number");
        }
        // More digits than that are more than any message may have, if they aren't zeros.
        return value.length() > 9 ? Integer.MAX_VALUE : Integer.parseInt(value);
    }

    public static Buffer encode(SipMessage m) {
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
        byte[] text = head.toString().getBytes(StandardCharsets.UTF_8);
        if (m.body().length == 0) {
            return Buffer.buffer(text);
        }
        byte[] all = Arrays.copyOf(text, text.length + m.body().length);
        System.arraycopy(m.body(), 0, all, text.length, m.body().length);
        return Buffer.buffer(all);
    }

    /** Guards against header lines smuggled in by a value. */
    private static String oneLine(String value) {
        return value.indexOf('\r') < 0 && value.indexOf('\n') < 0 ? value : value.replaceAll("[\r\n]+", " ");
    }
}
