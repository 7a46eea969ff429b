package grebewick.lab;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.datagram.DatagramSocket;
import java.io.IOException;
import java.net.InetAddress;
import java.util.ArrayList;
import java.util.List;
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

    /** One server: id, zone, port on loopback, group, whether it drains, when it started (Unix ms, 0: long ago). */
    public record Host(String id, String zone, int port, int group, boolean drains, long startedMs) { }

    private final DatagramSocket socket;
    private List<Host> hosts = List.of();
    private long serial;

    /** An empty list, event 1. */
    public StandInNames(Vertx vertx) {
        serial = 1;
        socket = vertx.createDatagramSocket();
        socket.handler(packet -> {
            try {
                socket.send(Buffer.buffer(answer(new Message(packet.data().getBytes()))), packet.sender().port(),
                    packet.sender().hostAddress());
            } catch (IOException e) {
                // What is no question gets no answer.
                socket.exceptionHandler(null);
            }
        });
    }

    /** Listens on loopback; gives the port. */
    public Future<Integer> listen() {
        return socket.listen(0, "127.0.0.1").map(s -> s.localAddress().port());
    }

    /** The list changes: one event more. */
    public void list(List<Host> now) {
        hosts = List.copyOf(now);
        serial++;
    }

    private byte[] answer(Message question) throws IOException {
        Message m = new Message(question.getHeader().getID());
        m.getHeader().setFlag(Flags.QR);
        Record asked = question.getQuestion();
        m.addRecord(asked, Section.QUESTION);
        Name zone = Name.fromString("fleet.local.");
        for (Host h : hosts) {
            Name name = Name.fromString(h.id + "." + h.zone + ".hosts.");
            List<Record> found = new ArrayList<>();
            if (asked.getType() == Type.SRV) {
                found.add(new SRVRecord(Name.fromString(FLEET), DClass.IN, 0, h.drains ? 1 : 0, 40, h.port, name));
            } else if (asked.getName().equals(name) && asked.getType() == Type.A) {
                found.add(new ARecord(name, DClass.IN, 0, InetAddress.getByName("127.0.0.1")));
            } else if (asked.getName().equals(name) && asked.getType() == Type.TXT) {
                found.add(new TXTRecord(name, DClass.IN, 0, List.of("kind=std", "cell=" + h.group, "started=" + h.startedMs)));
            }
            found.forEach(r -> m.addRecord(r, Section.ANSWER));
        }
        m.addRecord(new SOARecord(zone, DClass.IN, 0, zone, zone, serial, 1, 1, 1, 1), Section.AUTHORITY);
        return m.toWire();
    }
}
