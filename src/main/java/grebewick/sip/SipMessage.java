package grebewick.sip;

import java.util.ArrayList;
import java.util.List;

/** A SIP request ({@code status} 0) or response (then {@code method} is that of its CSeq). */
record SipMessage(String method, String uri, int status, String reason, List<Header> headers, byte[] body) {
    private static final byte[] NONE = {};

    /** One header line; names compare without regard to case. */
    record Header(String name, String value) { }

    boolean isRequest() {
        return status == 0;
    }

    /** The first value of a header, or null. */
    String header(String name) {
        for (Header h : headers) {
            if (h.name.equalsIgnoreCase(name)) {
                return h.value;
            }
        }
        return null;
    }

    String header(String name, String absent) {
        String value = header(name);
        return value == null ? absent : value;
    }

    /** A response to this request: what RFC 3261 wants copied is copied. */
    SipMessage response(int code, String phrase, byte[] content, Header... more) {
        List<Header> copied = new ArrayList<>();
        for (Header h : headers) {
            for (String name : List.of("Via", "From", "To", "Call-ID", "CSeq")) {
                if (h.name.equalsIgnoreCase(name)) {
                    copied.add(h);
                }
            }
        }
        copied.addAll(List.of(more));
        return new SipMessage(method, "", code, phrase, copied, content);
    }

    SipMessage response(int code, String phrase, Header... more) {
        return response(code, phrase, NONE, more);
    }

    static SipMessage request(String method, String uri, Header... headers) {
        return new SipMessage(method, uri, 0, "", List.of(headers), NONE);
    }
}
