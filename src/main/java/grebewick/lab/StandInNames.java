package grebewick.lab;

import grebewick.lab.measure.Traffic;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.datagram.DatagramSocket;
import io.vertx.core.datagram.DatagramSocketOptions;
import java.io.IOException;
import java.net.InetAddress;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.xbill.DNS.ARecord;
import org.xbill.DNS.DClass;
import org.xbill.DNS.Flags;
import org.xbill.DNS.Message;
import org.xbill.DNS.Name;
import org.xbill.DNS.Record;
import org.xbill.DNS.SOARecord;
import org.xbill.DNS.SRVRecord;
import org.xbill.DNS.Section;
import org.xbill.DNS.TXTRecord;
import org.xbill.DNS.Type;

/** The name service by the platform's protocol: the list of servers over DNS (RFC 1035, SRV records of RFC 2782). */
public final class StandInNames {
    private static final String FLEET = "_work._tcp.fleet.local.";
    /** Bytes of a UDP datagram's payload over IPv4 at the most. */
    static final int MOST_BYTES = 65_507;
    /** The TC flag in the third byte of a message. */
    private static final int CUT = 2;

    /** One server: id, zone, port on loopback, group, whether it drains, when it started (Unix ms, 0: long ago). */
    public record Host(String id, String zone, int port, int group, boolean drains, long startedMs) {}

    private final DatagramSocket socket;
    private final Map<Name, Host> hosts = new LinkedHashMap<>();
    private long serial;
    /** The answer with list {@code serial}; null: it is to be put together. */
    private byte[] listAnswer;
    private long cutAnswers;
    private boolean silent;
    private volatile Traffic traffic = Traffic.NONE;

    /** An empty list, event 1. */
    public StandInNames(Vertx vertx) {
        serial = 1;
        socket = vertx.createDatagramSocket(new DatagramSocketOptions().setSendBufferSize(1 << 18));
        socket.handler(packet -> {
            if (silent) {
                return;
            }
            try {
                byte[] answer = answer(new Message(packet.data().getBytes()));
                traffic = traffic.received(packet.data().length()).sent(answer.length);
                socket.send(Buffer.buffer(answer), packet.sender().port(), packet.sender().hostAddress());
            } catch (IOException e) {
                // What is no question gets no answer.
                socket.exceptionHandler(null);
            }
        });
    }

    /** Listens on loopback; gives the port. */
    public Future<Integer> listen() {
        return listen(0);
    }

    /** Listens at a port of loopback, 0 stands for any; gives the port. */
    public Future<Integer> listen(int port) {
        return socket.listen(port, "127.0.0.1").map(s -> s.localAddress().port());
    }

    /** Numbers its events after those of another: what a name service keeps on disk over a restart. */
    public void continueAfter(StandInNames other) {
        serial = other.serial;
    }

    /** The list changes: one event more. */
    public void list(List<Host> now) {
        hosts.clear();
        now.forEach(h -> hosts.put(name(h.id + "." + h.zone + ".hosts."), h));
        serial++;
        listAnswer = null;
    }

    /** Whether it leaves questions without an answer. */
    public void silent(boolean is) {
        silent = is;
    }

    /** Datagrams and bytes since the start; any thread may ask. */
    public Traffic traffic() {
        return traffic;
    }

    /** Lists that were longer than a datagram holds, since the start: they went out cut, with the TC flag. */
    public long cutAnswers() {
        return cutAnswers;
    }

    /** The process ends: questions are not answered any more. */
    public Future<Void> close() {
        return socket.close();
    }

    private static Name name(String text) {
        try {
            return Name.fromString(text);
        } catch (IOException e) {
            throw new IllegalArgumentException(e);
        }
    }

    private byte[] answer(Message question) throws IOException {
        Record asked = question.getQuestion();
        if (asked.getType() != Type.SRV) {
            return encode(question);
        }
        listAnswer = listAnswer == null ? encode(question) : listAnswer;
        // The answer but for its id is the same for all who ask.
        byte[] answer = listAnswer.clone();
        answer[0] = (byte) (question.getHeader().getID() >> 8);
        answer[1] = (byte) question.getHeader().getID();
        cutAnswers += (answer[2] & CUT) != 0 ? 1 : 0;
        return answer;
    }

    private byte[] encode(Message question) throws IOException {
        Message m = new Message(question.getHeader().getID());
        m.getHeader().setFlag(Flags.QR);
        Record asked = question.getQuestion();
        m.addRecord(asked, Section.QUESTION);
        Name zone = Name.fromString("fleet.local.");
        Host host = hosts.get(asked.getName());
        if (asked.getType() == Type.SRV) {
            Name fleet = Name.fromString(FLEET);
            hosts.forEach(
                (name, h) -> m.addRecord(new SRVRecord(fleet, DClass.IN, 0, h.drains ? 1 : 0, 40, h.port, name), Section.ANSWER));
        } else if (host != null && asked.getType() == Type.A) {
            m.addRecord(new ARecord(asked.getName(), DClass.IN, 0, InetAddress.getByName("127.0.0.1")), Section.ANSWER);
        } else if (host != null && asked.getType() == Type.TXT) {
            m.addRecord(new TXTRecord(asked.getName(), DClass.IN, 0,
                List.of("kind=std", "cell=" + host.group, "started=" + host.startedMs)), Section.ANSWER);
        }
        m.addRecord(new SOARecord(zone, DClass.IN, 0, zone, zone, serial, 1, 1, 1, 1), Section.AUTHORITY);
        return m.toWire(MOST_BYTES);
    }
}
