package grebewick.discovery.transfer;

import java.util.Arrays;
import org.xbill.DNS.Rcode;

/** Why a replica gives no transfer: the response codes of RFC 1035 and RFC 2136 that it uses. */
public enum FailureReason {
    /** The query could not be read. */
    FORMERR(Rcode.FORMERR),
    /** The replica does not hold this zone yet. */
    SERVFAIL(Rcode.SERVFAIL),
    /** Not this kind of query. */
    NOTIMP(Rcode.NOTIMP),
    /** The replica is over its limits: come back later, or ask another one. */
    REFUSED(Rcode.REFUSED),
    /** The replica does not serve this zone. */
    NOTAUTH(Rcode.NOTAUTH),
    /** A code that has no meaning here. */
    OTHER(Rcode.SERVFAIL);

    private final int rcode;

    FailureReason(int rcode) {
        this.rcode = rcode;
    }

    /** The response code that says so. */
    int rcode() {
        return rcode;
    }

    /** The reason that a code other than NOERROR stands for. */
    static FailureReason of(int rcode) {
        return Arrays.stream(values()).filter(reason -> reason.rcode == rcode).findFirst().orElse(OTHER);
    }
}
