package grebewick.discovery.transfer;

import grebewick.config.Endpoint;
import grebewick.core.CallControl.ServerEntry;
import java.util.Collection;

/**
 * How many bytes a transfer takes at the most, without encoding it. Names that are compressed count in full once and as
 * pointers after; all bounds are of one message.
 */
public final class TransferSize {
    /** Header of a message, and type and class of its question. */
    private static final int HEADER = 12 + 4;
    /** Pointer to an earlier name, then type, class, TTL and length of a record. */
    private static final int RECORD = 2 + 10;
    /** Fields of an SOA record: epoch label and hostmaster label with pointers, and five numbers. */
    private static final int SOA = RECORD + 28 + 13 + 20;
    /** {@code _work._tcp} once. */
    private static final int SERVICE_NAME = 11;
    /** Priority, weight and port of an SRV record. */
    private static final int SERVICE = RECORD + 6;
    private static final int ADDRESS = RECORD + 4;
    /** The texts {@code kind=}, {@code cell=} and {@code started=} with their lengths and numbers. */
    private static final int TEXT = RECORD + 6 + 6 + 11 + 9 + 20;

    private TransferSize() {}

    /** Bytes of an answer beside its changes or servers. */
    public static int ofFrame(String zone) {
        return HEADER + zone.length() + 1 + SERVICE_NAME + 2 * SOA;
    }

    /** Bytes of a change within an answer. */
    public static int of(String zone, ZoneChange change) {
        return 2 * SOA + ofServers(zone, change.removed()) + ofServers(zone, change.added());
    }

    /** Bytes of servers within an answer. */
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
        return SERVICE + labels + zone.length() + 1 + ADDRESS + labels + TEXT + entry.model().length();
    }
}
