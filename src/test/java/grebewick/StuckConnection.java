package grebewick;

import static org.assertj.core.api.Assertions.assertThat;

import grebewick.core.Offer;
import grebewick.trunk.Trunk;
import grebewick.trunk.TrunkDialect;
import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;

/** A connection to a server that reads nothing, on which bytes of set-ups are stuck. */
final class StuckConnection {
    /** Bytes of a set-up's description: few of them fill a connection. */
    static final int DESCRIPTION = 15_000;
    static final int PATIENCE_MS = 20_000;
    static final String SERVER = "s3";
    private static final long WAIT_US = 9_000_000;
    private static final int MOST_SET_UPS = 4_096;

    private StuckConnection() {}

    /** The next connection, once its other end is known to have seen it come up: a test on it has been answered. */
    static Socket accepted(ServerSocket server) throws IOException {
        server.setSoTimeout(PATIENCE_MS);
        TrunkDialect dialect = new TrunkDialect();
        Socket socket = server.accept();
        socket.setSoTimeout(PATIENCE_MS);
        socket.getOutputStream().write(dialect.encode(dialect.ping()[0]).getBytes());
        int size = socket.getInputStream().read() * 256 + socket.getInputStream().read();
        assertThat(socket.getInputStream().readNBytes(size)).hasSize(size);
        return socket;
    }

    /** Set-ups until the connection is stuck; gives their number. In one turn of the loop: what is stuck stays so in it. */
    static int fill(Trunk trunk) {
        for (int sent = 1; sent <= MOST_SET_UPS; sent++) {
            setUp(trunk, sent);
            if (trunk.unwritten() > 0) {
                return sent;
            }
        }
        throw new AssertionError("the connection never gets stuck");
    }

    static void setUp(Trunk trunk, int call) {
        trunk.setUp(call, 0, SERVER,
            new Offer<>(call, "a", "55", WAIT_US, false, false, 1, 0, -1, new byte[DESCRIPTION]), WAIT_US);
    }
}
