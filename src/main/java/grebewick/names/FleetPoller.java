package grebewick.names;

import grebewick.config.Address;
import grebewick.config.Endpoint;
import grebewick.core.CallControl.ServerEntry;
import grebewick.core.CallControl.Stage;
import grebewick.core.Timers;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.datagram.DatagramSocket;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.xbill.DNS.ARecord;
import org.xbill.DNS.DClass;
import org.xbill.DNS.Message;
import org.xbill.DNS.Name;
import org.xbill.DNS.Record;
import org.xbill.DNS.SOARecord;
import org.xbill.DNS.SRVRecord;
import org.xbill.DNS.Section;
import org.xbill.DNS.TXTRecord;
import org.xbill.DNS.Type;

/** Polls the name service for the list of servers and tells each newer one, whole. */
public final class FleetPoller {
    /** us. Between questions: lost datagrams must not use up the time in which a drain is to be heeded. */
    private static final long EVERY_US = 200_000;
    private static final String FLEET = "_work._tcp.fleet.local.";

    private final Vertx vertx;
    private final Timers timers;
    private final Address server;
    private final Consumer<List<Endpoint>> news;
    private final Consumer<String> log;
    private final Name fleet;
    private DatagramSocket socket;
    private long told;
    private long serial = -1;
    private Map<String, SRVRecord> list = Map.of();
    private final Map<String, ARecord> addresses = new HashMap<>();
    private final Map<String, TXTRecord> texts = new HashMap<>();
    private int queryId;

    /** Tells lists later than event {@code index}. */
    public FleetPoller(Vertx vertx, Timers timers, Address server, long index, Consumer<List<Endpoint>> news,
                       Consumer<String> log) {
        this.vertx = vertx;
        this.timers = timers;
        this.server = server;
        this.told = index;
        this.news = news;
        this.log = log;
        this.fleet = name(FLEET);
    }

    /** Starts asking. */
    public void start() {
        socket = vertx.createDatagramSocket();
        socket.handler(packet -> {
            try {
                read(new Message(packet.data().getBytes()));
            } catch (IOException | RuntimeException e) {
                log.accept("names: an answer that cannot be read: " + e.getMessage());
            }
        });
        socket.exceptionHandler(e -> log.accept("names: " + e.getMessage()));
        ask();
    }

    private void ask() {
        timers.after(EVERY_US, this::ask);
        query(fleet, Type.SRV);
        askMissing();
    }

    private void askMissing() {
        if (serial > told) {
            list.keySet().forEach(target -> {
                if (!addresses.containsKey(target)) {
                    query(name(target), Type.A);
                }
                if (!texts.containsKey(target)) {
                    query(name(target), Type.TXT);
                }
            });
        }
    }

    private void query(Name name, int type) {
        Message question = Message.newQuery(Record.newRecord(name, type, DClass.IN));
        queryId = queryId + 1 & 0xffff;
        question.getHeader().setID(queryId);
        socket.send(Buffer.buffer(question.toWire()), server.port(), server.host());
    }

    private void read(Message answer) {
        long found = -1;
        for (Record r : answer.getSection(Section.AUTHORITY)) {
            found = r instanceof SOARecord soa ? soa.getSerial() : found;
        }
        Record question = answer.getQuestion();
        if (question != null && question.getType() == Type.SRV && found > Math.max(serial, told)) {
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
        if (serial <= told || found >= 0 && found < serial) {
            return;
        }
        // What is said of a target counts only for the list that is being put together.
        for (int section : new int[] {Section.ANSWER, Section.ADDITIONAL}) {
            for (Record r : answer.getSection(section)) {
                if (r instanceof ARecord a) {
                    addresses.put(a.getName().toString(), a);
                } else if (r instanceof TXTRecord txt) {
                    texts.put(txt.getName().toString(), txt);
                }
            }
        }
        if (addresses.keySet().containsAll(list.keySet()) && texts.keySet().containsAll(list.keySet())) {
            told = serial;
            List<Endpoint> endpoints = new ArrayList<>();
            list.forEach((target, srv) -> endpoints.add(endpoint(target, srv)));
            news.accept(endpoints);
        } else if (question != null && question.getType() == Type.SRV) {
            askMissing();
        }
    }

    private Endpoint endpoint(String target, SRVRecord srv) {
        String[] labels = target.split("\\.");
        Map<String, String> facts = new HashMap<>();
        for (String text : texts.get(target).getStrings()) {
            int equals = text.indexOf('=');
            if (equals > 0) {
                facts.put(text.substring(0, equals), text.substring(equals + 1));
            }
        }
        ServerEntry entry = new ServerEntry(labels[0], Integer.parseInt(facts.getOrDefault("cell", "-1")),
            srv.getPriority() == 0 ? Stage.HEALTHY : Stage.CORDONED,
            Long.parseLong(facts.getOrDefault("started", "0")) * 1000, facts.getOrDefault("kind", ""),
            labels.length > 1 ? labels[1] : "", srv.getWeight() / 10.0);
        return new Endpoint(entry, new Address(addresses.get(target).getAddress().getHostAddress(), srv.getPort()));
    }

    private static Name name(String text) {
        try {
            return Name.fromString(text);
        } catch (IOException e) {
            throw new IllegalArgumentException("not a name: " + text, e);
        }
    }
}
