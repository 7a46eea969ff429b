package grebewick.discovery.transfer;

import static org.assertj.core.api.Assertions.assertThat;

import grebewick.config.Address;
import grebewick.config.Endpoint;
import grebewick.core.CallControl.ServerEntry;
import grebewick.core.CallControl.Stage;
import grebewick.discovery.transfer.TransferResponse.FullCopy;
import grebewick.discovery.transfer.TransferResponse.Incremental;
import grebewick.discovery.transfer.TransferResponse.UpToDate;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Prints the sizes that docs/design/server-list-distribution.md works with, and checks what the client takes for granted. */
class MessageSizesTest {
    private static final String ZONE = "s112.east.fleet.local.";
    private static final ZoneVersion HELD = new ZoneVersion(3, 41);
    private static final TransferRequest REQUEST = new TransferRequest(1, ZONE, Optional.of(HELD));

    private static Endpoint server(int number, int port) {
        ServerEntry entry = new ServerEntry(String.format("s-%08x", number * 0x9e3779b1), number % 8, Stage.HEALTHY,
            1_733_115_000_000_000L, "std", "east-1", 4);
        return new Endpoint(entry, new Address("10.1.0.9", port));
    }

    private static int whole(int servers) {
        List<Endpoint> list = new ArrayList<>();
        for (int i = 0; i < servers; i++) {
            list.add(server(i, 5070));
        }
        int bytes = 0;
        for (Iterator<byte[]> each = TransferCodec.encodeStream(REQUEST, new FullCopy(ZoneContent.of(HELD, list))); each
            .hasNext();) {
            bytes += MessageFraming.frame(each.next()).length;
        }
        return bytes;
    }

    private static int replaced(int servers) {
        List<ZoneChange> changes = new ArrayList<>();
        ZoneVersion at = HELD;
        for (int i = 0; i < servers; i++) {
            changes.add(new ZoneChange(at, at.next(), List.of(server(i, 5070)), List.of(server(i, 5071))));
            at = at.next();
        }
        return TransferCodec.encodeDatagram(REQUEST, new Incremental(changes)).length;
    }

    @Test
    void aPollThatFindsNothingNewIsWithinWhatTheScheduleCounts() {
        int query = TransferCodec.encodeQuery(REQUEST).length;
        int upToDate = TransferCodec.encodeDatagram(REQUEST, new UpToDate(HELD)).length;
        System.out.println("query " + query + ", up to date " + upToDate);
        assertThat(query + ServerListClient.DATAGRAM_HEADERS).isLessThanOrEqualTo(ServerListClient.QUERY_BYTES);
        assertThat(query + upToDate + 2 * ServerListClient.DATAGRAM_HEADERS).isLessThanOrEqualTo(PollSchedule.POLL_BYTES);
    }

    @Test
    void aFewReplacedServersFitADatagram() {
        System.out
            .println("1, 2, 3 and 10 servers replaced one by one: " + replaced(1) + ", " + replaced(2) + ", " + replaced(3) + ", "
                + replaced(10));
        assertThat(replaced(2)).isLessThan(TransferCodec.MAX_DATAGRAM);
    }

    @Test
    void aZoneOfThePlansSizeFitsADatagram() {
        System.out
            .println("whole zone of 7, 14, 68, 256 and 3,800 servers: " + whole(7) + ", " + whole(14) + ", " + whole(68) + ", "
                + whole(256) + ", " + whole(3_800));
        assertThat(whole(7)).isLessThan(TransferCodec.MAX_DATAGRAM);
    }
}
