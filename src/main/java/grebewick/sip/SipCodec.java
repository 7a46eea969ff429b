package grebewick.sip;

import grebewick.eventloop.InputBuffer;
import grebewick.sip.SipMessage.Header;
import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.function.Consumer;

/** Cuts a connection's bytes into SIP messages (RFC 3261 over a stream), and writes them. One a connection. */
public final class SipCodec {
    static final int MOST = 16 * 1024;
    private static final byte[] NONE = {};
    private static final int HEAD_END = 4;
    private static final String VIA = "Via";
    /** Fields that this program reads or copies. All others are free, and are not kept. */
    private static final Set<String> KEPT = Set.of("from", "to", "call-id", "i", "cseq", "reason", "content-length", "l",
        "x-tier",
        "x-deadline", "x-resent", "x-attrs", "retry-after", "x-cooldown");

    private static final Set<String> LENGTHS = Set.of("content-length", "l");

    private final InputBuffer input;
    /** Bytes of the present message that hold no end of its head. */
    private int searched;
    /** The head of the present message; null: it is not whole yet. */
    private SipMessage head;
    private int headLength;
    private int bodyLength;

    /** Over a buffer of its own, for {@link #read}. */
    public SipCodec() {
        this(new InputBuffer());
    }

    /** Over a buffer that is filled elsewhere, for {@link #next}. */
    SipCodec(InputBuffer input) {
        this.input = input;
    }

    /** Takes what was read and hands out every whole message; throws where the bytes are not SIP. */
    public void read(Buffer bytes, Consumer<SipMessage> each) {
        input.append(bytes);
        for (SipMessage message = next(); message != null; message = next()) {
            each.accept(message);
        }
    }

    /** The next whole message, or null; throws where the bytes are not SIP. */
    SipMessage next() {
        if (head == null && !readHead()) {
            return null;
        }
        if (input.size() < headLength + bodyLength) {
            return null;
        }
        byte[] body = bodyLength == 0 ? NONE : input.copy(headLength, bodyLength);
        SipMessage whole = new SipMessage(head.method(), head.uri(), head.status(), head.reason(), head.headers(), body);
        input.skip(headLength + bodyLength);
        head = null;
        searched = 0;
        return whole;
    }

    private boolean readHead() {
        // Line ends between messages keep a connection alive (RFC 5626).
        while (searched == 0 && input.size() > 1 && input.at(0) == '\r' && input.at(1) == '\n') {
            input.skip(2);
        }
        int end = headEnd();
        if (end < 0) {
            if (input.size() > MOST) {
                throw new IllegalArgumentException("headers without an end");
            }
            return false;
        }
        SipMessage read = head(new String(input.copy(0, end), StandardCharsets.UTF_8));
        int length = contentLength(read);
        // Not as a sum, which the largest length would make negative.
        if (length > MOST - end - HEAD_END) {
            throw new IllegalArgumentException("a message too long");
        }
        head = read;
        headLength = end + HEAD_END;
        bodyLength = length;
        return true;
    }

    /** Whether a message has begun and is not whole yet. */
    boolean half() {
        return input.size() > 0;
    }

    private int headEnd() {
        for (int i = searched; i + 3 < input.size(); i++) {
            if (input.at(i) == '\r' && input.at(i + 1) == '\n' && input.at(i + 2) == '\r' && input.at(i + 3) == '\n') {
                return i;
            }
            searched = i + 1;
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
        List<Header> headers = headers(text, end + 2);
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

    /** Of the kept fields the first of each name, and all Via fields as one (RFC 3261, section 7.3.1). */
    private static List<Header> headers(String text, int from) {
        List<Header> headers = new ArrayList<>(12);
        Set<String> names = new HashSet<>();
        StringBuilder via = new StringBuilder();
        int end;
        for (int at = from; at < text.length(); at = end + 2) {
            end = lineEnd(text, at);
            int colon = text.indexOf(':', at);
            if (colon <= at || colon >= end) {
                throw new IllegalArgumentException("a header without a colon");
            }
            String name = text.substring(at, colon).trim();
            String value = text.substring(colon + 1, end).trim();
            String key = name.toLowerCase(Locale.ROOT);
            if (name.equalsIgnoreCase(VIA)) {
                via.append(via.length() == 0 ? "" : ", ").append(value);
            } else if (KEPT.contains(key) && names.add(key)) {
                headers.add(new Header(name, value));
            } else if (LENGTHS.contains(key) && !value.equals(new SipMessage("", "", 0, "", headers, NONE).header(name))) {
                throw new IllegalArgumentException("two lengths");
            }
        }
        if (via.length() > 0) {
            headers.add(0, new Header(VIA, via.toString()));
        }
        return headers;
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
        if (!value.equals(m.header("l", value))) {
            throw new IllegalArgumentException("two lengths");
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
