package grebewick.discovery.transfer;

import java.util.Locale;
import java.util.Optional;

/**
 * A query for what changed in a zone since the version held.
 *
 * @param id of the DNS message, 16 bits
 * @param zone its absolute name in lower case, as {@code s12.east.fleet.local.}
 * @param held the asker's version; empty: it holds none, and the whole zone is wanted
 * @param asksAge whether a secondary is to say how old its own word is
 */
public record TransferRequest(int id, String zone, Optional<ZoneVersion> held, boolean asksAge) {
    /** A query that asks for the age as well. */
    public TransferRequest(int id, String zone, Optional<ZoneVersion> held) {
        this(id, zone, held, true);
    }

    /** Refuses an id out of range or a relative name. */
    public TransferRequest {
        if (id < 0 || id > 0xffff) {
            throw new IllegalArgumentException("no id of a message: " + id);
        }
        if (!zone.endsWith(".")) {
            throw new IllegalArgumentException("not an absolute name: " + zone);
        }
        zone = zone.toLowerCase(Locale.ROOT);
    }
}
