package grebewick.membership;

import grebewick.config.Address;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.datagram.DatagramSocket;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;

/** Short messages between gatekeepers: datagrams that come late or never. */
public final class PeerDatagrams {
    private static final int MOST = 256;

    private final DatagramSocket socket;
    private final List<Address> peers;
    private final Address all;

    /** Hands what comes to {@code heard}, with its sender's number; strangers are not heard. */
    public PeerDatagrams(Vertx vertx, List<Address> peers, Address all, BiConsumer<Integer, byte[]> heard) {
        this.peers = peers;
        this.all = all;
        socket = vertx.createDatagramSocket();
        Map<Address, Integer> numbers = new HashMap<>();
        for (int i = 0; i < peers.size(); i++) {
            numbers.putIfAbsent(peers.get(i), i);
        }
        socket.handler(packet -> {
            Integer from = numbers.get(new Address(packet.sender().hostAddress(), packet.sender().port()));
            if (from != null && packet.data().length() <= MOST) {
                heard.accept(from, packet.data().getBytes());
            }
        });
    }

    /** Listens where the others reach this gatekeeper. */
    public Future<DatagramSocket> listen(Address at) {
        return socket.listen(at.port(), at.host());
    }

    /** Closes the socket. */
    public Future<Void> close() {
        return socket.close();
    }

    /** Sends to one gatekeeper, or to all where {@code peer} is negative. */
    public void send(int peer, byte[] bytes) {
        Address to = peer < 0 ? all : peer < peers.size() ? peers.get(peer) : null;
        if (to != null && bytes.length <= MOST) {
            socket.send(Buffer.buffer(bytes), to.port(), to.host());
        }
    }
}
