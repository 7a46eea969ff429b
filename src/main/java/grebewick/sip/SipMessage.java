package grebewick.sip;

import java.util.ArrayList;
import java.util.List;

/** A SIP request ({@code status} 0) or response (then {@code method} is that of its CSeq). */
public record SipMessage(String method, String uri, int status, String reason, List<Header> headers, byte[] body) {
    private static final byte[] NONE = {};
    private static final int CALL_ID_DIGITS = 16;
    private static final List<String> COPIED = List.of("Via", "From", "To", "Call-ID", "CSeq");

    /** One header line; names compare without regard to case. */
    public record Header(String name, String value) {}

    public boolean isRequest() {
        return status == 0;
    }

    /** The first value of a header, or null. */
    public String header(String name) {
        for (Header h : headers) {
            if (h.name.equalsIgnoreCase(name)) {
                return h.value;
            }
        }
        return null;
    }

    public String header(String name, String absent) {
        String value = header(name);
        return value == null ? absent : value;
    }

    /** Its Call-ID, in full or compact form; empty where it has none. */
    String callId() {
        return header("Call-ID", header("i", ""));
    }

    /**
     * The number that its Call-ID is.
     *
     * @throws IllegalArgumentException if it is none of 16 hex digits
     */
    long callNumber() {
        String text = callId();
        if (text.length() != CALL_ID_DIGITS) {
            throw new IllegalArgumentException("a Call-ID that is not 16 hex digits");
        }
        return Long.parseUnsignedLong(text, 16);
    }

    /** A response to this request: what RFC 3261 wants copied is copied. */
    public SipMessage response(int code, String phrase, byte[] content, Header... more) {
        List<Header> copied = new ArrayList<>();
        for (int i = 0; i < headers.size(); i++) {
            Header h = headers.get(i);
            for (int k = 0; k < COPIED.size(); k++) {
                if (h.name.equalsIgnoreCase(COPIED.get(k))) {
                    copied.add(h);
                    break;
                }
            }
        }
        copied.addAll(List.of(more));
        return new SipMessage(method, "", code, phrase, copied, content);
    }

    /** What its responses are made of: the fields that they copy, and no body. */
    SipMessage forResponses() {
        return new SipMessage(method, "", 0, "", response(0, "").headers, NONE);
    }

    /** Bytes of memory that it takes, about. */
    int weight() {
        int characters = uri.length() + body.length;
        for (Header h : headers) {
            characters += h.name.length() + h.value.length();
        }
        return characters;
    }

    public SipMessage response(int code, String phrase, Header... more) {
        return response(code, phrase, NONE, more);
    }

    public static SipMessage request(String method, String uri, Header... headers) {
        return new SipMessage(method, uri, 0, "", List.of(headers), NONE);
    }
}
