package standin;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

/** A way over which connections lead to a server; single ones can fall silent, in both directions or one. */
public final class Way {
    /** One connection: bytes are passed on until it is silent, and dropped from then on. */
    public static final class Link {
        public final int number;
        public volatile boolean silentToServer;
        public volatile boolean silentToGatekeeper;
        final Socket near;
        final Socket far;
        public volatile boolean ended;
        public final AtomicLong bytes = new AtomicLong();

        Link(int number, Socket near, Socket far) {
            this.number = number;
            this.near = near;
            this.far = far;
        }
    }

    public final int port;
    public final List<Link> links = new ArrayList<>();
    private final Record record;
    private final String name;

    public Way(String name, int to, Record record) throws IOException {
        this.name = name;
        this.record = record;
        ServerSocket listener = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
        port = listener.getLocalPort();
        DiameterServer.start(() -> {
            while (true) {
                Socket near = listener.accept();
                near.setTcpNoDelay(true);
                Socket far = new Socket(InetAddress.getByName("127.0.0.1"), to);
                far.setTcpNoDelay(true);
                Link link;
                synchronized (links) {
                    link = new Link(links.size(), near, far);
                    links.add(link);
                }
                record.line(name + ": connection " + link.number + " is open");
                DiameterServer.start(() -> pass(link, near, far, true));
                DiameterServer.start(() -> pass(link, far, near, false));
            }
        });
    }

    private void pass(Link link, Socket from, Socket to, boolean toServer) throws IOException {
        byte[] bytes = new byte[16384];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            for (int n = in.read(bytes); n >= 0; n = in.read(bytes)) {
                if (!(toServer ? link.silentToServer : link.silentToGatekeeper)) {
                    link.bytes.addAndGet(n);
                    out.write(bytes, 0, n);
                    out.flush();
                }
            }
            if (!(toServer ? link.silentToServer : link.silentToGatekeeper)) {
                to.shutdownOutput();
            }
        } catch (IOException e) {
            if (!(toServer ? link.silentToServer : link.silentToGatekeeper)) {
                to.setSoLinger(true, 0);
                to.close();
            }
        } finally {
            link.ended = true;
        }
    }

    /** The open connection that most has passed over. */
    public Link busiest() {
        return links.stream().filter(link -> !link.ended).max(Comparator.comparingLong(link -> link.bytes.get())).orElseThrow();
    }

    public void silence(Link link) {
        link.silentToServer = true;
        link.silentToGatekeeper = true;
        record.line(name + ": connection " + link.number + " is silent from now on");
    }
}
