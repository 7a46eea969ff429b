package grebewick.diameter;

import grebewick.core.ByteBudget;
import grebewick.core.CallControl.ServerEntry;
import grebewick.core.CallControl.Stage;
import grebewick.core.Clock;
import grebewick.core.EventLog;
import grebewick.core.EventLog.Event;
import grebewick.core.Timers;
import io.vertx.core.net.NetClient;
import java.util.Random;
import java.util.function.Consumer;

/** One authorising server, over all its connections: it is connected to again and again, and watched (RFC 3539). */
final class ServerPeer implements Connection.Owner, Watchdog.Peer {
    /** Who is told what happens to it. */
    interface Listener {
        /** A connection can be written to; the watchdog has not been told yet. */
        void opened(ServerPeer peer, Connection on);

        /** A connection has ended. */
        void closed(ServerPeer peer, Connection on);

        /** It has lost its sessions. */
        void restarted(ServerPeer peer);

        /** Whether it takes new sessions may have changed. */
        void changed(ServerPeer peer);

        /** It asks to end a session (ASR). */
        void aborts(ServerPeer peer, Connection on, DiameterMessage request);
    }

    /** us. In which it has to answer the exchange of capabilities. */
    private static final long CAPABILITIES_US = 5_000_000;
    private static final long US_PER_MS = 1_000;
    /** Bytes of a server's answers that may wait to be taken. */
    private static final int MOST_BACKLOG = 4 * 1024 * 1024;

    private final DiameterConfig.Peer peer;
    private final DiameterConfig config;
    private final Identity me;
    private final NetClient client;
    private final Clock clock;
    private final Timers timers;
    private final Listener listener;
    private final Consumer<String> log;
    private final EventLog eventLog;
    private final Watchdog watchdog;
    /** Of this server's input. */
    private final ByteBudget backlog = new ByteBudget(MOST_BACKLOG);
    private Connection connection;
    private boolean draining;
    /** By a DPR on the latest connection: it wants no other soon. */
    private boolean hasAskedToLeave;
    private boolean stopping;
    private boolean hasLeft;
    /** us. When the connection was opened; 0: the latest never was. */
    private long openedUs;
    private final ReconnectDelays reconnects;
    private long startedAtUs;
    private long heardUs;
    /** Its largest Origin-State-Id so far; 0: it has told none. */
    private long stateId;

    ServerPeer(DiameterConfig.Peer peer, DiameterConfig config, Identity me, NetClient client, Clock clock, Timers timers,
               Listener listener, Consumer<String> log) {
        this.peer = peer;
        this.config = config;
        this.me = me;
        this.client = client;
        this.clock = clock;
        this.timers = timers;
        this.listener = listener;
        this.log = log;
        eventLog = new EventLog(log, clock);
        reconnects = new ReconnectDelays(config.reconnectUs(), new Random(peer.host().hashCode() ^ clock.nowUs()), clock.nowUs());
        watchdog = new Watchdog(timers, this, config.watchdogUs(), config.jitterUs(), peer.host().hashCode());
    }

    String host() {
        return peer.host();
    }

    /** The latest; null before the first. */
    Connection connection() {
        return connection;
    }

    boolean isOpen() {
        return connection != null && connection.isOpen();
    }

    /** us. When it last started anew, as far as was seen; 0: not since this process started. */
    long startedAtUs() {
        return startedAtUs;
    }

    /** It is to show that it lives, whatever its watchdog is doing. */
    void ask() {
        if (isOpen()) {
            connection.sendWatchdog();
        }
    }

    /** Closes its connection with what it has not taken of it; another one follows. */
    void cutOff(String why) {
        log.accept("diameter: closed the connection to " + peer.host() + ": " + why);
        connection.abort();
    }

    /** us. When it last said anything. */
    long heardUs() {
        return heardUs;
    }

    /** What the list says of it. */
    ServerEntry entry() {
        boolean ready = watchdog.state() == Watchdog.State.OKAY && !draining;
        return new ServerEntry(peer.host(), peer.group(), ready ? Stage.HEALTHY : Stage.DRAINING, startedAtUs, "", peer.zone(),
            1);
    }

    /** Opens a connection, and others after it. */
    void connect() {
        if (stopping) {
            return;
        }
        long capabilitiesUs = Math.min(CAPABILITIES_US, config.watchdogUs());
        client.connect(peer.address().socket())
            .onSuccess(
                socket -> connection = new Connection(socket, me, true, clock, timers, capabilitiesUs, this, backlog, log))
            .onFailure(this::failed);
    }

    private void failed(Throwable cause) {
        long delayUs = reconnects.afterFailure(clock.nowUs());
        eventLog.write(Event.CONNECT_FAILED, () -> "server=" + peer.host() + " reason=" + cause.getClass().getSimpleName()
            + " next-try-ms=" + delayUs / US_PER_MS);
        timers.after(delayUs, this::connect);
    }

    /** Takes leave of it; it is not connected to again. What it has said before is read, and what is written is sent. */
    void stop() {
        if (!stopping && isOpen()) {
            connection.announceLeave(() -> hasLeft = true);
        }
        stopping = true;
    }

    /** Whether it has answered that this node goes, or there is no connection on which it could. */
    boolean hasLeft() {
        return stopping && (hasLeft || !isOpen());
    }

    /** Closes its connection. */
    void close() {
        stopping = true;
        if (connection != null) {
            connection.abort();
        }
    }

    @Override
    public boolean admits(String asked) {
        return asked.equals(peer.host());
    }

    @Override
    public void open(Connection c) {
        draining = false;
        hasAskedToLeave = false;
        openedUs = clock.nowUs();
        heardUs = clock.nowUs();
        noteStateId(c);
        listener.opened(this, c);
        watchdog.up();
    }

    /** A larger Origin-State-Id says that the peer has lost its sessions. */
    private void noteStateId(Connection c) {
        boolean anew = stateId != 0 && c.stateId() > stateId;
        stateId = Math.max(stateId, c.stateId());
        if (anew) {
            startedAtUs = clock.nowUs();
            listener.restarted(this);
        }
    }

    @Override
    public void request(Connection c, DiameterMessage m) {
        if (m.command() != DiameterMessage.ABORT_SESSION) {
            throw new DiameterException(DiameterException.COMMAND_UNSUPPORTED, "command " + m.command(), null);
        }
        listener.aborts(this, c, m);
    }

    @Override
    public void draining(Connection c) {
        draining = true;
        hasAskedToLeave = true;
        listener.changed(this);
    }

    @Override
    public void heard(Connection c, DiameterMessage m) {
        heardUs = clock.nowUs();
        watchdog.heard(!m.isRequest() && m.command() == DiameterMessage.DEVICE_WATCHDOG);
        noteStateId(c);
    }

    @Override
    public void closing(Connection c) {
        // Its requests end as reset with it.
    }

    @Override
    public void closed(Connection c) {
        watchdog.down();
        draining = true;
        listener.closed(this, c);
        timers.after(reconnectUs(), this::connect);
        openedUs = 0;
    }

    private long reconnectUs() {
        long nowUs = clock.nowUs();
        if (openedUs == 0) {
            return reconnects.afterFailure(nowUs);
        }
        return hasAskedToLeave ? reconnects.afterLeave(nowUs) : reconnects.afterBreak(openedUs, nowUs);
    }

    @Override
    public void sendWatchdog() {
        connection.sendWatchdog();
    }

    @Override
    public void closeConnection() {
        connection.close("its watchdog is lost");
    }

    @Override
    public void changed(Watchdog.State from, Watchdog.State to) {
        log.accept("diameter: " + peer.host() + " " + from + " -> " + to);
        if (from == Watchdog.State.REOPEN && to == Watchdog.State.OKAY) {
            // What was away may have started anew: it is cold.
            startedAtUs = clock.nowUs();
        }
        listener.changed(this);
    }
}
