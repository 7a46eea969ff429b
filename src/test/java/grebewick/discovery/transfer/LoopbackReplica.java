package grebewick.discovery.transfer;

import static org.assertj.core.api.Assertions.assertThat;

import grebewick.config.Address;
import grebewick.play.Scenario;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.datagram.DatagramPacket;
import io.vertx.core.datagram.DatagramSocket;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** A {@link SimReplica} on sockets, with faults of its connections. Everything on the scenario's loop. */
final class LoopbackReplica {
    /** What it does with queries over TCP. */
    enum Fault {
        /** Answers one after the other. */
        NONE,
        /** Closes each connection after its first answer. */
        CLOSES_AFTER_ONE,
        /** Answers the first query of a connection after its second. */
        OUT_OF_TURN,
        /** Answers for another zone. */
        OTHER_ZONE,
        /** Answers under an id that nobody asked with. */
        OTHER_ID,
        /** Answers half a message. */
        HALF,
        /** Says nothing. */
        MUTE
    }

    private static final int PORT_TRIES = 20;

    private final SimReplica sim;
    private final DatagramSocket udp;
    private final Set<NetSocket> open = new HashSet<>();
    Fault fault = Fault.NONE;
    int connections;
    int transfers;

    /** Listens on loopback, and takes over what the primary has. */
    LoopbackReplica(Scenario s, SimPrimary primary, String zone) {
        udp = s.on(() -> s.vertx.createDatagramSocket());
        udp.handler(this::answer);
        int port = listen(s, PORT_TRIES);
        sim = new SimReplica(new Replica(new Address("127.0.0.1", port), "east", zone), primary);
        sim.refresh();
    }

    /** Gives a port for both: what TCP was given may be taken for UDP, by another process for one. */
    private int listen(Scenario s, int tries) {
        NetServer tcp = s.on(() -> s.vertx.createNetServer().connectHandler(this::serve));
        int port = s.await(() -> tcp.listen(0, "127.0.0.1")).actualPort();
        boolean bound = s.await(() -> udp.listen(port, "127.0.0.1").map(true).otherwise(false));
        if (bound) {
            return port;
        }
        assertThat(tries).as("a port that is free for TCP and UDP is found").isPositive();
        s.await(tcp::close);
        return listen(s, tries - 1);
    }

    Replica replica() {
        return sim.replica;
    }

    /** Connections that are open now. */
    int open() {
        return open.size();
    }

    private static TransferRequest decode(byte[] query) {
        try {
            return TransferCodec.decodeQuery(query);
        } catch (TransferException e) {
            throw new AssertionError(e);
        }
    }

    private void answer(DatagramPacket packet) {
        TransferRequest request = decode(packet.data().getBytes());
        udp.send(Buffer.buffer(TransferCodec.encodeDatagram(request, sim.answer(request, false))), packet.sender().port(),
            packet.sender().host());
    }

    private void serve(NetSocket socket) {
        connections++;
        open.add(socket);
        socket.closeHandler(v -> open.remove(socket));
        MessageFraming framing = new MessageFraming(512);
        List<TransferRequest> asked = new ArrayList<>();
        socket.handler(buffer -> {
            try {
                for (byte[] query : framing.add(buffer.getBytes())) {
                    asked.add(decode(query));
                    asked(socket, asked);
                }
            } catch (TransferException e) {
                throw new AssertionError(e);
            }
        });
    }

    private void asked(NetSocket socket, List<TransferRequest> asked) {
        int number = asked.size();
        TransferRequest last = asked.get(number - 1);
        switch (fault) {
            case NONE -> write(socket, last, last);
            case CLOSES_AFTER_ONE -> {
                if (number == 1) {
                    write(socket, last, last);
                    socket.close();
                }
            }
            case OUT_OF_TURN -> {
                if (number > 1) {
                    write(socket, last, last);
                }
                if (number == 2) {
                    write(socket, asked.get(0), asked.get(0));
                }
            }
            case OTHER_ZONE -> write(socket, last, new TransferRequest(last.id(), "s0.west.fleet.local.", last.held()));
            case OTHER_ID -> write(socket, last, new TransferRequest(last.id() ^ 0x55, last.zone(), last.held()));
            case HALF -> socket.write(Buffer.buffer(new byte[] {0, 100, (byte) (last.id() >> 8), (byte) last.id()}));
            default -> {
            }
        }
    }

    private void write(NetSocket socket, TransferRequest asked, TransferRequest answered) {
        transfers++;
        TransferCodec.encodeStream(answered, sim.answer(asked, true))
            .forEachRemaining(message -> socket.write(Buffer.buffer(MessageFraming.frame(message))));
    }
}
