package grebewick.diameter;

import static grebewick.diameter.DiameterMessage.*;

import java.util.Set;

/** What a client's request has to be like to be taken (RFC 6733, section 7; NASREQ, RFC 7155). */
final class RequestRules {
    /** AVPs that this node understands; another one with the M bit can't be passed over. */
    private static final Set<Integer> KNOWN = Set.of(Avp.USER_NAME, Avp.REPLY_MESSAGE, Avp.CLASS, Avp.SESSION_TIMEOUT,
        Avp.ACCT_INTERIM_INTERVAL, Avp.AUTH_APPLICATION_ID, Avp.VENDOR_SPECIFIC_APPLICATION_ID, Avp.SESSION_ID,
        Avp.ORIGIN_HOST, Avp.ORIGIN_REALM, Avp.DESTINATION_HOST, Avp.DESTINATION_REALM, Avp.ROUTE_RECORD, Avp.PROXY_INFO,
        Avp.AUTH_REQUEST_TYPE, Avp.ORIGIN_STATE_ID, Avp.AUTHORIZATION_LIFETIME, Avp.TERMINATION_CAUSE,
        // Of NASREQ and the RADIUS space: password, NAS address, port, service, framing, stations, NAS id, port type and id.
        2, 4, 5, 6, 7, 8, 12, 30, 31, 32, 61, 87, 95, 276, 277);

    private RequestRules() {}

    /** Throws what is wrong with a request that came to the node {@code me}. */
    static void check(DiameterMessage m, Identity me) {
        if (m.command() != AA && m.command() != SESSION_TERMINATION) {
            throw new DiameterException(DiameterException.COMMAND_UNSUPPORTED, "command " + m.command(), null);
        }
        if (m.application() != NASREQ) {
            throw new DiameterException(DiameterException.APPLICATION_UNSUPPORTED, "application " + m.application(), null);
        }
        for (int code : new int[] {Avp.SESSION_ID, Avp.ORIGIN_HOST, Avp.ORIGIN_REALM, Avp.DESTINATION_REALM,
            Avp.AUTH_APPLICATION_ID, m.command() == AA ? Avp.AUTH_REQUEST_TYPE : Avp.TERMINATION_CAUSE}) {
            m.need(code);
        }
        for (Avp a : m.avps()) {
            if (a.mandatory() && (a.vendor() != 0 || !KNOWN.contains(a.code()))) {
                throw new DiameterException(DiameterException.AVP_UNSUPPORTED, "AVP " + a.code() + " is not known", a);
            }
            if (a.code() == Avp.ROUTE_RECORD && a.vendor() == 0 && a.text().equals(me.host())) {
                throw new DiameterException(DiameterException.LOOP_DETECTED, "the request was here before", null);
            }
        }
        if (m.need(Avp.AUTH_APPLICATION_ID).unsigned() != NASREQ) {
            throw new DiameterException(DiameterException.APPLICATION_UNSUPPORTED, "another Auth-Application-Id", null);
        }
    }
}
