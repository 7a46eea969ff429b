package grebewick.lab.hostile;

import java.io.BufferedInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.HdrHistogram.ConcurrentHistogram;

/** Sound clients beside the hostile ones: each asks, reads its answer, and asks again a while later; they measure their waits. */
final class SoundClients {
    private static final int CLIENTS = 12;
    private static final int GAP_MS = 200;
    private static final int PATIENCE_MS = 3_000;
    private static final long FIRST_NUMBER = 1_000_000_000L;

    final ConcurrentHistogram waitUs = new ConcurrentHistogram(3);
    final AtomicInteger refused = new AtomicInteger();
    final AtomicInteger unanswered = new AtomicInteger();
    private final FrontUnderTest front;
    private final AtomicLong next = new AtomicLong(FIRST_NUMBER);
    private volatile boolean done;

    SoundClients(FrontUnderTest front) {
        this.front = front;
    }

    void start() {
        for (int i = 0; i < CLIENTS; i++) {
            Background.run(this::client);
        }
    }

    void stop() {
        done = true;
    }

    private void client() throws InterruptedException {
        while (!done) {
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), front.port()), PATIENCE_MS);
                socket.setSoTimeout(PATIENCE_MS);
                socket.setTcpNoDelay(true);
                DataInputStream in = new DataInputStream(new BufferedInputStream(socket.getInputStream()));
                front.greet(in, socket.getOutputStream());
                // A server may close after each answer.
                boolean again = true;
                while (!done && again) {
                    again = ask(socket, in);
                    Thread.sleep(GAP_MS);
                }
            } catch (IOException e) {
                unanswered.incrementAndGet();
                Thread.sleep(GAP_MS);
            }
        }
    }

    private boolean ask(Socket socket, DataInputStream in) throws IOException {
        long startNs = System.nanoTime();
        socket.getOutputStream().write(front.request(next.incrementAndGet()));
        boolean served = front.readAnswer(in, socket.getOutputStream());
        waitUs.recordValue(TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - startNs));
        if (!served) {
            refused.incrementAndGet();
        }
        return !(front instanceof ChallengesUnderTest);
    }
}
