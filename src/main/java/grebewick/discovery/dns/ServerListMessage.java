package grebewick.discovery.dns;

import java.util.ArrayList;
import java.util.List;
import org.xbill.DNS.DClass;
import org.xbill.DNS.Flags;
import org.xbill.DNS.Message;
import org.xbill.DNS.Name;
import org.xbill.DNS.Record;
import org.xbill.DNS.SOARecord;
import org.xbill.DNS.SRVRecord;
import org.xbill.DNS.Section;
import org.xbill.DNS.TextParseException;
import org.xbill.DNS.Type;

/**
 * An answer of the name service, to a question after the list (SRV) or after one server (A, TXT).
 *
 * @param id of the question
 * @param question null where it names none
 * @param code of the answer (RCODE)
 * @param isAnswer false: it is a question itself
 * @param isCut only a part came (TC)
 * @param serial of the list; {@link #NO_SERIAL}: it tells none
 * @param servers the list's entries
 * @param details records on single servers, and the entries
 */
record ServerListMessage(int id, Record question, int code, boolean isAnswer, boolean isCut, long serial,
                         List<SRVRecord> servers, List<Record> details) {
    static final long NO_SERIAL = -1;

    /**
     * A question.
     *
     * @param type one of {@link Type}
     */
    record Question(String name, int type) {
        /** The record that asks it. */
        Record toRecord() {
            try {
                return Record.newRecord(Name.fromString(name), type, DClass.IN);
            } catch (TextParseException e) {
                throw new IllegalArgumentException("not a name: " + name, e);
            }
        }
    }

    /** What a message says; a list with an entry that names no server is refused. */
    static ServerListMessage of(Message message) {
        long serial = NO_SERIAL;
        for (Record each : message.getSection(Section.AUTHORITY)) {
            serial = each instanceof SOARecord soa ? soa.getSerial() : serial;
        }
        List<SRVRecord> servers = new ArrayList<>();
        for (Record each : message.getSection(Section.ANSWER)) {
            if (each instanceof SRVRecord srv) {
                if (srv.getTarget().equals(Name.root)) {
                    throw new IllegalArgumentException("an entry of the list names no server");
                }
                servers.add(srv);
            }
        }
        List<Record> details = new ArrayList<>(message.getSection(Section.ANSWER));
        details.addAll(message.getSection(Section.ADDITIONAL));
        return new ServerListMessage(message.getHeader().getID(), message.getQuestion(), message.getRcode(),
            message.getHeader().getFlag(Flags.QR), message.getHeader().getFlag(Flags.TC), serial, servers, details);
    }

    /** Whether it answers a question that was asked. */
    boolean answers(Record asked) {
        return asked != null && isAnswer && asked.equals(question);
    }

    /** Whether its question was after the list. */
    boolean isOnList() {
        return question.getType() == Type.SRV;
    }
}
