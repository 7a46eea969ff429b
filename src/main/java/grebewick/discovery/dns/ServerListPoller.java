package grebewick.discovery.dns;

import grebewick.config.Address;
import grebewick.config.Endpoint;
import grebewick.core.CallControl.ServerEntry;
import grebewick.core.CallControl.Stage;
import grebewick.core.Timers;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.datagram.DatagramSocket;
import io.vertx.core.datagram.DatagramSocketOptions;
import java.io.IOException;
import java.nio.channels.ClosedChannelException;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.xbill.DNS.ARecord;
import org.xbill.DNS.DClass;
import org.xbill.DNS.Flags;
import org.xbill.DNS.Message;
import org.xbill.DNS.Name;
import org.xbill.DNS.Rcode;
import org.xbill.DNS.Record;
import org.xbill.DNS.SOARecord;
import org.xbill.DNS.SRVRecord;
import org.xbill.DNS.Section;
import org.xbill.DNS.TXTRecord;
import org.xbill.DNS.Type;

/**
 * Polls the name service for the list of servers and tells each newer one. Answers may get lost, fail, come cut
 * short or be another's: only a whole answer to a question that is open counts, and none undoes a later list. Of an
 * answer that was cut, the drains alone are heeded.
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
    private static final String FLEET = "_work._tcp.fleet.local.";

    private final Vertx vertx;
    private final Timers timers;
    private final Consumer<List<Endpoint>> news;
    private final Consumer<String> log;
    private final Name fleet;
    private final Map<Integer, Record> open = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Integer, Record> eldest) {
            return size() > MOST_OPEN;
        }
    };
    private Address server;
    /** Open, or about to be replaced. */
    DatagramSocket socket;
    private boolean closed;
    private long serial;
    /** The targets of list {@code serial}, by name; null: none later than the configuration's was heard. */
    private Map<String, Target> list;
    /** Those of them with records to ask for, in the order of asking. */
    private final ArrayDeque<Target> unsure = new ArrayDeque<>();
    /** Servers that a cut answer calls draining; held until the next whole list. */
    private final Set<String> drains = new HashSet<>();
    /** By server: what was told last. It serves until the name service has repeated it for a newer list. */
    private Map<String, Endpoint> told = new LinkedHashMap<>();
    /** The last answer with the whole of list {@code serial}. */
    private byte[] last = {};
    private int bad;

    /** Tells lists later than event {@code index}, at which {@code known} held. */
    public ServerListPoller(Vertx vertx, Timers timers, Address server, long index, List<Endpoint> known,
                            Consumer<List<Endpoint>> news, Consumer<String> log) {
        this.vertx = vertx;
        this.timers = timers;
        this.server = server;
        this.serial = index;
        this.news = news;
        this.log = log;
        this.fleet = name(FLEET);
        known.forEach(e -> told.put(e.entry().server(), e));
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
                open.remove((bytes[0] & 0xff) << 8 | bytes[1] & 0xff);
                return;
            }
            try {
                read(new Message(bytes), bytes);
            } catch (IOException | RuntimeException e) {
                complain("an answer that cannot be read: " + e.getMessage());
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

    /** Guards the log against a name service that does nothing but fail: the first lines, then every hundredth. */
    private void complain(String text) {
        if (++bad <= 10 || bad % 100 == 0) {
            log.accept("names: " + text + " (" + bad + " so far)");
        }
    }

    private void poll() {
        timers.after(EVERY_US, this::poll);
        if (list != null) {
            // What came in since, though other servers' records are still out.
            tell();
        }
        ask();
    }

    private void ask() {
        query(fleet, Type.SRV);
        askUnsure();
    }

    private void askUnsure() {
        for (int i = Math.min(BATCH, unsure.size()); i > 0; i--) {
            Target target = unsure.poll();
            if (target.asksAddress) {
                query(name(target.name), Type.A);
            }
            if (target.asksText) {
                query(name(target.name), Type.TXT);
            }
            if (target.isUnsure()) {
                unsure.add(target);
            }
        }
    }

    private void query(Name name, int type) {
        Record asked = Record.newRecord(name, type, DClass.IN);
        // The id is dnsjava's, drawn at random.
        Message question = Message.newQuery(asked);
        open.put(question.getHeader().getID(), asked);
        DatagramSocket on = socket;
        on.send(Buffer.buffer(question.toWire()), server.port(), server.host()).onFailure(e -> unsent(on, e));
    }

    /** Guards against a list that goes silent for good, as its socket is closed: the next question goes out on another. */
    private void unsent(DatagramSocket on, Throwable e) {
        if (e instanceof ClosedChannelException && on == socket && !closed) {
            complain("the socket is closed; another is opened");
            open();
        }
    }

    /** The list that was read last, but for its id: ten times a second nothing has changed, and reading is dear. */
    private boolean isRepeat(byte[] bytes) {
        return last.length > 2 && drains.isEmpty()
            && Arrays.equals(bytes, Math.min(2, bytes.length), bytes.length, last, 2, last.length);
    }

    private void read(Message answer, byte[] bytes) {
        Record asked = open.get(answer.getHeader().getID());
        if (asked == null || !answer.getHeader().getFlag(Flags.QR) || !asked.equals(answer.getQuestion())) {
            complain("an answer to no open question");
            return;
        }
        if (answer.getRcode() != Rcode.NOERROR) {
            complain("an answer that is " + Rcode.string(answer.getRcode()));
            return;
        }
        boolean forList = asked.getType() == Type.SRV;
        long found = -1;
        for (Record r : answer.getSection(Section.AUTHORITY)) {
            found = r instanceof SOARecord soa ? soa.getSerial() : found;
        }
        if (answer.getHeader().getFlag(Flags.TC)) {
            complain("an answer that is cut short");
            if (forList && (found < 0 || found >= serial)) {
                heedDrains(answer);
            }
            return;
        }
        open.remove(answer.getHeader().getID());
        if (found < serial && (forList || found >= 0)) {
            return;
        }
        last = forList ? bytes : last;
        boolean newer = forList && (found > serial || !drains.isEmpty());
        if (newer) {
            serial = found;
            drains.clear();
            begin(answer);
        }
        if (list == null) {
            return;
        }
        boolean heard = hear(answer, Section.ANSWER) | hear(answer, Section.ADDITIONAL);
        if (newer || heard && unsure.stream().noneMatch(Target::isUnsure)) {
            tell();
        }
        if (newer) {
            askUnsure();
        }
    }

    /** A list later than the one before: what was told of its servers serves until it is repeated, new ones first. */
    private void begin(Message answer) {
        Map<String, Target> before = list == null ? Map.of() : list;
        list = new LinkedHashMap<>();
        for (Record r : answer.getSection(Section.ANSWER)) {
            if (r instanceof SRVRecord srv) {
                String name = srv.getTarget().toString();
                list.put(name, new Target(srv, before.get(name), told.get(name.split("\\.")[0])));
            }
        }
        unsure.clear();
        list.values().stream().sorted(Comparator.comparing(t -> t.before != null)).forEach(unsure::add);
    }

    /** What is said of a target counts only for the list that is being put together. */
    private boolean hear(Message answer, int section) {
        boolean heard = false;
        for (Record r : answer.getSection(section)) {
            Target target = list.get(r.getName().toString());
            heard |= target != null && target.hear(r);
        }
        return heard;
    }

    /** Guards against a drain that stands in lists too long for their answers: none undoes a drain but a whole list. */
    private void heedDrains(Message cut) {
        int before = drains.size();
        for (Record r : cut.getSection(Section.ANSWER)) {
            if (r instanceof SRVRecord srv && srv.getPriority() != 0) {
                drains.add(srv.getTarget().toString().split("\\.")[0]);
            }
        }
        // Of servers never told, none is sent anything.
        drains.retainAll(told.keySet());
        if (drains.size() > before) {
            told.replaceAll((id, e) -> draining(e));
            news.accept(List.copyOf(told.values()));
        }
    }

    private Endpoint draining(Endpoint e) {
        ServerEntry s = e.entry();
        return !drains.contains(s.server()) ? e : new Endpoint(new ServerEntry(s.server(), s.placeNo(), Stage.DRAINING,
            s.startedAtUs(), s.model(), s.zone(), s.weight()), e.address());
    }

    /**
     * Tells the list as far as it is known. Guards against drains and ends that are heeded late because what
     * else is asked of the servers got lost: only a server never told before waits for its address and text.
     */
    private void tell() {
        Map<String, Endpoint> now = new LinkedHashMap<>();
        for (Target target : list.values()) {
            Endpoint e = target.endpoint();
            if (e != null) {
                now.put(e.entry().server(), draining(e));
            }
        }
        if (!now.equals(told)) {
            told = now;
            news.accept(List.copyOf(now.values()));
        }
    }

    /** One server of the list that is being put together. */
    private static final class Target {
        final String name;
        final SRVRecord srv;
        /** What was told of it before; null: nothing. */
        final Endpoint before;
        ARecord address;
        int place;
        long startedAtUs;
        String model;
        boolean asksAddress;
        /** Heard with this list or since. */
        boolean sureOfAddress;
        boolean asksText = true;

        Target(SRVRecord srv, Target earlier, Endpoint before) {
            name = srv.getTarget().toString();
            this.srv = srv;
            this.before = before;
            address = earlier == null ? null : earlier.address;
            asksAddress = address == null && before == null;
        }

        boolean isUnsure() {
            return asksAddress || asksText;
        }

        /** Takes a record of it; false: it was none that is asked for. */
        boolean hear(Record r) {
            if (r instanceof ARecord a) {
                boolean heard = asksAddress || !a.equals(address);
                address = a;
                asksAddress = false;
                sureOfAddress = true;
                return heard;
            }
            if (r instanceof TXTRecord text && asksText) {
                // Read before anything is changed: what makes no sense changes nothing.
                long launched = Long.parseLong(fact(text, "started", "0")) * 1000;
                place = Integer.parseInt(fact(text, "cell", "-1"));
                startedAtUs = launched;
                model = fact(text, "kind", "");
                asksText = false;
                // Its address may be another's by now, if this is a new start.
                asksAddress |= !sureOfAddress && before != null && startedAtUs > before.entry().startedAtUs();
                return true;
            }
            return false;
        }

        private static String fact(TXTRecord text, String key, String other) {
            for (String each : text.getStrings()) {
                if (each.startsWith(key + "=")) {
                    return each.substring(key.length() + 1);
                }
            }
            return other;
        }

        /** Null while it was never told and its records are not all there. */
        Endpoint endpoint() {
            if (before == null && isUnsure()) {
                return null;
            }
            String[] labels = name.split("\\.");
            Stage stage = srv.getPriority() == 0 ? Stage.HEALTHY : Stage.DRAINING;
            String zone = labels.length > 1 ? labels[1] : "";
            double weight = srv.getWeight() / 10.0;
            Address at = new Address(address != null ? address.getAddress().getHostAddress() : before.address().host(),
                srv.getPort());
            boolean sure = !isUnsure();
            return new Endpoint(new ServerEntry(labels[0], sure ? place : before.entry().placeNo(), stage,
                sure ? startedAtUs : before.entry().startedAtUs(), sure ? model : before.entry().model(), zone, weight), at);
        }
    }

    private static Name name(String text) {
        try {
            return Name.fromString(text);
        } catch (IOException e) {
            throw new IllegalArgumentException("not a name: " + text, e);
        }
    }
}
