package grebewick.discovery.replica;

import grebewick.config.Address;
import grebewick.core.Clock;
import grebewick.core.Timers;
import grebewick.discovery.replica.ReplicaState.Transport;
import grebewick.discovery.transfer.TransferCodec;
import grebewick.discovery.transfer.TransferException;
import grebewick.discovery.transfer.TransferRequest;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.datagram.DatagramPacket;
import io.vertx.core.datagram.DatagramSocket;
import io.vertx.core.datagram.DatagramSocketOptions;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.net.NetSocket;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

/** The sockets of a replica: UDP and TCP at the same address. Everything happens on one event loop. */
public final class ReplicaServer {
    /** Answers by UDP that wait for the socket; beyond them they are dropped, as the network may, and asked for again. */
    private static final int MOST_DATAGRAMS = 1_024;
    private static final int RECEIVE_BUFFER = 1 << 20;
    private static final int BACKLOG = 512;
    /** Bytes that the system holds for a client that reads slowly. */
    private static final int STREAM_SEND_BUFFER = 1 << 17;
    /** With an ephemeral port: what TCP was given may be taken for UDP. */
    private static final int PORT_TRIES = 8;
    /** us. Between looks at whether all connections have ended. */
    private static final long LOOK_US = 10_000;

    private final Vertx vertx;
    private final ReplicaState state;
    private final ServerLimits limits;
    private final Clock clock;
    private final Timers timers;
    private final Consumer<String> log;
    private final Set<ClientConnection> connections = new LinkedHashSet<>();
    private DatagramSocket datagrams;
    private NetServer streams;
    private int waitingDatagrams;

    /** A server of a state's zones; opens nothing yet. */
    public ReplicaServer(Vertx vertx, ReplicaState state, ServerLimits limits, Clock clock, Timers timers, Consumer<String> log) {
        this.vertx = vertx;
        this.state = state;
        this.limits = limits;
        this.clock = clock;
        this.timers = timers;
        this.log = log;
    }

    /** Listens; gives the address, with the port that was chosen for port 0. */
    public Future<Address> listen(Address at) {
        return listen(at, PORT_TRIES);
    }

    private Future<Address> listen(Address at, int tries) {
        return listenOnce(at)
            .recover(failure -> at.port() == 0 && tries > 1 ? listen(at, tries - 1) : Future.failedFuture(failure));
    }

    private Future<Address> listenOnce(Address at) {
        NetServer server = vertx.createNetServer(new NetServerOptions().setAcceptBacklog(BACKLOG).setTcpNoDelay(true)
            .setSendBufferSize(STREAM_SEND_BUFFER))
            .connectHandler(this::accept);
        DatagramSocket socket = vertx.createDatagramSocket(new DatagramSocketOptions().setReceiveBufferSize(RECEIVE_BUFFER)
            .setSendBufferSize(RECEIVE_BUFFER));
        socket.handler(this::receive);
        socket.exceptionHandler(e -> log.accept("replica: UDP: " + e.getMessage()));
        return server.listen(at.port(), at.host())
            .compose(bound -> socket.listen(bound.actualPort(), at.host()))
            .map(bound -> {
                streams = server;
                datagrams = socket;
                return new Address(at.host(), server.actualPort());
            })
            .recover(failure -> Future.join(server.close(), socket.close()).transform(closed -> Future.failedFuture(failure)));
    }

    private void receive(DatagramPacket packet) {
        byte[] query = packet.data().getBytes();
        byte[] answer = answer(query);
        if (answer != null && waitingDatagrams < MOST_DATAGRAMS) {
            waitingDatagrams++;
            datagrams.send(Buffer.buffer(answer), packet.sender().port(), packet.sender().hostAddress())
                .onComplete(sent -> waitingDatagrams--);
            state.sent(answer.length);
        }
    }

    /** The answer to a datagram; null: none. */
    private byte[] answer(byte[] query) {
        try {
            TransferRequest request = TransferCodec.decodeQuery(query);
            long nowUs = clock.nowUs();
            return TransferCodec.encodeDatagram(request, state.answer(request, Transport.DATAGRAM, nowUs),
                state.ageUs(request.zone(), nowUs));
        } catch (TransferException e) {
            return state.malformed(clock.nowUs()) ? TransferCodec.formatError(query).orElse(null) : null;
        }
    }

    private void accept(NetSocket socket) {
        if (connections.size() >= limits.connections()) {
            socket.close();
            return;
        }
        ClientConnection connection = new ClientConnection(socket, state, limits, clock, timers,
            task -> vertx.runOnContext(v -> task.run()));
        connections.add(connection);
        socket.closeHandler(closed -> {
            connection.closed();
            connections.remove(connection);
        });
    }

    /** Connections that are open. */
    public int connections() {
        return connections.size();
    }

    /** Takes no more queries, lets answers that have begun end, for so long at the most, and closes. */
    public Future<Void> close(long patienceUs) {
        if (streams == null) {
            return Future.succeededFuture();
        }
        Future<Void> silent = datagrams.close();
        List.copyOf(connections).forEach(ClientConnection::end);
        Promise<Void> ended = Promise.promise();
        awaitEnds(clock.nowUs() + patienceUs, ended);
        return silent.compose(closed -> ended.future()).compose(all -> streams.close());
    }

    private void awaitEnds(long deadlineUs, Promise<Void> ended) {
        if (connections.isEmpty() || clock.nowUs() >= deadlineUs) {
            ended.complete();
            return;
        }
        timers.after(LOOK_US, () -> awaitEnds(deadlineUs, ended));
    }
}
