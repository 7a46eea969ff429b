package grebewick.membership;

import static org.assertj.core.api.Assertions.assertThat;

import grebewick.config.Address;
import grebewick.play.Scenario;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.datagram.DatagramSocket;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.junit.jupiter.api.Test;

class PeerDatagramsTest {
    /** Guards the module against strangers and against what is longer than the platform allows. */
    @Test
    void theLastOfAThousandPeersIsHeardAndNoStrangerNorWhatIsTooLong() {
        try (Scenario s = new Scenario()) {
            DatagramSocket peer = s.on(() -> s.vertx.createDatagramSocket());
            int at = s.await(() -> peer.listen(0, "127.0.0.1")).localAddress().port();
            List<Address> peers = new ArrayList<>(Collections.nCopies(1023, new Address("127.1.0.1", 7946)));
            peers.add(new Address("127.0.0.1", at));
            List<String> heard = new ArrayList<>();
            PeerDatagrams link = s
                .on(() -> new PeerDatagrams(s.vertx, peers, null, (from, bytes) -> heard.add(from + ": " + bytes.length)));
            int port = s.await(() -> link.listen(new Address("127.0.0.1", 0))).localAddress().port();
            s.await(() -> s.vertx.createDatagramSocket().send(Buffer.buffer(new byte[1]), port, "127.0.0.1"));
            for (int length : new int[] {257, 60_000, 256}) {
                s.await(() -> peer.send(Buffer.buffer(new byte[length]), port, "127.0.0.1"));
            }
            s.until(() -> !heard.isEmpty());
            assertThat(heard).containsExactly("1023: 256");
        }
    }
}
