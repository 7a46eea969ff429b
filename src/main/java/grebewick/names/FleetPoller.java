package grebewick.names;

import grebewick.config.Address;
import grebewick.config.Endpoint;
import grebewick.core.CallControl.ServerEntry;
import grebewick.core.CallControl.Stage;
import grebewick.core.Timers;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.datagram.DatagramSocket;
import java.io.IOException;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
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
 * short or be another's: only a whole answer to a question that is open counts, and none undoes a later list.
 */
public final class FleetPoller {
    /** us. Between questions: lost datagrams must not use up the time in which a drain is to be heeded. */
    private static final long EVERY_US = 100_000;
    /** Questions that may be open; the eldest is forgotten. */
    private static final int MOST_OPEN = 512;
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
    private DatagramSocket socket;
    private long serial;
    /** The targets of list {@code serial}, and what is known of each. */
    private Map<String, SRVRecord> list = Map.of();
    private final Map<String, ARecord> addresses = new HashMap<>();
    private final Map<String, TXTRecord> texts = new HashMap<>();
    /** By server: what was told last. It serves until the name service has repeated it for a newer list. */
    private Map<String, Endpoint> told = new LinkedHashMap<>();
    private int bad;

    /** Tells lists later than event {@code index}, at which {@code known} held. */
    public FleetPoller(Vertx vertx, Timers timers, Address server, long index, List<Endpoint> known,
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
        socket = vertx.createDatagramSocket();
        socket.handler(packet -> {
            if (!server.host().equals(packet.sender().hostAddress()) || server.port() != packet.sender().port()) {
                return;
            }
            try {
                read(new Message(packet.data().getBytes()));
            } catch (IOException | RuntimeException e) {
                complain("an answer that cannot be read: " + e.getMessage());
            }
        });
        socket.exceptionHandler(e -> log.accept("names: " + e.getMessage()));
        poll();
    }

    /** Asks no more. */
    public Future<Void> close() {
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
        ask();
    }

    private void ask() {
        query(fleet, Type.SRV);
        askMissing();
    }

    private void askMissing() {
        list.keySet().forEach(target -> {
            if (!addresses.containsKey(target)) {
                query(name(target), Type.A);
            }
            if (!texts.containsKey(target)) {
                query(name(target), Type.TXT);
            }
        });
    }

    private void query(Name name, int type) {
        Record asked = Record.newRecord(name, type, DClass.IN);
        // The id is dnsjava's, drawn at random.
        Message question = Message.newQuery(asked);
        open.put(question.getHeader().getID(), asked);
        socket.send(Buffer.buffer(question.toWire()), server.port(), server.host());
    }

    private void read(Message answer) {
        Record asked = open.get(answer.getHeader().getID());
        if (asked == null || !answer.getHeader().getFlag(Flags.QR) || !asked.equals(answer.getQuestion())) {
            complain("an answer to no open question");
            return;
        }
        if (answer.getRcode() != Rcode.NOERROR || answer.getHeader().getFlag(Flags.TC)) {
            complain("an answer that is " + (answer.getHeader().getFlag(Flags.TC) ? "cut short" : Rcode.string(answer.getRcode())));
            return;
        }
        open.remove(answer.getHeader().getID());
        long found = -1;
        for (Record r : answer.getSection(Section.AUTHORITY)) {
            found = r instanceof SOARecord soa ? soa.getSerial() : found;
        }
        boolean whole = asked.getType() == Type.SRV;
        if (found < serial && (whole || found >= 0)) {
            return;
        }
        boolean newer = whole && found > serial;
        if (newer) {
            serial = found;
            addresses.clear();
            texts.clear();
            list = new LinkedHashMap<>();
            for (Record r : answer.getSection(Section.ANSWER)) {
                if (r instanceof SRVRecord srv) {
                    list.put(srv.getTarget().toString(), srv);
                }
            }
        }
        // What is said of a target counts only for the list that is being put together.
        for (int section : new int[] {Section.ANSWER, Section.ADDITIONAL}) {
            for (Record r : answer.getSection(section)) {
                String target = r.getName().toString();
                if (r instanceof ARecord a && list.containsKey(target)) {
                    addresses.put(target, a);
                } else if (r instanceof TXTRecord txt && list.containsKey(target)) {
                    texts.put(target, txt);
                }
            }
        }
        tell();
        if (newer) {
            askMissing();
        }
    }

    /**
     * Tells the list as far as it is known. Guards against drains and ends that are heeded late because what
     * else is asked of the servers got lost: only a server never told before waits for its address and text.
     */
    private void tell() {
        Map<String, Endpoint> now = new LinkedHashMap<>();
        list.forEach((target, srv) -> {
            Endpoint before = told.get(target.split("\\.")[0]);
            if (before != null || addresses.containsKey(target) && texts.containsKey(target)) {
                Endpoint e = endpoint(target, srv, before);
                now.put(e.entry().server(), e);
            }
        });
        if (!list.isEmpty() && !now.equals(told)) {
            told = now;
            news.accept(List.copyOf(now.values()));
        }
    }

    private Endpoint endpoint(String target, SRVRecord srv, Endpoint before) {
        String[] labels = target.split("\\.");
        Stage stage = srv.getPriority() == 0 ? Stage.HEALTHY : Stage.CORDONED;
        String zone = labels.length > 1 ? labels[1] : "";
        double units = srv.getWeight() / 10.0;
        String host = addresses.containsKey(target) ? addresses.get(target).getAddress().getHostAddress() : before.address().host();
        Address address = new Address(host, srv.getPort());
        if (!texts.containsKey(target)) {
            ServerEntry e = before.entry();
            return new Endpoint(new ServerEntry(e.server(), e.placeNo(), stage, e.launchedUs(), e.model(), zone, units), address);
        }
        Map<String, String> facts = new HashMap<>();
        for (String text : texts.get(target).getStrings()) {
            int equals = text.indexOf('=');
            if (equals > 0) {
                facts.put(text.substring(0, equals), text.substring(equals + 1));
            }
        }
        return new Endpoint(new ServerEntry(labels[0], Integer.parseInt(facts.getOrDefault("cell", "-1")), stage,
            Long.parseLong(facts.getOrDefault("started", "0")) * 1000, facts.getOrDefault("kind", ""), zone, units), address);
    }

    private static Name name(String text) {
        try {
            return Name.fromString(text);
        } catch (IOException e) {
            throw new IllegalArgumentException("not a name: " + text, e);
        }
    }
}
