package grebewick.lab;

import static grebewick.trunk.TrunkMessage.*;

import grebewick.trunk.TrunkCodec;
import grebewick.trunk.TrunkMessage;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongConsumer;

/**
 * A recipe server by the platform's protocol: each set-up is answered after a while, stands, and is released. What it
 * has released goes out on the connection of the set-up, else on any, and again on the next connection to be opened.
 * All on the event loop that it was made on.
 */
public final class StandInServer {
    private static final int MOST_SAID = 10_000;
    private final Vertx vertx;
    private final long answerMs;
    private final long holdMs;
    private final int lines;
    private final LongConsumer ended;
    private final Set<NetSocket> open = new LinkedHashSet<>();
    private final Map<Long, NetSocket> standing = new LinkedHashMap<>();
    private final Set<Long> answered = new HashSet<>();
    private final List<TrunkMessage> said = new ArrayList<>();
    private NetServer server;
    private long setUps;

    /** {@code lines}: calls at once, more are refused; {@code ended} takes the id of each call that it ends. */
    public StandInServer(Vertx vertx, long answerMs, long holdMs, int lines, LongConsumer ended) {
        this.vertx = vertx;
        this.answerMs = Math.max(1, answerMs);
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
        standing.clear();
        answered.clear();
        said.clear();
        return server.close();
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

    /** Set-ups taken since it was made. */
    public long setUps() {
        return setUps;
    }

    private void accept(NetSocket socket) {
        TrunkCodec codec = new TrunkCodec();
        open.add(socket);
        socket.handler(bytes -> codec.read(bytes, m -> take(socket, m)));
        socket.exceptionHandler(e -> socket.close());
        socket.closeHandler(v -> open.remove(socket));
        write(socket, new TrunkMessage(GROUP_STATE, 0, "", "", -1, "", report(), -1, new byte[0]));
        said.forEach(m -> write(socket, m));
        said.clear();
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
                vertx.setTimer(answerMs, t -> {
                    if (standing.get(m.call()) == from) {
                        answered.add(m.call());
                        write(from, new TrunkMessage(ANSWER, m.call(), "", "", -1, "", report(), -1,
                            "c=IN IP4 127.0.0.1".getBytes(StandardCharsets.US_ASCII)));
                        vertx.setTimer(holdMs, h -> end(m.call(), NORMAL_CLEARING));
                    }
                });
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
        NetSocket to = open.contains(at) ? at : open.isEmpty() ? null : open.iterator().next();
        if (to != null) {
            write(to, m);
        }
        if (said.size() < MOST_SAID) {
            said.add(m);
        }
    }

    private void write(NetSocket to, TrunkMessage m) {
        to.write(TrunkCodec.encode(m));
    }
}
