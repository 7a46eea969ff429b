package grebewick.trunk;

import grebewick.config.Address;
import grebewick.core.Clock;
import grebewick.core.EventLog;
import grebewick.core.EventLog.Event;
import grebewick.core.Timers;
import grebewick.liveness.LeaseTimes;
import grebewick.liveness.ProbeBudget;
import grebewick.liveness.ProcessLease;
import grebewick.liveness.ProcessTracker;
import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetSocket;
import java.net.ConnectException;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * A few connections to one server, opened as soon as it is listed and again when one is lost. Set-ups are
 * spread over them: an answer that cannot be read, and a reset, take along whatever else is open on their connection.
 */
final class ServerConnections {
    /** Connections kept up, and the most while set-ups wait on all of them. */
    private static final int SPARE = 2;
    private static final int MOST = 6;
    /** us. Until the descriptors may bear one more. */
    private static final long QUOTA_RETRY_US = 300_000;
    /** us. Silence of a connection after which it is in doubt once a further one does not come up. */
    private static final long DOUBT_US = 300_000;
    /** us. For what is open on a connection that takes nothing new. */
    private static final long OLD_US = 5_000_000;
    /** us. After which a server that is gone from the list has nothing more to say. */
    private static final long GONE_US = 10_000_000;
    /** us. A message that has begun is whole by then, or never will be. */
    private static final long HALF_US = 300_000;
    /** us. After which a connection more than the spare ones, without a call, is closed. */
    private static final long UNUSED_US = 3_000_000;
    /** us. In which a server closes its side of a connection that was ended from this one. */
    private static final long FAREWELL_US = 1_000_000;
    /** Bytes not yet taken by the network above which a connection counts as stuck. */
    private static final int BACKLOG = 1 << 20;
    /** us. Age of what was heard on another connection up to which this one is not needed to show that a process lives. */
    private static final long EVIDENCE_US = 1_500_000;
    /** us. Between looks whether a connection is still needed. */
    private static final long EVIDENCE_LOOK_US = 1_000_000;

    /** What connections tell its owner. */
    interface Owner {
        void message(ServerConnections connections, ServerConnection on, TrunkMessage message);

        /** Whatever was open on that connection is given up. */
        void lost(ServerConnections connections, ServerConnection connection);

        /** Whether a set-up of a call has gone out to that server and is not over there. */
        boolean holds(ServerConnections connections, long id);

        /** Set-ups that are open on that connection are given up; it stays, as standing calls need it. */
        void giveUpSetUps(ServerConnection connection);

        /** No connection came up; {@code dead}: nothing listens, and no connection is left: the process is gone. */
        void unreachable(ServerConnections connections, boolean dead);

        void up(ServerConnections connections);

        /** Writes something that asks for nothing: who does not know the connection resets it. */
        void keepAlive(ServerConnection connection);

        /** A process with calls has been silent: it is to show that it lives, on {@code on}. */
        void probe(ServerConnections connections, ServerConnection on);

        /** A process has been silent for so long that the calls that stand there are over. */
        void lost(ServerConnections connections, ProcessLease process);
    }

    final String id;
    final CutDetector cuts = new CutDetector();
    final ProcessTracker processes;
    long launchedUs;
    /** The list says so: it ends its calls, and gets no more. */
    boolean drains;
    private final NetClient client;
    private final Quota quota;
    private final Clock clock;
    private final Timers timers;
    private final Owner owner;
    private final Consumer<String> log;
    private final EventLog eventLog;
    private long nextNumber = 1;
    private final OwedMessages owed = new OwedMessages();
    private final List<ServerConnection> open = new ArrayList<>();
    private Address address;
    private boolean connecting;
    private boolean listed = true;
    private final ServerReconnects reconnects;
    /** Null: servers may be tested. */
    private final AddressCheck addressCheck;
    private Runnable cancelRetry = () -> {};
    private Runnable cancelDeparture = () -> {};
    private long retryUs = Long.MAX_VALUE;
    private boolean unreachable;
    /** A further connection was refused while others were up: once the last of them is lost, that is to be asked again. */
    private boolean refusedBesideOthers;
    /** A set-up found no connection that took it. */
    private boolean starved;
    /** A connection broke off: what was on its way to here comes again on the next one to be opened, and only there. */
    private boolean renew;

    ServerConnections(String id, Address address, long launchedUs, NetClient client, Quota quota, ServerReconnects reconnects,
                      Clock clock, Timers timers, NetClient checkClient, ProbeBudget probeBudget, Owner owner,
                      Consumer<String> log, EventLog eventLog) {
        this.reconnects = reconnects;
        processes = new ProcessTracker(LeaseTimes.DEFAULT, probeBudget);
        addressCheck = checkClient == null ? null : new AddressCheck(checkClient, quota, this::reached);
        this.id = id;
        this.address = address;
        this.launchedUs = launchedUs;
        this.client = client;
        this.quota = quota;
        this.clock = clock;
        this.timers = timers;
        this.owner = owner;
        this.log = log;
        this.eventLog = eventLog;
    }

    /**
     * The connection for a new set-up of that call: the least loaded, of these the one used last. Null: none is up that takes
     * one now. What a stuck one held could not be taken back from it, if its caller left or its server drained. And what the
     * server says of an earlier attempt on the same one could not be told from what it says of this: it would end it, and a
     * third would go out beside it. So another is opened for it if it may be, and only else the same one serves.
     */
    ServerConnection pick(long id) {
        ServerConnection best = null;
        ServerConnection again = null;
        for (ServerConnection connection : open) {
            if (takes(connection) && !connection.hadAttempt(id)) {
                best = better(best, connection);
            } else if (takes(connection)) {
                again = better(again, connection);
            }
        }
        if (best == null) {
            connect(true);
            best = connecting ? null : again;
        } else if (best.open() > 0 && usable() < MOST) {
            connect();
        }
        starved = best == null;
        return best;
    }

    private static ServerConnection better(ServerConnection best, ServerConnection connection) {
        return best == null || connection.open() < best.open()
            || connection.open() == best.open() && connection.usedUs > best.usedUs ? connection : best;
    }

    private static boolean takes(ServerConnection connection) {
        return !connection.retired && !connection.isStuck();
    }

    /** Whether a set-up could leave now. */
    boolean takesNow() {
        return open.stream().anyMatch(ServerConnections::takes);
    }

    private int usable() {
        int n = 0;
        for (ServerConnection connection : open) {
            n += connection.retired ? 0 : 1;
        }
        return n;
    }

    /** No connection takes a set-up, and none came up when it was last tried. */
    boolean isUnreachable() {
        return unreachable && !takesNow();
    }

    /** The list has it. */
    boolean isListed() {
        return listed;
    }

    /** The list has it and does not call it draining. */
    boolean takesCalls() {
        return listed && !drains;
    }

    /** It may have moved or started anew: connections from before may be dead without a word. */
    void update(Address now, long launched) {
        boolean moved = !now.equals(address);
        boolean anew = moved || launched > launchedUs;
        address = now;
        launchedUs = Math.max(launched, launchedUs);
        if (anew) {
            reconnects.restarted();
            if (moved) {
                processes.moved();
            }
            // The list is late: what has come up since the start it tells of is the new process's already.
            String reason = moved ? "server-moved" : "server-started-anew";
            eventLog.write(Event.SERVER_STATE, () -> "server=" + id + " state=" + reason + " open=" + open.size());
            List.copyOf(open).stream().filter(l -> moved || l.sinceUs <= launched).forEach(old -> retire(old, reason));
            connect();
        }
    }

    /** Nothing new goes out there; it is closed once no call is left on it, or after a while. */
    void retire(ServerConnection connection, String reason) {
        connection.doubted = false;
        if (!connection.retired) {
            connection.retired = true;
            eventLog.write(Event.CONNECTION_RETIRED, () -> describe(connection) + " reason=" + reason);
            timers.after(OLD_US, () -> dropRetired(connection));
            connect();
        }
    }

    /**
     * What is open on a connection that takes nothing new has had its time. Standing calls may still need it: the only way to
     * tell their process from another one at its address is a connection that reaches it.
     */
    private void dropRetired(ServerConnection connection) {
        if (!connection.retired) {
            return;
        }
        if (!isNeededAsEvidence(connection)) {
            drop(connection, "retired-for-long");
        } else if (open.contains(connection)) {
            timers.after(EVIDENCE_LOOK_US, () -> dropRetired(connection));
        }
    }

    /** Whether calls lean on its process, which no other connection has shown to be alive just now. */
    private boolean isNeededAsEvidence(ServerConnection connection) {
        ProcessLease process = connection.process.current();
        long freshUs = clock.nowUs() - EVIDENCE_US;
        return process.hasCalls() && open.stream()
            .noneMatch(other -> other != connection && !other.finishing && other.process.current() == process
                && other.heardUs >= freshUs);
    }

    /** Opens one more connection, if it may be tried now. */
    void connect() {
        connect(false);
    }

    /** {@code needed}: a set-up can't go out on those that are up. */
    private void connect(boolean needed) {
        if (connecting || !listed || usable() >= MOST && !renew) {
            return;
        }
        long waitUs = reconnects.tryOpen(needed, clock.nowUs());
        if (waitUs > 0) {
            retryAfter(waitUs);
            return;
        }
        // One that follows a break is no spare one: releases come again on it alone.
        if (!quota.take(needed || usable() == 0 || renew)) {
            if (usable() == 0) {
                unreached(false);
            }
            retryAfter(QUOTA_RETRY_US);
            return;
        }
        connecting = true;
        boolean renewing = renew;
        renew = false;
        client.connect(address.socket()).onComplete(done -> {
            connecting = false;
            if (done.succeeded()) {
                begin(done.result());
            } else {
                quota.give();
                renew |= renewing;
                failed(done.cause());
            }
        });
    }

    /** A connection that was opened to show that the address can be reached. */
    private void reached(NetSocket socket) {
        begin(socket).isCheck = true;
        processes.reached(clock.nowUs());
    }

    private ServerConnection begin(NetSocket socket) {
        ServerConnection connection = new ServerConnection(socket, nextNumber++, processes.connected(clock.nowUs()),
            clock.nowUs());
        open.add(connection);
        eventLog.write(Event.CONNECTION_OPENED, () -> describe(connection) + " open=" + open.size());
        if (unreachable) {
            unreachable = false;
            eventLog.write(Event.SERVER_STATE, () -> "server=" + id + " state=reachable");
        }
        refusedBesideOthers = false;
        starved = false;
        socket.handler(bytes -> read(connection, bytes));
        socket.exceptionHandler(e -> {
            connection.broken = true;
            socket.close();
        });
        socket.closeHandler(v -> closed(connection));
        owed.flush(connection, call -> owner.holds(this, call), message -> write(connection, message));
        if (!listed) {
            // Before anything that waits for it goes out there.
            drop(connection, "server-gone-from-list");
            return connection;
        }
        owner.up(this);
        refill();
        return connection;
    }

    private void read(ServerConnection connection, Buffer bytes) {
        if (!open.contains(connection)) {
            return;
        }
        long now = clock.nowUs();
        processes.heard(connection.process, now);
        if (connection.doubted) {
            takeBackDoubt(connection);
        }
        try {
            connection.codec.read(bytes, message -> {
                connection.heardUs = now;
                connection.heard = true;
                connection.halfUs = 0;
                owner.message(this, connection, message);
            });
            connection.halfUs = !connection.codec.half() ? 0 : connection.halfUs > 0 ? connection.halfUs : now;
        } catch (RuntimeException e) {
            log.accept("trunk " + id + ": closed, as it sent " + e.getMessage());
            drop(connection, "cannot-be-read");
        }
    }

    /** Of no further use: whatever is open on it is lost, now and not when the other side has closed too. */
    void drop(ServerConnection connection, String reason) {
        connection.broken = true;
        connection.closeReason = reason;
        closed(connection);
        connection.abort();
    }

    /**
     * Closes a connection that nothing is open on. Guards against the loss of a release that the server is just
     * sending there: this side ends, the server's is heard to its own end.
     */
    private void finish(ServerConnection connection) {
        if (!connection.finishing) {
            connection.finishing = true;
            connection.retired = true;
            connection.shutdownOutput();
            timers.after(FAREWELL_US, () -> drop(connection, "other-side-does-not-close"));
        }
    }

    private void closed(ServerConnection connection) {
        if (!open.remove(connection)) {
            return;
        }
        eventLog.write(Event.CONNECTION_CLOSED,
            () -> describe(connection) + " reason=" + connection.closeReason() + " left=" + open.size());
        processes.disconnected(connection.process, clock.nowUs());
        quota.give();
        // Not after a farewell, which leaves nothing on its way.
        renew |= listed && (connection.broken || !connection.finishing);
        if (connection.broken || connection.open() > 0) {
            reconnects.broke(connection.sinceUs, clock.nowUs());
        } else if (!connection.finishing) {
            reconnects.closed(connection.sinceUs, connection.usedUs, clock.nowUs());
        }
        if (open.isEmpty() && refusedBesideOthers) {
            // Whether the process is gone is to be known at once.
            refusedBesideOthers = false;
            reconnects.retryNow();
        }
        owner.lost(this, connection);
        refill();
    }

    /** For the log. */
    private String describe(ServerConnection connection) {
        return "server=" + id + " connection=" + connection.number + " age-ms=" + (clock.nowUs() - connection.sinceUs) / 1000
            + " quiet-ms=" + (clock.nowUs() - connection.heardUs) / 1000 + " set-ups=" + connection.open() + " standing="
            + (connection.legs.size() - connection.open());
    }

    private int kept() {
        return !listed ? 0 : reconnects.spare(quota.spare(SPARE), clock.nowUs());
    }

    private void refill() {
        if (starved || renew || usable() < kept()) {
            connect(starved);
        }
    }

    /** Holds up what {@connection #connect} could not do yet. */
    private void retryAfter(long waitUs) {
        long atUs = clock.nowUs() + waitUs;
        if (atUs < retryUs) {
            cancelRetry.run();
            retryUs = atUs;
            cancelRetry = timers.after(waitUs, () -> {
                retryUs = Long.MAX_VALUE;
                refill();
            });
        }
    }

    private void failed(Throwable cause) {
        reconnects.failed(clock.nowUs());
        boolean refused = cause instanceof ConnectException && String.valueOf(cause.getMessage()).contains("refused");
        eventLog.write(Event.CONNECT_FAILED,
            () -> "server=" + id + " reason=" + (refused ? "refused" : cause.getClass().getSimpleName()) + " open="
                + open.size());
        if (!refused) {
            // Guards against a machine that vanished: its connections stay open and silent for ever.
            long doubtUs = clock.nowUs() - DOUBT_US;
            for (ServerConnection connection : List.copyOf(open)) {
                if (connection.heardUs < doubtUs) {
                    doubt(connection);
                }
            }
        }
        refusedBesideOthers = refused && !open.isEmpty();
        // With a connection left the process runs, and only takes no more of them.
        unreached(refused && open.isEmpty());
        refill();
    }

    /** It has been silent, and no further one comes up: nothing that is open on it waits any longer. */
    private void doubt(ServerConnection connection) {
        if (!isNeededAsEvidence(connection)) {
            drop(connection, "silent-and-connect-failed");
        } else if (!connection.retired) {
            retire(connection, "silent-and-connect-failed");
            connection.doubted = true;
            owner.giveUpSetUps(connection);
        }
    }

    /** It is heard again after a cut: it may serve, as the descriptors may bear no other beside it. */
    private void takeBackDoubt(ServerConnection connection) {
        connection.doubted = false;
        connection.retired = connection.finishing;
        eventLog.write(Event.SERVER_STATE, () -> describe(connection) + " state=heard-again");
        if (!connection.retired) {
            owner.up(this);
        }
    }

    private void unreached(boolean dead) {
        if (!unreachable || dead) {
            eventLog.write(Event.SERVER_STATE, () -> "server=" + id + " state=" + (dead ? "dead" : "unreachable"));
        }
        unreachable = true;
        starved = false;
        if (dead) {
            // What comes up next is another process, which knows of none of these calls.
            owed.clear();
        }
        owner.unreachable(this, dead);
    }

    boolean isOpen(ServerConnection connection) {
        return open.contains(connection);
    }

    /** Sends a set-up on a connection that was picked for it; {@code sent} is run once the network has it. */
    void sendSetUp(ServerConnection connection, TrunkMessage message, Runnable sent) {
        write(connection, message).onSuccess(v -> sent.run());
    }

    /** Sends on that connection and no other; what comes back is complete once the network has it. */
    Future<Void> sendOn(ServerConnection connection, TrunkMessage message) {
        return write(connection, message);
    }

    /** Sends on the connection given, or else on another, or on the next one to come up. */
    void send(ServerConnection on, TrunkMessage message) {
        ServerConnection connection = on != null && open.contains(on) ? on : null;
        if (connection != null && connection.finishing) {
            connection = null;
        }
        for (ServerConnection other : open) {
            connection = connection == null && !other.retired ? other : connection;
        }
        if (connection != null) {
            write(connection, message);
        } else {
            owe(message, null);
        }
    }

    /**
     * Another connection that reaches the same process as that one, null where none is known to. One that is older never reaches
     * a process that has followed.
     */
    private ServerConnection beside(ServerConnection connection) {
        for (ServerConnection other : open) {
            boolean isSame = other.process.current() == connection.process.current();
            boolean isOlder = other.sinceUs <= connection.sinceUs;
            if ((isSame || isOlder) && other != connection && !other.finishing) {
                return other;
            }
        }
        return null;
    }

    /** Sends a second copy of a release that was sent on a silent connection, on another one, which is to carry it from then. */
    void sendBeside(ServerConnection silent, TrunkMessage release) {
        ServerConnection other = beside(silent);
        if (other != null) {
            silent.releases.forget(release.call());
            write(other, release);
        }
    }

    /** Sends what concerns a call that was set up on a connection which is lost since. */
    void sendAfter(ServerConnection lost, TrunkMessage message) {
        ServerConnection other = beside(lost);
        if (other != null) {
            write(other, message);
        } else {
            owe(message, lost.process);
        }
    }

    private void owe(TrunkMessage message, ProcessLease process) {
        if (listed) {
            owed.add(message, process);
        }
    }

    private Future<Void> write(ServerConnection connection, TrunkMessage message) {
        if (connection.socket.writeQueueFull() && ++connection.stuck > BACKLOG / TrunkCodec.MOST) {
            log.accept("trunk " + id + ": closed, as it takes nothing any more");
            drop(connection, "takes-nothing");
            return Future.failedFuture("stuck");
        }
        connection.stuck = connection.socket.writeQueueFull() ? connection.stuck : 0;
        if (message.type() == TrunkMessage.RELEASE) {
            connection.releases.written(message.call(), clock.nowUs(), connection.heardUs);
        }
        return connection.socket.write(TrunkCodec.encode(message)).onSuccess(v -> {
            if (starved && takes(connection)) {
                owner.up(this);
            }
        });
    }

    /** Releases that wait for a connection. */
    int owed() {
        return owed.size();
    }

    long unwritten() {
        return open.stream().mapToLong(ServerConnection::unwritten).sum();
    }

    /** Closes what stopped in the middle of a message, and what is not needed. */
    void sweep(long nowUs) {
        for (ProcessTracker.Due due : processes.due(nowUs)) {
            switch (due.action()) {
                case PROBE -> probe(due.process(), nowUs);
                case EXPIRE -> expire(due.process(), nowUs);
            }
        }
        for (ServerConnection connection : List.copyOf(open)) {
            if (connection.halfUs > 0 && nowUs - connection.halfUs >= HALF_US) {
                log.accept("trunk " + id + ": closed, as it stopped in the middle of a message");
                drop(connection, "half-a-message");
            } else if (connection.orphan && connection.isStuck()) {
                // It got stuck just after.
                dropOrphan(connection);
            } else if (connection.legs.isEmpty() && !isNeededAsEvidence(connection)
                && (connection.retired || connection.isCheck && connection.heard && usable() > 1
                    || usable() > kept() && nowUs - connection.usedUs >= UNUSED_US)) {
                finish(connection);
            }
        }
    }

    /** Each connection in turn: one that lost its way must not hide that the process lives. */
    private void probe(ProcessLease process, long nowUs) {
        if (addressCheck != null) {
            open.stream().filter(c -> c.process.current() == process && !c.finishing).toList().forEach(owner::keepAlive);
            processes.challenged(process, nowUs);
            if (listed) {
                addressCheck.open(address);
            }
            return;
        }
        ServerConnection eldest = null;
        for (ServerConnection connection : open) {
            if (connection.process.current() == process && !connection.finishing
                && (eldest == null || connection.probedUs < eldest.probedUs)) {
                eldest = connection;
            }
        }
        if (eldest != null) {
            eldest.probedUs = nowUs;
            owner.probe(this, eldest);
        } else if (open.isEmpty()) {
            connect();
        }
    }

    private void expire(ProcessLease process, long nowUs) {
        eventLog.write(Event.SERVER_STATE, () -> "server=" + id + " process=" + process.number() + " state=lost quiet-ms="
            + (nowUs - process.heardUs()) / 1000 + " standing=" + process.calls());
        for (ServerConnection connection : List.copyOf(open)) {
            if (connection.process.current() == process) {
                retire(connection, "process-lost");
            }
        }
        owner.lost(this, process);
    }

    /**
     * A set-up of this connection was given up. Guards against its being sent on much later, when the connection takes
     * bytes again: they can't be taken back from it, nor those that left before, but half a set-up is none.
     */
    void orphan(ServerConnection connection) {
        connection.orphan = true;
        if (connection.isStuck()) {
            dropOrphan(connection);
        }
    }

    private void dropOrphan(ServerConnection connection) {
        log.accept("trunk " + id + ": closed, as it did not take a set-up that was given up since");
        drop(connection, "holds-a-set-up-given-up");
    }

    void closeIdle() {
        List.copyOf(open).forEach(this::finish);
    }

    /** It is gone from the list: no new connection; one that stays open in silence is closed. */
    void unlist() {
        listed = false;
        owed.clear();
        cancelDeparture = timers.after(GONE_US, () -> List.copyOf(open).forEach(c -> drop(c, "server-gone-from-list")));
    }

    /** The list has it again. */
    void relist() {
        listed = true;
        cancelDeparture.run();
    }

    /** No connection is left, and none is coming up. */
    boolean isClosed() {
        return open.isEmpty() && !connecting;
    }
}
