package grebewick.discovery.dns;

import grebewick.config.Address;
import grebewick.config.Endpoint;
import grebewick.core.Clock;
import grebewick.core.LimitedLog;
import grebewick.core.Timers;
import grebewick.discovery.dns.ServerListMessage.Question;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.datagram.DatagramSocket;
import io.vertx.core.datagram.DatagramSocketOptions;
import java.io.IOException;
import java.nio.channels.ClosedChannelException;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.xbill.DNS.Message;
import org.xbill.DNS.Rcode;
import org.xbill.DNS.Record;
import org.xbill.DNS.Type;

/**
 * Polls the name service for the list of servers and tells each newer one. Answers may get lost, fail, come cut
 * short or be another's: only a whole answer to a question that is open counts, and none undoes a later list. Of an
 * answer that was cut, the drains alone are heeded. A whole answer to the question after the list, of no earlier list than the
 * one held, confirms it as of the moment of the question; nothing else does.
 */
public final class ServerListPoller {
    /** us. Between questions: lost datagrams must not use up the time in which a drain is to be heeded. */
    private static final long EVERY_US = 100_000;
    /** Bytes of a datagram at the most. Guards long lists: Netty reads 2,048 unless told, and drops the rest. */
    static final int MOST_BYTES = 65_535;
    /** Questions that may be open; the eldest is forgotten, after some seconds at {@link #BATCH} a poll. */
    private static final int MOST_OPEN = 4_096;
    /** Questions after single servers at a time. Guards the answer to the list from drowning in theirs. */
    private static final int BATCH = 64;
    /** Complaints that are logged before only some are. */
    private static final int MOST_COMPLAINTS = 10;
    private static final Question LIST = new Question("_work._tcp.fleet.local.", Type.SRV);
    private static final Record LIST_RECORD = LIST.toRecord();

    /** Who is told what the name service says of the list. */
    public interface Listener {
        /** A newer list, as far as it is known. */
        void listed(List<Endpoint> servers);

        /** The list that is held was the latest when a question was sent, at {@code askedUs}. */
        default void confirmed(long askedUs) {}
    }

    private record OpenQuestion(Record asked, long askedUs) {}

    private final Vertx vertx;
    private final Clock clock;
    private final Timers timers;
    private final PolledServerList servers;
    private final Listener listener;
    private final Consumer<String> log;
    private final LimitedLog complaints;
    private final Map<Integer, OpenQuestion> open = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Integer, OpenQuestion> eldest) {
            return size() > MOST_OPEN;
        }
    };
    private Address server;
    /** Open, or about to be replaced. */
    DatagramSocket socket;
    private boolean closed;
    /** The last answer with the whole of the list. */
    private byte[] last = {};

    /** Tells lists later than event {@code index}, at which {@code known} held. */
    public ServerListPoller(Vertx vertx, Clock clock, Timers timers, Address server, long index, List<Endpoint> known,
                            Listener listener, Consumer<String> log) {
        this.vertx = vertx;
        this.clock = clock;
        this.timers = timers;
        this.server = server;
        this.listener = listener;
        this.log = log;
        complaints = new LimitedLog(log, "names: ", MOST_COMPLAINTS);
        servers = new PolledServerList(index, known, listener::listed,
            reason -> complaints.complain("a record that cannot be read: " + reason));
    }

    /** Starts asking. */
    public void start() {
        open();
        poll();
    }

    private void open() {
        socket = vertx.createDatagramSocket(new DatagramSocketOptions().setReceiveBufferSize(MOST_BYTES));
        socket.handler(packet -> {
            if (!server.host().equals(packet.sender().hostAddress()) || server.port() != packet.sender().port()) {
                return;
            }
            byte[] bytes = packet.data().getBytes();
            if (isRepeat(bytes)) {
                OpenQuestion question = open.remove((bytes[0] & 0xff) << 8 | bytes[1] & 0xff);
                if (question != null && LIST_RECORD.equals(question.asked)) {
                    listener.confirmed(question.askedUs);
                }
                return;
            }
            try {
                read(bytes);
            } catch (IOException | RuntimeException e) {
                complaints.complain("an answer that cannot be read: " + e.getMessage());
            }
        });
        socket.exceptionHandler(e -> log.accept("names: " + e.getMessage()));
    }

    /** Asks no more. */
    public Future<Void> close() {
        closed = true;
        return socket == null ? Future.succeededFuture() : socket.close();
    }

    /** From now on asks at another address; the numbers carry on, and the old address is no longer heard. */
    public void move(Address to) {
        if (!to.equals(server)) {
            server = to;
            open.clear();
            ask();
        }
    }

    private void poll() {
        timers.after(EVERY_US, this::poll);
        // What came in since, though other servers' records are still out.
        servers.tell();
        ask();
    }

    private void ask() {
        query(LIST);
        askServers();
    }

    private void askServers() {
        servers.questions(BATCH).forEach(this::query);
    }

    private void query(Question question) {
        Record asked = question.toRecord();
        // The id is dnsjava's, drawn at random.
        Message message = Message.newQuery(asked);
        open.put(message.getHeader().getID(), new OpenQuestion(asked, clock.nowUs()));
        DatagramSocket on = socket;
        on.send(Buffer.buffer(message.toWire()), server.port(), server.host()).onFailure(e -> unsent(on, e));
    }

    /** Guards against a list that goes silent for good, as its socket is closed: the next question goes out on another. */
    private void unsent(DatagramSocket on, Throwable e) {
        if (e instanceof ClosedChannelException && on == socket && !closed) {
            complaints.complain("the socket is closed; another is opened");
            open();
        }
    }

    /** The list that was read last, but for its id: ten times a second nothing has changed, and reading is dear. */
    private boolean isRepeat(byte[] bytes) {
        return last.length > 2 && !servers.hasDrains()
            && Arrays.equals(bytes, Math.min(2, bytes.length), bytes.length, last, 2, last.length);
    }

    private void read(byte[] bytes) throws IOException {
        ServerListMessage answer = ServerListMessage.of(new Message(bytes));
        OpenQuestion question = open.get(answer.id());
        if (question == null || !answer.answers(question.asked)) {
            complaints.complain("an answer to no open question");
            return;
        }
        if (answer.code() != Rcode.NOERROR) {
            complaints.complain("an answer that is " + Rcode.string(answer.code()));
            return;
        }
        if (answer.isCut()) {
            complaints.complain("an answer that is cut short");
            if (answer.isOnList()) {
                servers.heedDrains(answer);
            }
            return;
        }
        open.remove(answer.id());
        if (servers.isStale(answer)) {
            return;
        }
        if (servers.take(answer)) {
            askServers();
        }
        if (answer.isOnList()) {
            last = bytes;
            listener.confirmed(question.askedUs);
        }
    }
}
