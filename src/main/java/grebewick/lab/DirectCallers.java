package grebewick.lab;

import static grebewick.trunk.TrunkMessage.ANSWER;
import static grebewick.trunk.TrunkMessage.RELEASE;
import static grebewick.trunk.TrunkMessage.RELEASED;

import grebewick.trunk.TrunkCodec;
import grebewick.trunk.TrunkMessage;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.NetSocket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.LongConsumer;

/** Callers straight at the stand-in servers, over the servers' own protocol: what a call takes with no gatekeeper between. */
final class DirectCallers {
    private static final long WAIT_MS = 3_000;
    private static final byte[] DESCRIPTION = "c=IN IP4 127.0.0.1\r\n".getBytes(StandardCharsets.US_ASCII);

    private final NetClient client;
    private final LongConsumer answered;
    private final List<NetSocket> sockets = new ArrayList<>();
    private long next = 1;

    /** {@code answered} takes the id of each call as its answer comes. */
    DirectCallers(Vertx vertx, LongConsumer answered) {
        client = vertx.createNetClient(new NetClientOptions().setTcpNoDelay(true));
        this.answered = answered;
    }

    /** Opens one connection to each port. */
    Future<Void> connect(List<Integer> ports) {
        Future<Void> all = Future.succeededFuture();
        for (int port : ports) {
            all = all.compose(v -> client.connect(port, "127.0.0.1").map(this::use));
        }
        return all;
    }

    private Void use(NetSocket socket) {
        TrunkCodec codec = new TrunkCodec();
        sockets.add(socket);
        socket.handler(bytes -> codec.read(bytes, m -> take(socket, m)));
        return null;
    }

    /** One call, now; gives its id. */
    long call() {
        long id = next++;
        NetSocket on = sockets.get((int) (id % sockets.size()));
        on.write(TrunkCodec.encode(TrunkMessage.setUp(id, "a", Long.toString(id), WAIT_MS, DESCRIPTION)));
        return id;
    }

    private void take(NetSocket from, TrunkMessage m) {
        if (m.type() == ANSWER) {
            answered.accept(m.call());
        } else if (m.type() == RELEASE) {
            from.write(TrunkCodec.encode(TrunkMessage.of(RELEASED, m.call(), -1)));
        }
    }
}
