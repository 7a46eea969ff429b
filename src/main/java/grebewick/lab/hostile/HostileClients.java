package grebewick.lab.hostile;

import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

/** The clients of one play. Their threads and connections end with it. */
final class HostileClients {
    /** Numbers of requests that are sent again by {@link HostileTraffic#LEAVES_AND_REPEATS}. */
    static final long FIRST_NUMBER = 1_000;
    static final int REPEATED = 300;
    private static final int CROWD = 300;
    private static final int REQUESTS_EACH = 16;
    private static final int SLOW_GAP_MS = 10;
    private static final int ROUNDS = 5;
    private static final int AWAY_MS = 50;
    private static final int CONNECT_MS = 1_000;
    private static final int ROUND_MS = 1_000;

    final AtomicLong sent = new AtomicLong();
    private final FrontUnderTest front;
    private final HostileTraffic traffic;
    private final List<Socket> sockets = new ArrayList<>();
    private volatile boolean done;

    HostileClients(FrontUnderTest front, HostileTraffic traffic) {
        this.front = front;
        this.traffic = traffic;
    }

    void start() {
        if (traffic.isFlood()) {
            Background.run(this::flood);
        } else if (traffic == HostileTraffic.LEAVES_AND_REPEATS) {
            Background.run(this::leaveAndRepeat);
        } else if (traffic != HostileTraffic.NONE) {
            Background.run(this::crowd);
        }
    }

    synchronized void stop() {
        done = true;
        for (Socket socket : sockets) {
            close(socket);
        }
    }

    private static void close(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // It is closed.
        }
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket();
        synchronized (this) {
            if (done) {
                throw new IOException("the play is over");
            }
            sockets.add(socket);
        }
        socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), front.port()), CONNECT_MS);
        socket.setTcpNoDelay(true);
        front.greet(new DataInputStream(socket.getInputStream()), socket.getOutputStream());
        return socket;
    }

    /** At full speed on one connection; on another one where the first is closed. */
    private void flood() throws InterruptedException {
        while (!done) {
            try (Socket socket = connect()) {
                if (traffic != HostileTraffic.TESTS_UNREAD) {
                    Background
                        .run(() -> new BufferedInputStream(socket.getInputStream()).transferTo(OutputStream.nullOutputStream()));
                }
                OutputStream out = new BufferedOutputStream(socket.getOutputStream(), 32 * 1024);
                while (!done) {
                    out.write(front.useless(traffic, FIRST_NUMBER + sent.incrementAndGet()));
                }
            } catch (IOException e) {
                Thread.sleep(SLOW_GAP_MS);
            }
        }
    }

    private void leaveAndRepeat() throws IOException, InterruptedException {
        for (int round = 0; round < ROUNDS && !done; round++) {
            long first = FIRST_NUMBER + round * REPEATED;
            try (Socket socket = connect()) {
                writeAll(socket.getOutputStream(), first);
            }
            Thread.sleep(AWAY_MS);
            Socket again = connect();
            writeAll(again.getOutputStream(), first);
            Thread.sleep(ROUND_MS);
            again.close();
        }
    }

    private void writeAll(OutputStream out, long first) throws IOException {
        for (int i = 0; i < REPEATED; i++) {
            out.write(front.request(first + i));
            sent.incrementAndGet();
        }
    }

    private void crowd() throws IOException {
        for (int i = 0; i < CROWD && !done; i++) {
            Background.run(this::member);
        }
    }

    private void member() throws IOException, InterruptedException {
        while (!done) {
            try (Socket socket = connect()) {
                member(socket.getOutputStream());
            } catch (IOException e) {
                Thread.sleep(SLOW_GAP_MS * 10);
            }
        }
    }

    private void member(OutputStream out) throws IOException, InterruptedException {
        long number = FIRST_NUMBER + sent.incrementAndGet();
        switch (traffic) {
            case HALF_REQUESTS -> {
                byte[] half = front.large(false, number);
                out.write(half, 0, half.length / 2);
                while (!done) {
                    Thread.sleep(ROUND_MS);
                    // Notices that the connection is closed.
                    out.write(half, half.length / 2, 1);
                }
            }
            case SLOW_WRITERS -> {
                for (byte each : front.large(false, number)) {
                    out.write(each);
                    Thread.sleep(SLOW_GAP_MS);
                }
            }
            default -> {
                for (int i = 0; i < REQUESTS_EACH; i++) {
                    out.write(front.large(true, FIRST_NUMBER + sent.incrementAndGet()));
                }
                Thread.sleep(ROUND_MS);
            }
        }
    }
}
