package grebewick.lab;

import grebewick.config.Address;
import grebewick.core.Clock;
import grebewick.core.Timers;
import grebewick.discovery.replica.ReplicaServer;
import grebewick.discovery.replica.ReplicaState;
import grebewick.discovery.replica.ServerLimits;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.io.DataInputStream;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.Socket;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** A replica's server on loopback, asked by one client at a time; tells the processor time of its event loop. */
final class ReplicaSocketCost implements AutoCloseable {
    private static final long US_PER_MS = 1_000;
    private static final long PATIENCE_S = 20;
    private static final int LARGEST_DATAGRAM = 65_535;

    private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
    private final long loopThread;
    private final InetAddress loopback = InetAddress.getByName("127.0.0.1");
    private final DatagramSocket datagrams = new DatagramSocket(0, loopback);
    private final int port;

    ReplicaSocketCost(ReplicaState state) throws Exception {
        Clock clock = () -> System.nanoTime() / US_PER_MS;
        Timers timers = (us, task) -> {
            long id = vertx.setTimer(Math.max(1, us / US_PER_MS), fired -> task.run());
            return () -> vertx.cancelTimer(id);
        };
        CompletableFuture<Long> thread = new CompletableFuture<>();
        CompletableFuture<Address> bound = new CompletableFuture<>();
        vertx.getOrCreateContext().runOnContext(v -> {
            thread.complete(Thread.currentThread().getId());
            new ReplicaServer(vertx, state, ServerLimits.DEFAULT, clock, timers, System.err::println)
                .listen(new Address("127.0.0.1", 0)).onSuccess(bound::complete).onFailure(bound::completeExceptionally);
        });
        loopThread = thread.get(PATIENCE_S, TimeUnit.SECONDS);
        port = bound.get(PATIENCE_S, TimeUnit.SECONDS).port();
        datagrams.setSoTimeout((int) TimeUnit.SECONDS.toMillis(PATIENCE_S));
    }

    /** ns. Of the server's event loop so far. */
    long cpuNs() {
        return ManagementFactory.getThreadMXBean().getThreadCpuTime(loopThread);
    }

    /** Asks by UDP; gives the bytes of the answer. */
    int datagram(byte[] query) throws IOException {
        datagrams.send(new DatagramPacket(query, query.length, loopback, port));
        DatagramPacket answer = new DatagramPacket(new byte[LARGEST_DATAGRAM], LARGEST_DATAGRAM);
        datagrams.receive(answer);
        return answer.getLength();
    }

    /** Asks over a connection of its own and reads that many messages; gives the bytes of the answer. */
    int stream(byte[] query, int messages) throws IOException {
        try (Socket socket = new Socket(loopback, port)) {
            socket.getOutputStream().write(new byte[] {(byte) (query.length >> 8), (byte) query.length});
            socket.getOutputStream().write(query);
            DataInputStream in = new DataInputStream(socket.getInputStream());
            int bytes = 0;
            for (int i = 0; i < messages; i++) {
                byte[] message = new byte[in.readUnsignedShort()];
                in.readFully(message);
                bytes += message.length + 2;
            }
            return bytes;
        }
    }

    @Override
    public void close() {
        datagrams.close();
        vertx.close();
    }
}
