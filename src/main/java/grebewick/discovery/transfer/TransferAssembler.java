package grebewick.discovery.transfer;

import grebewick.config.Endpoint;
import grebewick.discovery.transfer.TransferException.Kind;
import grebewick.discovery.transfer.TransferResponse.Failed;
import grebewick.discovery.transfer.TransferResponse.FullCopy;
import grebewick.discovery.transfer.TransferResponse.Incremental;
import grebewick.discovery.transfer.TransferResponse.TooLarge;
import grebewick.discovery.transfer.TransferResponse.UpToDate;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.xbill.DNS.Flags;
import org.xbill.DNS.Header;
import org.xbill.DNS.Message;
import org.xbill.DNS.Name;
import org.xbill.DNS.Opcode;
import org.xbill.DNS.Rcode;
import org.xbill.DNS.Record;
import org.xbill.DNS.SOARecord;
import org.xbill.DNS.Section;
import org.xbill.DNS.Type;

/**
 * Puts an answer together from its messages, in the order of a stream, a slice a turn. Gives nothing until all of it is
 * there; after an exception, and after the answer was given, it takes no more.
 */
public final class TransferAssembler {
    /** Records that are read in a turn of the event loop, so that a long copy holds up nothing else. */
    static final int RECORDS_PER_TURN = 256;

    private enum State { START, SINGLE_SOA, FULL, REMOVED, ADDED, DONE, FAILED }

    private final TransferRequest request;
    private final Name zone;
    private final int mostRecords;
    private final long mostBytes;
    private State state = State.START;
    private long bytes;
    private int count;
    private ZoneVersion target;
    private ZoneVersion from;
    private ZoneVersion to;
    private final List<ZoneChange> changes = new ArrayList<>();
    private List<Endpoint> removed = List.of();
    /** Of the list that is being read; null: none of its records has come. */
    private ServerRecords.Reader reader;
    /** Of the message that is being read. */
    private boolean isWithinMessage;
    private boolean isFirst;
    private long sourceAgeUs;
    private int rcode;
    private Iterator<Record> unread = Collections.emptyIterator();

    /**
     * For the answer to one query.
     *
     * @param mostRecords records that are taken at the most, three a server
     * @param mostBytes bytes of all messages at the most
     */
    public TransferAssembler(TransferRequest request, int mostRecords, long mostBytes) {
        this.request = request;
        this.zone = TransferCodec.name(request.zone());
        this.mostRecords = mostRecords;
        this.mostBytes = mostBytes;
    }

    /**
     * Takes the next message, all of it at once; gives the answer once this was the last one.
     *
     * @throws TransferException the answer cannot be used, whatever comes after
     */
    public Optional<TransferResponse> add(byte[] message) throws TransferException {
        begin(message);
        Optional<TransferResponse> response = Optional.empty();
        while (isWithinMessage) {
            response = readOn();
        }
        return response;
    }

    /**
     * Takes the next message, and none of its records yet; {@link #readOn} follows.
     *
     * @throws TransferException as {@link #add}
     */
    void begin(byte[] message) throws TransferException {
        if (state == State.DONE || state == State.FAILED) {
            throw order("a message after the end");
        }
        State before = state;
        state = State.FAILED;
        bytes += message.length;
        if (bytes > mostBytes) {
            throw new TransferException(Kind.TOO_LONG, "an answer of more than " + mostBytes + " bytes");
        }
        Message parsed = TransferCodec.parse(message);
        isFirst = before == State.START;
        check(parsed, isFirst);
        sourceAgeUs = isFirst ? SourceAge.us(parsed) : sourceAgeUs;
        List<Record> answer = parsed.getSection(Section.ANSWER);
        rcode = parsed.getRcode();
        if (rcode != Rcode.NOERROR && !(isFirst && answer.isEmpty())) {
            throw order("a failure within an answer");
        }
        if (rcode == Rcode.NOERROR && answer.isEmpty()) {
            throw order("a message without records");
        }
        unread = answer.iterator();
        isWithinMessage = true;
        state = before;
    }

    /** us. How old the sender's own word on the zone is, as far as it says so. */
    public long sourceAgeUs() {
        return sourceAgeUs;
    }

    /** Whether records of the message that was begun are left to be read. */
    boolean isWithinMessage() {
        return isWithinMessage;
    }

    /**
     * Reads {@link #RECORDS_PER_TURN} records of the message at the most; gives the answer once these were the last ones.
     *
     * @throws TransferException as {@link #add}
     */
    Optional<TransferResponse> readOn() throws TransferException {
        try {
            for (int i = 0; i < RECORDS_PER_TURN && unread.hasNext(); i++) {
                count();
                take(unread.next());
            }
            if (unread.hasNext()) {
                return Optional.empty();
            }
            isWithinMessage = false;
            return messageRead();
        } catch (TransferException e) {
            isWithinMessage = false;
            state = State.FAILED;
            throw e;
        }
    }

    private void count() throws TransferException {
        if (state == State.DONE) {
            throw order("records after the end");
        }
        if (++count > mostRecords) {
            throw new TransferException(Kind.TOO_LONG, "an answer of more than " + mostRecords + " records");
        }
    }

    private Optional<TransferResponse> messageRead() throws TransferException {
        if (rcode != Rcode.NOERROR) {
            state = State.DONE;
            return Optional.of(new Failed(FailureReason.of(rcode)));
        }
        if (state == State.DONE) {
            return Optional.of(changes.isEmpty() ? new FullCopy(new ZoneContent(target, drain())) : new Incremental(changes));
        }
        if (isFirst && state == State.SINGLE_SOA) {
            state = State.DONE;
            return Optional.of(alone());
        }
        return Optional.empty();
    }

    private void check(Message message, boolean isFirst) throws TransferException {
        Header header = message.getHeader();
        if (header.getID() != request.id()) {
            throw new TransferException(Kind.WRONG_ID, "the answer to query " + header.getID() + " instead of " + request.id());
        }
        if (!header.getFlag(Flags.QR) || header.getOpcode() != Opcode.QUERY) {
            throw new TransferException(Kind.MALFORMED, "a message that is no answer");
        }
        Record question = message.getQuestion();
        // The first message repeats the question, later ones need not (RFC 5936), nor does one that says it was not understood.
        boolean isOurs = question == null ? !isFirst || message.getRcode() != Rcode.NOERROR
            : question.getName().equals(zone) && question.getType() == Type.IXFR;
        if (!isOurs) {
            throw new TransferException(Kind.WRONG_ZONE, "the answer to another question: " + question);
        }
    }

    /** An SOA record alone: the replica has nothing later, or it is too much for a datagram. */
    private TransferResponse alone() {
        boolean isLater = request.held().isEmpty() || target.isAfter(request.held().get());
        return isLater ? new TooLarge(target) : new UpToDate(target);
    }

    private void take(Record record) throws TransferException {
        if (!(record instanceof SOARecord soa)) {
            if (state == State.START) {
                throw order("an answer that does not begin with an SOA record");
            }
            state = state == State.SINGLE_SOA ? State.FULL : state;
            read(record);
            return;
        }
        ZoneVersion version = ZoneSoa.version(zone, soa);
        switch (state) {
            case START -> {
                target = version;
                state = State.SINGLE_SOA;
            }
            case SINGLE_SOA -> second(version);
            case REMOVED -> {
                to = version;
                removed = List.copyOf(drain().values());
                state = State.ADDED;
            }
            case ADDED -> endChange(version);
            default -> {
                if (!version.equals(target)) {
                    throw order("a copy that begins with " + target + " and ends with " + version);
                }
                state = State.DONE;
            }
        }
    }

    /** The second record is an SOA record: the first change begins, or it is the end of an empty zone. */
    private void second(ZoneVersion version) throws TransferException {
        if (version.equals(target)) {
            state = State.DONE;
            return;
        }
        if (!version.equals(request.held().orElse(null))) {
            throw order("changes from " + version + " where " + request.held() + " is held");
        }
        from = version;
        state = State.REMOVED;
    }

    private void endChange(ZoneVersion version) throws TransferException {
        List<Endpoint> added = List.copyOf(drain().values());
        if (!version.equals(to) || to.isAfter(target)) {
            throw order("a change to " + to + " followed by " + version + " on the way to " + target);
        }
        try {
            changes.add(new ZoneChange(from, to, removed, added));
        } catch (IllegalArgumentException e) {
            throw order(e.getMessage());
        }
        from = version;
        state = to.equals(target) ? State.DONE : State.REMOVED;
    }

    /** What was read since the last one. */
    private Map<String, Endpoint> drain() throws TransferException {
        Map<String, Endpoint> servers = reader == null ? Map.of() : reader.servers();
        reader = null;
        return servers;
    }

    private void read(Record record) throws TransferException {
        if (reader == null) {
            reader = new ServerRecords.Reader(zone);
        }
        reader.take(record);
    }

    private static TransferException order(String text) {
        return new TransferException(Kind.WRONG_ORDER, text);
    }
}
