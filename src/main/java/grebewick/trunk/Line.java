package grebewick.trunk;

import grebewick.config.Address;
import grebewick.core.Clock;
import grebewick.core.Timers;
import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetSocket;
import java.net.ConnectException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * A few connections to one recipe server, opened as soon as it is listed and again when one is lost. Set-ups are
 * spread over them: an answer that cannot be read, and a reset, take along whatever else is open on their connection.
 */
final class Line {
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
    private static final int MOST_OWED = 10_000;

    /** What a line tells its owner. */
    interface Owner {
        void message(Line line, Link on, TrunkMessage message);

        /** Whatever was open on that connection is given up. */
        void lost(Line line, Link link);

        /** No connection came up; {@code dead}: nothing listens, and no connection is left: the process is gone. */
        void unreachable(Line line, boolean dead);

        void up(Line line);
    }

    final String id;
    final CutDetector cuts = new CutDetector();
    long launchedUs;
    /** The list says so: it ends its calls, and gets no more. */
    boolean drains;
    private final NetClient client;
    private final Quota quota;
    private final Clock clock;
    private final Timers timers;
    private final Owner owner;
    private final Consumer<String> log;
    private final ArrayDeque<TrunkMessage> owed = new ArrayDeque<>();
    private final List<Link> links = new ArrayList<>();
    private Address address;
    private boolean connecting;
    private boolean listed = true;
    private final ServerReconnects reconnects;
    private Runnable cancelRetry = () -> {};
    private long retryUs = Long.MAX_VALUE;
    private boolean unreachable;
    /** A further connection was refused while others were up: once the last of them is lost, that is to be asked again. */
    private boolean refusedBesideOthers;
    /** A set-up found no connection that took it. */
    private boolean starved;
    /** A connection broke off: what was on its way to here comes again on the next one to be opened, and only there. */
    private boolean renew;

    Line(String id, Address address, long launchedUs, NetClient client, Quota quota, ServerReconnects reconnects,
         Clock clock, Timers timers, Owner owner, Consumer<String> log) {
        this.reconnects = reconnects;
        this.id = id;
        this.address = address;
        this.launchedUs = launchedUs;
        this.client = client;
        this.quota = quota;
        this.clock = clock;
        this.timers = timers;
        this.owner = owner;
        this.log = log;
    }

    /**
     * The connection for a new set-up of that call: the least loaded, of these the one used last. Null: none is up that takes
     * one now. What a stuck one held could not be taken back from it, if its caller left or its server drained. And what the
     * server says of an earlier attempt on the same one could not be told from what it says of this: it would end it, and a
     * third would go out beside it. So another is opened for it if it may be, and only else the same one serves.
     */
    Link pick(long id) {
        Link best = null;
        Link again = null;
        for (Link link : links) {
            if (takes(link) && !link.hadAttempt(id)) {
                best = better(best, link);
            } else if (takes(link)) {
                again = better(again, link);
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

    private static Link better(Link best, Link link) {
        return best == null || link.open() < best.open() || link.open() == best.open() && link.usedUs > best.usedUs ? link : best;
    }

    private static boolean takes(Link link) {
        return !link.retired && !link.isStuck();
    }

    /** Whether a set-up could leave now. */
    boolean takesNow() {
        return links.stream().anyMatch(Line::takes);
    }

    private int usable() {
        int n = 0;
        for (Link link : links) {
            n += link.retired ? 0 : 1;
        }
        return n;
    }

    /** No connection takes a set-up, and none came up when it was last tried. */
    boolean isUnreachable() {
        return unreachable && !takesNow();
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
            // The list is late: what has come up since the start it tells of is the new process's already.
            List.copyOf(links).stream().filter(l -> moved || l.sinceUs <= launched).forEach(this::retire);
            connect();
        }
    }

    /** Nothing new goes out there; it is closed once no call is left on it, or after a while. */
    void retire(Link link) {
        if (!link.retired) {
            link.retired = true;
            timers.after(OLD_US, () -> drop(link));
            connect();
        }
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

    private void begin(NetSocket socket) {
        Link link = new Link(socket, clock.nowUs());
        links.add(link);
        unreachable = false;
        refusedBesideOthers = false;
        starved = false;
        socket.handler(bytes -> read(link, bytes));
        socket.exceptionHandler(e -> {
            link.broken = true;
            socket.close();
        });
        socket.closeHandler(v -> closed(link));
        for (TrunkMessage m = owed.poll(); m != null; m = owed.poll()) {
            write(link, m);
        }
        if (!listed) {
            // Before anything that waits for it goes out there.
            drop(link);
            return;
        }
        owner.up(this);
        refill();
    }

    private void read(Link link, Buffer bytes) {
        if (!links.contains(link)) {
            return;
        }
        long now = clock.nowUs();
        try {
            link.codec.read(bytes, message -> {
                link.heardUs = now;
                link.heard = true;
                link.halfUs = 0;
                owner.message(this, link, message);
            });
            link.halfUs = !link.codec.half() ? 0 : link.halfUs > 0 ? link.halfUs : now;
        } catch (RuntimeException e) {
            log.accept("trunk " + id + ": closed, as it sent " + e.getMessage());
            drop(link);
        }
    }

    /** Of no further use: whatever is open on it is lost, now and not when the other side has closed too. */
    void drop(Link link) {
        link.broken = true;
        closed(link);
        link.abort();
    }

    /**
     * Closes a connection that nothing is open on. Guards against the loss of a release that the server is just
     * sending there: this side ends, the server's is heard to its own end.
     */
    private void finish(Link link) {
        if (!link.finishing) {
            link.finishing = true;
            link.retired = true;
            link.shutdownOutput();
            timers.after(FAREWELL_US, () -> drop(link));
        }
    }

    private void closed(Link link) {
        if (!links.remove(link)) {
            return;
        }
        quota.give();
        // Not after a farewell, which leaves nothing on its way.
        renew |= listed && (link.broken || !link.finishing);
        if (link.broken || link.open() > 0) {
            reconnects.broke(link.sinceUs, clock.nowUs());
        } else if (!link.finishing) {
            reconnects.closed(link.sinceUs, link.usedUs, clock.nowUs());
        }
        if (links.isEmpty() && refusedBesideOthers) {
            // Whether the process is gone is to be known at once.
            refusedBesideOthers = false;
            reconnects.retryNow();
        }
        owner.lost(this, link);
        refill();
    }

    private int kept() {
        return reconnects.spare(quota.spare(SPARE), clock.nowUs());
    }

    private void refill() {
        if (starved || renew || usable() < kept()) {
            connect(starved);
        }
    }

    /** Holds up what {@link #connect} could not do yet. */
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
        if (!refused) {
            // Guards against a machine that vanished: its connections stay open and silent for ever.
            long doubtUs = clock.nowUs() - DOUBT_US;
            for (Link link : List.copyOf(links)) {
                if (link.heardUs < doubtUs) {
                    drop(link);
                }
            }
        }
        refusedBesideOthers = refused && !links.isEmpty();
        // With a connection left the process runs, and only takes no more of them.
        unreached(refused && links.isEmpty());
        refill();
    }

    private void unreached(boolean dead) {
        unreachable = true;
        starved = false;
        owner.unreachable(this, dead);
    }

    boolean isOpen(Link link) {
        return links.contains(link);
    }

    /** Sends a set-up on a connection that was picked for it; {@code sent} is run once the network has it. */
    void sendSetUp(Link link, TrunkMessage message, Runnable sent) {
        write(link, message).onSuccess(v -> sent.run());
    }

    /** Sends on the connection given, or else on another, or on the next one to come up. */
    void send(Link on, TrunkMessage message) {
        Link link = on != null && links.contains(on) ? on : null;
        if (link != null && link.finishing) {
            link = null;
        }
        for (Link other : links) {
            link = link == null && !other.retired ? other : link;
        }
        if (link != null) {
            write(link, message);
        } else if (listed && owed.size() < MOST_OWED) {
            owed.add(message);
        }
    }

    private Future<Void> write(Link link, TrunkMessage message) {
        if (link.socket.writeQueueFull() && ++link.stuck > BACKLOG / TrunkCodec.MOST) {
            log.accept("trunk " + id + ": closed, as it takes nothing any more");
            drop(link);
            return Future.failedFuture("stuck");
        }
        link.stuck = link.socket.writeQueueFull() ? link.stuck : 0;
        return link.socket.write(TrunkCodec.encode(message)).onSuccess(v -> {
            if (starved && takes(link)) {
                owner.up(this);
            }
        });
    }

    /** Releases that wait for a connection. */
    int owed() {
        return owed.size();
    }

    long unwritten() {
        return links.stream().mapToLong(Link::unwritten).sum();
    }

    /** Closes what stopped in the middle of a message, and what is not needed. */
    void sweep(long nowUs) {
        for (Link link : List.copyOf(links)) {
            if (link.halfUs > 0 && nowUs - link.halfUs >= HALF_US) {
                log.accept("trunk " + id + ": closed, as it stopped in the middle of a message");
                drop(link);
            } else if (link.orphan && link.isStuck()) {
                // It got stuck just after.
                dropOrphan(link);
            } else if (link.legs.isEmpty()
                && (link.retired || usable() > kept() && nowUs - link.usedUs >= UNUSED_US)) {
                finish(link);
            }
        }
    }

    /**
     * A set-up of this connection was given up. Guards against its being sent on much later, when the connection takes
     * bytes again: they can't be taken back from it, nor those that left before, but half a set-up is none.
     */
    void orphan(Link link) {
        link.orphan = true;
        if (link.isStuck()) {
            dropOrphan(link);
        }
    }

    private void dropOrphan(Link link) {
        log.accept("trunk " + id + ": closed, as it did not take a set-up that was given up since");
        drop(link);
    }

    void closeIdle() {
        List.copyOf(links).forEach(this::finish);
    }

    /** It is gone from the list: no new connection; one that stays open in silence is closed. */
    void gone() {
        listed = false;
        owed.clear();
        timers.after(GONE_US, () -> List.copyOf(links).forEach(this::drop));
    }
}
