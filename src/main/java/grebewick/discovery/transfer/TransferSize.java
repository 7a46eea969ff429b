package grebewick.discovery.transfer;

import grebewick.config.Endpoint;
import grebewick.core.CallControl.ServerEntry;
import java.util.Collection;

/**
 * How many bytes a transfer takes at the most, without encoding it. Names that are compressed count in full once in a message
 * and as pointers after.
 */
public final class TransferSize {
    /** Header of a message, and type and class of its question. */
    private static final int HEADER = 12 + 4;
    private static final int POINTER = 2;
    /** Pointer to an earlier name, then type, class, TTL and length of a record. */
    private static final int RECORD = POINTER + 10;
    /** Labels {@code epoch-<decimal>} and {@code hostmaster}, once in a message. */
    private static final int SOA_NAMES = 26 + 11;
    /** Names as pointers, and five numbers. */
    private static final int SOA = RECORD + 2 * POINTER + 20;
    /** {@code _work._tcp} once in a message. */
    private static final int SERVICE_NAME = 11;
    /** Priority, weight and port of an SRV record. */
    private static final int SERVICE = RECORD + 6;
    private static final int ADDRESS = RECORD + 4;
    /** The texts {@code kind=}, {@code cell=} and {@code started=} with their lengths. */
    private static final int TEXT = RECORD + 6 + 6 + 9;
    private static final long US_PER_MS = 1000;
    private static final int DECIMAL = 10;

    private TransferSize() {}

    /** Bytes of an answer in one message beside its changes or servers. */
    public static int ofFrame(String zone) {
        return ofMessage(zone) + 2 * SOA;
    }

    /** Bytes of a message beside its records. */
    private static int ofMessage(String zone) {
        return HEADER + zone.length() + 1 + SERVICE_NAME + SOA_NAMES;
    }

    /** Bytes of a change within an answer. */
    public static int of(String zone, ZoneChange change) {
        return 2 * SOA + ofServers(zone, change.removed()) + ofServers(zone, change.added());
    }

    /** Bytes of a whole copy, in as many messages as it takes. */
    public static int ofCopy(String zone, ZoneContent content) {
        Collection<Endpoint> servers = content.servers().values();
        int furtherMessages = (servers.size() * ServerRecords.PER_SERVER + 2) / TransferCodec.RECORDS_PER_MESSAGE;
        return ofFrame(zone) + ofServers(zone, servers) + furtherMessages * ofMessage(zone);
    }

    /** Bytes of servers within one message of an answer. */
    public static int ofServers(String zone, Collection<Endpoint> servers) {
        int bytes = 0;
        for (Endpoint server : servers) {
            bytes += ofServer(zone, server);
        }
        return bytes;
    }

    private static int ofServer(String zone, Endpoint server) {
        ServerEntry entry = server.entry();
        int labels = entry.server().length() + entry.zone().length() + 2;
        // The target of an SRV record is never compressed; that of the A record is the first to be pointed at.
        int service = SERVICE + labels + zone.length() + 1;
        int text = TEXT + entry.model().length() + digits(entry.placeNo()) + digits(entry.startedAtUs() / US_PER_MS);
        return service + ADDRESS + labels + text;
    }

    private static int digits(long number) {
        int digits = number < 0 ? 2 : 1;
        for (long rest = number / DECIMAL; rest != 0; rest /= DECIMAL) {
            digits++;
        }
        return digits;
    }
}
