package grebewick.discovery.transfer;

import grebewick.discovery.transfer.TransferException.Kind;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.xbill.DNS.DClass;
import org.xbill.DNS.Name;
import org.xbill.DNS.SOARecord;
import org.xbill.DNS.TextParseException;

/** The SOA record of a zone: its serial is the version's, and the first label of its MNAME is {@code epoch-<decimal>}. */
final class ZoneSoa {
    /** s. How often, and after a failure how soon, a secondary asks. */
    private static final long REFRESH_S = 2;
    private static final long RETRY_S = 1;
    /** s. A secondary that hears nothing serves what it has; a week is the least that operators notice. */
    static final long EXPIRE_S = 604_800;
    private static final String HOSTMASTER = "hostmaster";
    private static final Pattern EPOCH = Pattern.compile("epoch-(0|[1-9][0-9]{0,18})");

    private ZoneSoa() {}

    /** The record of a version. */
    static SOARecord of(Name zone, ZoneVersion version) {
        return of(zone, version.epoch(), version.serial(), HOSTMASTER);
    }

    /** The record in a query of one that holds that version, or nothing; without a mailbox, for queries are many. */
    static SOARecord inQuery(Name zone, Optional<ZoneVersion> held) {
        return of(zone, held.map(ZoneVersion::epoch).orElse(0L), held.map(ZoneVersion::serial).orElse(0L), ".");
    }

    private static SOARecord of(Name zone, long epoch, long serial, String mailbox) {
        try {
            return new SOARecord(zone, DClass.IN, 0, Name.fromString("epoch-" + epoch, zone), Name.fromString(mailbox, zone),
                serial, REFRESH_S, RETRY_S, EXPIRE_S, 0);
        } catch (TextParseException e) {
            throw new IllegalArgumentException("no name of a zone: " + zone, e);
        }
    }

    /** The version of a record of this zone. */
    static ZoneVersion version(Name zone, SOARecord soa) throws TransferException {
        if (!soa.getName().equals(zone)) {
            throw new TransferException(Kind.WRONG_ZONE, "an SOA record of " + soa.getName() + " instead of " + zone);
        }
        return held(soa)
            .orElseThrow(() -> new TransferException(Kind.MALFORMED, "an SOA record without an epoch: " + soa.getHost()));
    }

    /** The version that a query says is held; empty where its record has no epoch of ours, as that of any other client. */
    static Optional<ZoneVersion> held(SOARecord soa) {
        Name host = soa.getHost();
        Matcher epoch = EPOCH.matcher(host.labels() == 0 ? "" : host.getLabelString(0));
        if (!epoch.matches()) {
            return Optional.empty();
        }
        try {
            return Optional.of(new ZoneVersion(Long.parseLong(epoch.group(1)), soa.getSerial()));
        } catch (IllegalArgumentException e) {
            // Epoch 0, or one beyond 63 bits.
            return Optional.empty();
        }
    }
}
