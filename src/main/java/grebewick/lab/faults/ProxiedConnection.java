package grebewick.lab.faults;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;

/**
 * One connection of a gatekeeper that is passed on to a server, by a thread for each direction. It can be held in either
 * direction, cut off from its server for good, and ended.
 */
final class ProxiedConnection {
    private static final int CHUNK = 16 << 10;

    /** What becomes of bytes that arrive. */
    private enum Passage { PASS, HOLD, DISCARD }

    private final Socket gatekeeper;
    private final Socket server;
    private Passage toServer = Passage.PASS;
    private Passage toGatekeeper = Passage.PASS;
    private boolean resetOnBytes;

    ProxiedConnection(Socket gatekeeper, Socket server) throws IOException {
        this.gatekeeper = gatekeeper;
        this.server = server;
        gatekeeper.setTcpNoDelay(true);
        server.setTcpNoDelay(true);
    }

    /** Passes bytes on from now on. */
    void start() {
        daemon(() -> pump(gatekeeper, server, true));
        daemon(() -> pump(server, gatekeeper, false));
    }

    private static void daemon(Runnable run) {
        Thread thread = new Thread(run, "proxied connection");
        thread.setDaemon(true);
        thread.start();
    }

    /** Holds what comes in each direction until it is let on; nothing is lost. */
    synchronized void hold(boolean holdToServer, boolean holdToGatekeeper) {
        toServer = toServer == Passage.DISCARD ? toServer : holdToServer ? Passage.HOLD : Passage.PASS;
        toGatekeeper = toGatekeeper == Passage.DISCARD ? toGatekeeper : holdToGatekeeper ? Passage.HOLD : Passage.PASS;
        notifyAll();
    }

    /** Its machine has vanished: the gatekeeper's side stays open and silent for good. */
    synchronized void sever() {
        toServer = Passage.DISCARD;
        toGatekeeper = Passage.DISCARD;
        notifyAll();
        close(server);
    }

    /** Another machine has the address, which does not know this connection: it is reset by the next bytes that come. */
    synchronized void resetOnBytes() {
        resetOnBytes = true;
    }

    /** Ends the gatekeeper's side by a reset. */
    void reset() {
        try {
            gatekeeper.setSoLinger(true, 0);
        } catch (IOException e) {
            // Closed already.
        }
        close(gatekeeper);
        close(server);
    }

    /** Ends both sides in order. */
    void close() {
        close(gatekeeper);
        close(server);
    }

    private static void close(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // It is closed all the same.
        }
    }

    private void pump(Socket from, Socket to, boolean isToServer) {
        byte[] chunk = new byte[CHUNK];
        try {
            InputStream in = from.getInputStream();
            for (int read = in.read(chunk); read >= 0; read = in.read(chunk)) {
                if (passage(isToServer) == Passage.PASS) {
                    to.getOutputStream().write(chunk, 0, read);
                } else if (isToServer && isResetOnBytes()) {
                    reset();
                    return;
                }
            }
            if (passage(isToServer) == Passage.PASS) {
                to.shutdownOutput();
            }
        } catch (IOException e) {
            ended(isToServer);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** One side was reset: the other is, too, unless it is to notice nothing. */
    private void ended(boolean isToServer) {
        synchronized (this) {
            if (!isToServer && toGatekeeper == Passage.DISCARD) {
                return;
            }
        }
        reset();
    }

    /** Waits while bytes are held. */
    private synchronized Passage passage(boolean isToServer) throws InterruptedException {
        while ((isToServer ? toServer : toGatekeeper) == Passage.HOLD) {
            wait();
        }
        return isToServer ? toServer : toGatekeeper;
    }

    private synchronized boolean isResetOnBytes() {
        return resetOnBytes;
    }
}
