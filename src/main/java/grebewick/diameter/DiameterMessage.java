package grebewick.diameter;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

/** One Diameter message: the header of RFC 6733, section 3, and its AVPs in order. */
record DiameterMessage(int flags, int command, long application, int hopByHop, int endToEnd, List<Avp> avps) {
    static final int REQUEST = 0x80;
    static final int PROXIABLE = 0x40;
    static final int ERROR = 0x20;
    static final int RETRANSMITTED = 0x10;

    static final int CAPABILITIES_EXCHANGE = 257;
    static final int AA = 265;
    static final int ABORT_SESSION = 274;
    static final int SESSION_TERMINATION = 275;
    static final int DEVICE_WATCHDOG = 280;
    static final int DISCONNECT_PEER = 282;

    static final long BASE = 0;
    /** NASREQ, RFC 7155. */
    static final long NASREQ = 1;
    static final long RELAY = 0xffffffffL;

    static final int SUCCESS = 2001;

    private static final Set<Integer> AFTER_ANSWER = Set.of(Avp.SESSION_ID, Avp.ORIGIN_HOST, Avp.ORIGIN_REALM);
    /** Bytes of the objects that a message and an AVP are, beside their data. */
    private static final int MESSAGE_WEIGHT = 512;
    private static final int AVP_WEIGHT = 64;

    boolean isRequest() {
        return (flags & REQUEST) != 0;
    }

    boolean mayBeRepeat() {
        return (flags & RETRANSMITTED) != 0;
    }

    /** The first AVP of that code, or null. */
    Avp find(int code) {
        for (Avp a : avps) {
            if (a.code() == code && a.vendor() == 0) {
                return a;
            }
        }
        return null;
    }

    Avp need(int code) {
        Avp a = find(code);
        if (a == null) {
            throw DiameterException.missing(code);
        }
        return a;
    }

    String text(int code) {
        Avp a = find(code);
        return a == null ? "" : a.text();
    }

    /** The result code of an answer, 0 where it has none. */
    long result() {
        Avp a = find(Avp.RESULT_CODE);
        return a == null ? 0 : a.unsigned();
    }

    /** The same message under other identifiers and flags, with other AVPs. */
    DiameterMessage with(int newFlags, int newHopByHop, List<Avp> newAvps) {
        return new DiameterMessage(newFlags, command, application, newHopByHop, endToEnd, newAvps);
    }

    /** An answer that was given to another request, as the answer to that one. */
    DiameterMessage answering(DiameterMessage request) {
        return new DiameterMessage(flags, command, application, request.hopByHop, request.endToEnd, avps);
    }

    /** An answer to this request in this node's name; a protocol error carries the E bit. */
    DiameterMessage answer(Identity me, long result, Avp... more) {
        List<Avp> list = new ArrayList<>();
        Avp session = find(Avp.SESSION_ID);
        if (session != null) {
            list.add(session);
        }
        list.add(Avp.unsigned(Avp.RESULT_CODE, result));
        list.addAll(me.origin());
        list.addAll(List.of(more));
        avps.stream().filter(a -> a.code() == Avp.PROXY_INFO && a.vendor() == 0).forEach(list::add);
        return new DiameterMessage(flags & PROXIABLE | (result / 1000 == 3 ? ERROR : 0), command, application, hopByHop,
            endToEnd, list);
    }

    /** Bytes of memory that it takes, about. */
    int weight() {
        int bytes = MESSAGE_WEIGHT;
        for (Avp a : avps) {
            bytes += AVP_WEIGHT + a.data().length;
        }
        return bytes;
    }

    /** Of this request, what is needed after its answer: who asked, and for which session. */
    DiameterMessage withoutBody() {
        return with(flags, hopByHop, avps.stream().filter(a -> a.vendor() == 0 && AFTER_ANSWER.contains(a.code()))
            .collect(Collectors.toMap(Avp::code, a -> a, (first, other) -> first)).values().stream().toList());
    }

    /** Of this request, what {@link #answer(Identity, long, Avp...) its answer} is made of. */
    DiameterMessage forAnswer() {
        return with(flags, hopByHop, avps.stream()
            .filter(a -> a.vendor() == 0 && (a.code() == Avp.SESSION_ID || a.code() == Avp.PROXY_INFO)).toList());
    }

    /** The answer that a fault calls for. */
    DiameterMessage answer(Identity me, DiameterException fault) {
        Avp text = Avp.note(Avp.ERROR_MESSAGE, fault.getMessage());
        return fault.failed == null ? answer(me, fault.resultCode, text)
            : answer(me, fault.resultCode, text, Avp.group(Avp.FAILED_AVP, fault.failed));
    }
}
