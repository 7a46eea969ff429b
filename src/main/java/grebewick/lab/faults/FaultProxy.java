package grebewick.lab.faults;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * The address of one server as gatekeepers see it: connections are passed on to the process behind it, until a fault is
 * played. Any thread may call it; one fault at a time.
 */
final class FaultProxy implements AutoCloseable {
    private static final int BACKLOG = 50;

    private final int port;
    private final List<ProxiedConnection> connections = new CopyOnWriteArrayList<>();
    private volatile int target;
    private volatile boolean holdsNew;
    private ServerSocket listener;
    private UnreachablePort unreachable;

    /** Listens at a free port, for the process at {@code target}. */
    FaultProxy(int target) throws IOException {
        this.target = target;
        listener = LoopbackListener.open(0, BACKLOG);
        port = listener.getLocalPort();
        accept(listener);
    }

    int port() {
        return port;
    }

    private void accept(ServerSocket on) {
        Thread thread = new Thread(() -> acceptAll(on), "proxy at " + port);
        thread.setDaemon(true);
        thread.start();
    }

    private void acceptAll(ServerSocket on) {
        while (!on.isClosed()) {
            try {
                Socket gatekeeper = on.accept();
                try {
                    ProxiedConnection connection = new ProxiedConnection(gatekeeper,
                        new Socket(InetAddress.getLoopbackAddress(), target));
                    connection.hold(holdsNew, holdsNew);
                    connections.add(connection);
                    connection.start();
                } catch (IOException e) {
                    gatekeeper.setSoLinger(true, 0);
                    gatekeeper.close();
                }
            } catch (IOException e) {
                // The listener is closed, or a connection was gone before it was taken.
            }
        }
    }

    /** The machine vanishes: open connections stay open and silent, and new ones never come up. */
    void vanish() throws IOException {
        connections.forEach(ProxiedConnection::sever);
        stopListening();
    }

    /** The network is cut: nothing passes, and new connections never come up, until {@link #restore}. */
    void cut() throws IOException {
        connections.forEach(connection -> connection.hold(true, true));
        stopListening();
    }

    /** The process hangs: the system accepts connections for it, and nothing passes until {@link #restore}. */
    void hang() {
        holdsNew = true;
        connections.forEach(connection -> connection.hold(true, true));
    }

    /** What the process says is on its way for longer, until {@link #restore}; what it is told arrives. */
    void holdAnswers() {
        connections.forEach(connection -> connection.hold(false, true));
    }

    private void stopListening() throws IOException {
        listener.close();
        unreachable = new UnreachablePort(port);
    }

    /** The network or the process is back as it was. */
    void restore() throws IOException {
        holdsNew = false;
        listen();
        connections.forEach(connection -> connection.hold(false, false));
    }

    private void listen() throws IOException {
        if (unreachable != null) {
            unreachable.close();
            unreachable = null;
            listener = LoopbackListener.open(port, BACKLOG);
            accept(listener);
        }
    }

    /** Another process has the address. Connections from before stay silent, or are reset, at once or when written to. */
    void replace(int newTarget, OldConnections old) throws IOException {
        target = newTarget;
        if (old == OldConnections.RESET) {
            reset();
        } else if (old == OldConnections.RESET_WHEN_WRITTEN_TO) {
            connections.forEach(ProxiedConnection::resetOnBytes);
        }
        listen();
    }

    /** What becomes of the connections with a process that is gone. */
    enum OldConnections {
        SILENT, RESET, RESET_WHEN_WRITTEN_TO
    }

    /** All open connections are reset. */
    void reset() {
        connections.forEach(ProxiedConnection::reset);
        connections.clear();
    }

    /** The process dies: its connections are reset, and nothing listens. */
    void die() throws IOException {
        listener.close();
        reset();
    }

    /** After {@link #die}: another process listens there. */
    void restart(int newTarget) throws IOException {
        target = newTarget;
        listener = LoopbackListener.open(port, BACKLOG);
        accept(listener);
    }

    @Override
    public void close() throws IOException {
        listener.close();
        connections.forEach(ProxiedConnection::close);
        if (unreachable != null) {
            unreachable.close();
        }
    }
}
