package grebewick.trunk;

import grebewick.config.Address;
import grebewick.core.Clock;
import grebewick.core.Timers;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetSocket;
import java.net.ConnectException;
import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.Set;
import java.util.function.Consumer;

/** The connection to one recipe server: opened as soon as the server is listed, and again when it is lost. */
final class Line {
    /** us. Between tries to connect. */
    private static final long RETRY_US = 300_000;
    /** us. For what is open on a connection that another took the place of. */
    private static final long OLD_US = 5_000_000;
    /** us. After which a server that is gone from the list has nothing more to say. */
    private static final long GONE_US = 10_000_000;
    /** Bytes not yet taken by the network above which a connection counts as stuck. */
    private static final int BACKLOG = 1 << 20;

    /** What a line tells its owner. */
    interface Owner {
        void message(Line line, NetSocket on, TrunkMessage message);

        /** Whatever was open on that connection is given up. */
        void lost(Line line, NetSocket connection);

        /** No connection came up; {@code refused}: the machine is there, but nothing listens. */
        void unreachable(Line line, boolean refused);

        void up(Line line);
    }

    final String id;
    long launchedUs;
    private final NetClient client;
    private final Clock clock;
    private final Timers timers;
    private final Owner owner;
    private final Consumer<String> log;
    private final ArrayDeque<TrunkMessage> owed = new ArrayDeque<>();
    private final Set<NetSocket> open = new HashSet<>();
    private Address address;
    private NetSocket current;
    private boolean connecting;
    private boolean listed = true;
    private long heardUs;
    private int stuck;

    Line(String id, Address address, long launchedUs, NetClient client, Clock clock, Timers timers, Owner owner,
         Consumer<String> log) {
        this.id = id;
        this.address = address;
        this.launchedUs = launchedUs;
        this.client = client;
        this.clock = clock;
        this.timers = timers;
        this.owner = owner;
        this.log = log;
    }

    /** The connection that new work goes to, or null. */
    NetSocket current() {
        return current;
    }

    boolean connecting() {
        return connecting;
    }

    /** When anything was last heard. */
    long heardUs() {
        return heardUs;
    }

    /** It may have moved or started anew: a connection from before may be dead without a word. */
    void update(Address now, long launched) {
        boolean moved = !now.equals(address);
        boolean anew = launched > launchedUs;
        address = now;
        launchedUs = Math.max(launched, launchedUs);
        if (moved || anew) {
            connect();
        }
    }

    /** Opens a connection in place of the present one, which goes on until it ends or no new one comes up. */
    void connect() {
        if (connecting || !listed) {
            return;
        }
        connecting = true;
        client.connect(address.socket()).onComplete(done -> {
            connecting = false;
            if (done.succeeded()) {
                begin(done.result());
            } else {
                failed(done.cause());
            }
        });
    }

    private void begin(NetSocket socket) {
        NetSocket before = current;
        current = socket;
        open.add(socket);
        heardUs = clock.nowUs();
        TrunkCodec codec = new TrunkCodec();
        socket.handler(bytes -> read(socket, codec, bytes));
        socket.exceptionHandler(e -> socket.close());
        socket.closeHandler(v -> closed(socket));
        for (TrunkMessage m = owed.poll(); m != null; m = owed.poll()) {
            write(socket, m);
        }
        owner.up(this);
        if (!listed) {
            socket.close();
        }
        if (before != null) {
            // What is open there may still end by itself; afterwards it is of no use.
            timers.after(OLD_US, before::close);
        }
    }

    private void read(NetSocket socket, TrunkCodec codec, Buffer bytes) {
        heardUs = clock.nowUs();
        try {
            codec.read(bytes, message -> owner.message(this, socket, message));
        } catch (RuntimeException e) {
            log.accept("trunk " + id + ": closed, as it sent " + e.getMessage());
            socket.close();
        }
    }

    private void closed(NetSocket socket) {
        open.remove(socket);
        if (current == socket) {
            current = null;
        }
        owner.lost(this, socket);
        if (current == null) {
            connect();
        }
    }

    private void failed(Throwable cause) {
        boolean refused = cause instanceof ConnectException && String.valueOf(cause.getMessage()).contains("refused");
        if (current != null) {
            // Guards against a machine that vanished: its connection stays open and silent for ever.
            current.close();
        }
        owner.unreachable(this, refused);
        timers.after(RETRY_US, () -> {
            if (current == null) {
                connect();
            }
        });
    }

    boolean isOpen(NetSocket socket) {
        return open.contains(socket);
    }

    /** Sends on the connection given, or else on the next one to come up. */
    void send(NetSocket on, TrunkMessage message) {
        NetSocket socket = on != null && open.contains(on) ? on : current;
        if (socket != null) {
            write(socket, message);
        } else if (listed && owed.size() < 10_000) {
            owed.add(message);
        }
    }

    private void write(NetSocket socket, TrunkMessage message) {
        if (socket.writeQueueFull() && ++stuck > BACKLOG / TrunkCodec.MOST) {
            log.accept("trunk " + id + ": closed, as it takes nothing any more");
            stuck = 0;
            socket.close();
            return;
        }
        stuck = socket.writeQueueFull() ? stuck : 0;
        socket.write(TrunkCodec.encode(message));
    }

    void closeIdle() {
        if (current != null) {
            current.close();
        }
    }

    /** It is gone from the list: no new connection; one that stays open in silence is closed. */
    void gone() {
        listed = false;
        owed.clear();
        timers.after(GONE_US, () -> Set.copyOf(open).forEach(NetSocket::close));
    }

}
