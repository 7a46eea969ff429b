package grebewick.discovery.transfer;

import grebewick.config.Endpoint;
import grebewick.discovery.transfer.TransferException.Kind;
import grebewick.discovery.transfer.TransferResponse.Failed;
import grebewick.discovery.transfer.TransferResponse.FullCopy;
import grebewick.discovery.transfer.TransferResponse.Incremental;
import grebewick.discovery.transfer.TransferResponse.TooLarge;
import grebewick.discovery.transfer.TransferResponse.UpToDate;
import java.io.IOException;
import java.util.Collection;
import java.util.Iterator;
import java.util.Locale;
import java.util.Optional;
import java.util.stream.Stream;
import org.xbill.DNS.DClass;
import org.xbill.DNS.Flags;
import org.xbill.DNS.Header;
import org.xbill.DNS.Message;
import org.xbill.DNS.Name;
import org.xbill.DNS.Opcode;
import org.xbill.DNS.Rcode;
import org.xbill.DNS.Record;
import org.xbill.DNS.SOARecord;
import org.xbill.DNS.Section;
import org.xbill.DNS.TextParseException;
import org.xbill.DNS.Type;

/**
 * The DNS messages of incremental zone transfers (RFC 1995): queries, answers in one datagram, and answers in several
 * messages over TCP. Answers over TCP are read by a {@link TransferAssembler}.
 */
public final class TransferCodec {
    /** Bytes of an answer by UDP at the most: fits an Ethernet frame over IPv6, as the DNS flag day of 2020 has it. */
    public static final int MAX_DATAGRAM = 1_232;
    /** The same, less what the age of its sender's word takes. */
    public static final int MAX_DATAGRAM_WITH_AGE = MAX_DATAGRAM - SourceAge.BYTES;
    /** Records of a message over TCP: 32 servers with the longest names are below the 65,535 bytes of a message. */
    static final int RECORDS_PER_MESSAGE = 32 * ServerRecords.PER_SERVER;

    /** Of the 255 bytes of a name, two labels of 63 are a server's. */
    private static final int MOST_ZONE_BYTES = 127;

    private TransferCodec() {}

    /** Refuses what is no absolute name of a zone in lower case, with room for the names of its servers. */
    public static void checkZone(String zone) {
        Name name = name(zone);
        if (!name.isAbsolute() || !zone.equals(zone.toLowerCase(Locale.ROOT)) || !zone.equals(name.toString())
            || name.length() > MOST_ZONE_BYTES) {
            throw new IllegalArgumentException("'" + zone + "' is no absolute name of a zone in lower case");
        }
    }

    /** Refuses a server that the records of a zone cannot say. */
    public static void checkServer(String zone, Endpoint server) {
        ServerRecords.of(name(zone), server);
    }

    /** The message of a query. */
    public static byte[] encodeQuery(TransferRequest request) {
        Name zone = name(request.zone());
        Message message = new Message(request.id());
        message.getHeader().setOpcode(Opcode.QUERY);
        message.addRecord(question(zone), Section.QUESTION);
        message.addRecord(ZoneSoa.inQuery(zone, request.held()), Section.AUTHORITY);
        if (request.asksAge()) {
            message.addRecord(SourceAge.question(), Section.ADDITIONAL);
        }
        return message.toWire();
    }

    /**
     * Reads a query: IXFR with the SOA record held in the authority section. An SOA record that has no epoch, as that of other
     * clients, counts as nothing held.
     */
    public static TransferRequest decodeQuery(byte[] bytes) throws TransferException {
        Message message = parse(bytes);
        Header header = message.getHeader();
        Record question = message.getQuestion();
        if (header.getFlag(Flags.QR) || header.getOpcode() != Opcode.QUERY || header.getCount(Section.QUESTION) != 1
            || question.getDClass() != DClass.IN) {
            throw malformed("not a query of one question");
        }
        if (question.getType() != Type.IXFR || header.getCount(Section.AUTHORITY) != 1
            || !(message.getSection(Section.AUTHORITY).get(0) instanceof SOARecord soa)
            || !soa.getName().equals(question.getName())) {
            throw malformed("not an IXFR query with the SOA record held");
        }
        return new TransferRequest(header.getID(), question.getName().toString(), ZoneSoa.held(soa),
            SourceAge.isAskedFor(message));
    }

    /** The one message of an answer by UDP of who knows the zone at first hand. */
    public static byte[] encodeDatagram(TransferRequest request, TransferResponse response) {
        return encodeDatagram(request, response, 0);
    }

    /**
     * The one message of an answer by UDP; the caller sees to its size ({@link TransferSize}).
     *
     * @param ageUs us. How old its sender's own word on the zone is
     */
    public static byte[] encodeDatagram(TransferRequest request, TransferResponse response, long ageUs) {
        Message message = answer(request, response, ageUs);
        records(name(request.zone()), response).forEach(record -> message.addRecord(record, Section.ANSWER));
        return message.toWire();
    }

    /** The messages of an answer over TCP of who knows the zone at first hand. */
    public static Iterator<byte[]> encodeStream(TransferRequest request, TransferResponse response) {
        return encodeStream(request, response, 0);
    }

    /**
     * The messages of an answer over TCP, without their length fields; each is encoded when it is asked for.
     *
     * @param ageUs us. How old its sender's own word on the zone is
     */
    public static Iterator<byte[]> encodeStream(TransferRequest request, TransferResponse response, long ageUs) {
        Iterator<Record> records = records(name(request.zone()), response).iterator();
        return new Iterator<>() {
            private boolean isFirst = true;

            @Override
            public boolean hasNext() {
                return isFirst || records.hasNext();
            }

            @Override
            public byte[] next() {
                Message message = answer(request, response, isFirst ? ageUs : 0);
                isFirst = false;
                for (int i = 0; i < RECORDS_PER_MESSAGE && records.hasNext(); i++) {
                    message.addRecord(records.next(), Section.ANSWER);
                }
                return message.toWire();
            }
        };
    }

    /** Reads the one message of an answer by UDP. */
    public static TransferResponse decodeDatagram(TransferRequest request, byte[] bytes) throws TransferException {
        return decodeDatagram(datagramAssembler(request), bytes);
    }

    /** For the answer to a query by UDP. */
    static TransferAssembler datagramAssembler(TransferRequest request) {
        return new TransferAssembler(request, MAX_DATAGRAM, MAX_DATAGRAM);
    }

    /** Reads the one message of an answer by UDP, with an assembler that then tells the age. */
    static TransferResponse decodeDatagram(TransferAssembler assembler, byte[] bytes) throws TransferException {
        return assembler.add(bytes).orElseThrow(() -> new TransferException(Kind.WRONG_ORDER, "an answer that breaks off"));
    }

    /** The answer to what could not be read as a query; empty where not even its header can, or where it is an answer. */
    public static Optional<byte[]> formatError(byte[] query) {
        try {
            Header asked = new Header(query);
            if (asked.getFlag(Flags.QR)) {
                return Optional.empty();
            }
            Message message = new Message(asked.getID());
            message.getHeader().setFlag(Flags.QR);
            message.getHeader().setOpcode(asked.getOpcode());
            message.getHeader().setRcode(Rcode.FORMERR);
            return Optional.of(message.toWire());
        } catch (IOException e) {
            return Optional.empty();
        }
    }

    private static Message answer(TransferRequest request, TransferResponse response, long ageUs) {
        Message message = new Message(request.id());
        message.getHeader().setFlag(Flags.QR);
        message.getHeader().setFlag(Flags.AA);
        message.getHeader().setRcode(response instanceof Failed failed ? failed.reason().rcode() : Rcode.NOERROR);
        message.addRecord(question(name(request.zone())), Section.QUESTION);
        if (ageUs > 0 && request.asksAge()) {
            message.addRecord(SourceAge.of(ageUs), Section.ADDITIONAL);
        }
        return message;
    }

    private static Stream<Record> records(Name zone, TransferResponse response) {
        if (response instanceof UpToDate upToDate) {
            return Stream.of(ZoneSoa.of(zone, upToDate.version()));
        }
        if (response instanceof TooLarge tooLarge) {
            return Stream.of(ZoneSoa.of(zone, tooLarge.version()));
        }
        if (response instanceof FullCopy full) {
            SOARecord soa = ZoneSoa.of(zone, full.content().version());
            return framed(soa, ofAll(zone, full.content().servers().values()));
        }
        if (response instanceof Incremental incremental) {
            SOARecord soa = ZoneSoa.of(zone, incremental.version());
            return framed(soa, incremental.changes().stream().flatMap(change -> of(zone, change)));
        }
        return Stream.empty();
    }

    private static Stream<Record> framed(SOARecord soa, Stream<Record> records) {
        return Stream.concat(Stream.concat(Stream.of(soa), records), Stream.of(soa));
    }

    private static Stream<Record> of(Name zone, ZoneChange change) {
        Stream<Record> removed = Stream.concat(Stream.of(ZoneSoa.of(zone, change.from())), ofAll(zone, change.removed()));
        Stream<Record> added = Stream.concat(Stream.of(ZoneSoa.of(zone, change.to())), ofAll(zone, change.added()));
        return Stream.concat(removed, added);
    }

    private static Stream<Record> ofAll(Name zone, Collection<Endpoint> servers) {
        return servers.stream().flatMap(server -> ServerRecords.of(zone, server).stream());
    }

    /** Reads a message; strict: nothing may follow it. */
    static Message parse(byte[] bytes) throws TransferException {
        try {
            Message message = new Message(bytes);
            if (message.numBytes() != bytes.length || message.getHeader().getFlag(Flags.TC)) {
                throw malformed("a message that is cut short or has something behind it");
            }
            return message;
        } catch (IOException | RuntimeException e) {
            throw malformed("no message: " + e.getMessage());
        }
    }

    static Record question(Name zone) {
        return Record.newRecord(zone, Type.IXFR, DClass.IN);
    }

    static Name name(String zone) {
        try {
            return Name.fromString(zone);
        } catch (TextParseException e) {
            throw new IllegalArgumentException("no name of a zone: " + zone, e);
        }
    }

    private static TransferException malformed(String text) {
        return new TransferException(Kind.MALFORMED, text);
    }
}
