package grebewick.lab.faults;

import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;

/**
 * A port of loopback where connections never come up, as at the address of a machine that has vanished: nobody accepts, and
 * the backlog is full, so that the system drops each SYN without an answer.
 */
final class UnreachablePort implements AutoCloseable {
    /** ms. A connect that takes longer shows that the backlog is full. */
    private static final int FULL_MS = 100;
    private static final int MOST_FILLERS = 16;

    private final ServerSocket listener;
    private final List<Socket> fillers = new ArrayList<>();

    UnreachablePort(int port) throws IOException {
        listener = LoopbackListener.open(port, 1);
        while (fillers.size() < MOST_FILLERS) {
            Socket filler = new Socket();
            fillers.add(filler);
            try {
                filler.connect(listener.getLocalSocketAddress(), FULL_MS);
            } catch (SocketTimeoutException e) {
                return;
            }
        }
        close();
        throw new IOException("the backlog of port " + port + " does not fill");
    }

    @Override
    public void close() throws IOException {
        listener.close();
        for (Socket filler : fillers) {
            filler.close();
        }
    }
}
