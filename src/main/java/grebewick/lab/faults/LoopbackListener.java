package grebewick.lab.faults;

import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.concurrent.TimeUnit;

/** Opens listeners at ports that another listener of this process has just left. */
final class LoopbackListener {
    private static final long PATIENCE_NS = TimeUnit.SECONDS.toNanos(2);
    private static final long TRY_AGAIN_MS = 1;

    private LoopbackListener() {}

    /** Listens at a port, 0 stands for any. A closed listener leaves its port once its thread has come back from accept. */
    static ServerSocket open(int port, int backlog) throws IOException {
        long endNs = System.nanoTime() + PATIENCE_NS;
        while (true) {
            ServerSocket socket = new ServerSocket();
            try {
                socket.setReuseAddress(true);
                socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), backlog);
                return socket;
            } catch (BindException e) {
                socket.close();
                if (System.nanoTime() > endNs) {
                    throw e;
                }
                pause();
            }
        }
    }

    private static void pause() throws IOException {
        try {
            Thread.sleep(TRY_AGAIN_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException(e);
        }
    }
}
