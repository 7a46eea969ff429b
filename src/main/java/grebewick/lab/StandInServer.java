package grebewick.lab;

import static grebewick.trunk.TrunkMessage.*;

import grebewick.lab.measure.Traffic;
import grebewick.trunk.TrunkCodec;
import grebewick.trunk.TrunkMessage;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;

/**
 * A server by the platform's protocol: each set-up is answered after a while, stands, and is released. What it
 * has released goes out on the connection of the set-up, else on all, and again on those that are opened next.
 * All on the event loop that it was made on.
 */
public final class StandInServer {
    private static final int MOST_SAID = 10_000;
    /** ms for which a release is repeated on connections that are opened: which gatekeeper opens one is not known. */
    private static final long REPEATED_MS = 10_000;
    private final Vertx vertx;
    private final long answerMs;
    private final long holdMs;
    private final int lines;
    private final LongConsumer ended;
    private final Set<NetSocket> open = new LinkedHashSet<>();
    private final Map<Long, NetSocket> standing = new LinkedHashMap<>();
    private final Set<Long> answered = new HashSet<>();
    private final Deque<Said> said = new ArrayDeque<>();
    private NetServer server;
    private long setUps;
    private volatile Traffic traffic = Traffic.NONE;
    private LongConsumer setUpTaken = id -> {};
    private LongConsumer answerSent = id -> {};

    /**
     * A server that does not listen yet.
     *
     * @param answerMs from a set-up to its answer; 0: at once
     * @param holdMs from the answer to the release, 1 at least
     * @param lines calls at once; more are refused
     * @param ended takes the id of each call that it ends
     */
    public StandInServer(Vertx vertx, long answerMs, long holdMs, int lines, LongConsumer ended) {
        this.vertx = vertx;
        this.answerMs = answerMs;
        this.holdMs = Math.max(1, holdMs);
        this.lines = lines;
        this.ended = ended;
    }

    /** Listens on loopback; gives the port, 0 stands for any. */
    public Future<Integer> listen(int port) {
        return vertx.createNetServer().connectHandler(this::accept).listen(port, "127.0.0.1").map(s -> {
            server = s;
            return s.actualPort();
        });
    }

    /** The process dies: connections are reset, and calls are cut without a word. */
    public Future<Void> die() {
        vanish();
        return server.close();
    }

    /** The machine vanishes: its calls are over, and nothing more is said of them. */
    public void vanish() {
        standing.clear();
        answered.clear();
        said.clear();
    }

    /** All calls are cut at once, and released so. */
    public int cutAll() {
        List<Long> ids = List.copyOf(standing.keySet());
        ids.forEach(id -> end(id, TEMPORARY_FAILURE));
        return ids.size();
    }

    /** Calls that stand. */
    public int standing() {
        return standing.size();
    }

    /** Whether it holds a call, answered or not. */
    public boolean holds(long call) {
        return standing.containsKey(call);
    }

    /** Calls that were answered and stand. */
    public Set<Long> answeredCalls() {
        return Set.copyOf(answered);
    }

    /** Set-ups taken since it was made. */
    public long setUps() {
        return setUps;
    }

    /** Chunks as read and messages as written, and their bytes, since it was made; any thread may ask. */
    public Traffic traffic() {
        return traffic;
    }

    /** Who is told of each call's set-up as it comes, and of its answer as it leaves. */
    public void onCall(LongConsumer setUpTaken, LongConsumer answerSent) {
        this.setUpTaken = setUpTaken;
        this.answerSent = answerSent;
    }

    private void accept(NetSocket socket) {
        TrunkCodec codec = new TrunkCodec();
        open.add(socket);
        socket.handler(bytes -> {
            traffic = traffic.received(bytes.length());
            codec.read(bytes, m -> take(socket, m));
        });
        socket.exceptionHandler(e -> socket.close());
        socket.closeHandler(v -> {
            open.remove(socket);
            // Set-ups on a connection that is closed are given up; what stands belongs to no connection.
            standing.entrySet().removeIf(each -> each.getValue() == socket && !answered.contains(each.getKey()));
        });
        write(socket, new TrunkMessage(GROUP_STATE, 0, "", "", -1, "", report(), -1, new byte[0]));
        long oldestNs = System.nanoTime() - TimeUnit.MILLISECONDS.toNanos(REPEATED_MS);
        said.removeIf(each -> each.atNs < oldestNs);
        said.forEach(each -> write(socket, each.release));
    }

    private String report() {
        return "free:" + Math.max(0, lines - standing.size()) + ";size:" + lines + ";can_take:1000;queue:0";
    }

    private void take(NetSocket from, TrunkMessage m) {
        switch (m.type()) {
            case SET_UP -> {
                setUps++;
                if (standing.size() >= lines) {
                    write(from,
                        new TrunkMessage(RELEASE, m.call(), "", "", -1, "all_trunks_busy", report(), NO_CIRCUIT, new byte[0]));
                    return;
                }
                standing.put(m.call(), from);
                setUpTaken.accept(m.call());
                if (answerMs <= 0) {
                    answer(m.call(), from);
                } else {
                    vertx.setTimer(answerMs, t -> answer(m.call(), from));
                }
            }
            case RELEASE -> {
                standing.remove(m.call());
                answered.remove(m.call());
                write(from, of(RELEASED, m.call(), -1));
            }
            case TEST -> write(from, new TrunkMessage(TESTED, m.call(), "", "", -1, "", report(), 1, new byte[0]));
            default -> {}
        }
    }

    private void answer(long call, NetSocket to) {
        if (standing.get(call) == to) {
            answered.add(call);
            answerSent.accept(call);
            write(to, new TrunkMessage(ANSWER, call, "", "", -1, "", report(), -1,
                "c=IN IP4 127.0.0.1".getBytes(StandardCharsets.US_ASCII)));
            vertx.setTimer(holdMs, h -> end(call, NORMAL_CLEARING));
        }
    }

    private void end(long call, int cause) {
        NetSocket at = standing.remove(call);
        if (at == null) {
            return;
        }
        if (answered.remove(call)) {
            // Before the answer it is a reset, and no end.
            ended.accept(call);
        }
        TrunkMessage m = new TrunkMessage(RELEASE, call, "", "", -1, "", report(), cause, new byte[0]);
        // Where the set-up's connection is closed, any other may be its gatekeeper's.
        for (NetSocket to : open.contains(at) ? List.of(at) : List.copyOf(open)) {
            write(to, m);
        }
        if (said.size() < MOST_SAID) {
            said.add(new Said(m, System.nanoTime()));
        }
    }

    /** A release, and when it was first written. */
    private record Said(TrunkMessage release, long atNs) {}

    private void write(NetSocket to, TrunkMessage m) {
        Buffer bytes = TrunkCodec.encode(m);
        traffic = traffic.sent(bytes.length());
        to.write(bytes);
    }
}
