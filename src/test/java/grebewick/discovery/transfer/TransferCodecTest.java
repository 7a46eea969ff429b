package grebewick.discovery.transfer;

import static grebewick.discovery.transfer.TransferSamples.ZONE;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import grebewick.config.Address;
import grebewick.config.Endpoint;
import grebewick.core.CallControl.ServerEntry;
import grebewick.core.CallControl.Stage;
import grebewick.discovery.transfer.TransferException.Kind;
import grebewick.discovery.transfer.TransferResponse.Failed;
import grebewick.discovery.transfer.TransferResponse.FullCopy;
import grebewick.discovery.transfer.TransferResponse.Incremental;
import grebewick.discovery.transfer.TransferResponse.TooLarge;
import grebewick.discovery.transfer.TransferResponse.UpToDate;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.assertj.core.api.AbstractThrowableAssert;
import org.junit.jupiter.api.Test;
import org.xbill.DNS.Message;
import org.xbill.DNS.Section;
import org.xbill.DNS.Type;

/** Queries and answers of zone transfers as DNS messages: there and back, and what cannot be read. */
class TransferCodecTest {
    private static final long EPOCH = 1_764_650_000_000L;
    private static final ZoneVersion V7 = new ZoneVersion(EPOCH, 7);
    private static final ZoneVersion V8 = new ZoneVersion(EPOCH, 8);
    private static final ZoneVersion V9 = new ZoneVersion(EPOCH, 9);
    private static final TransferRequest AT_7 = new TransferRequest(4711, ZONE, Optional.of(V7));
    private static final TransferRequest EMPTY = new TransferRequest(4711, ZONE, Optional.empty());
    private final TransferSamples samples = new TransferSamples(1995);

    @Test
    void queriesComeBackAsTheyWere() throws Exception {
        assertThat(TransferCodec.decodeQuery(TransferCodec.encodeQuery(AT_7))).isEqualTo(AT_7);
        assertThat(TransferCodec.decodeQuery(TransferCodec.encodeQuery(EMPTY))).isEqualTo(EMPTY);
        Message query = new Message(TransferCodec.encodeQuery(AT_7));
        assertThat(query.getQuestion().getType()).isEqualTo(Type.IXFR);
        assertThat(query.getSection(Section.AUTHORITY)).hasSize(1);
    }

    @Test
    void shortAnswersComeBackAsTheyWere() throws Exception {
        for (TransferResponse response : List.of(new UpToDate(V7), new UpToDate(new ZoneVersion(EPOCH, 6)),
            new UpToDate(new ZoneVersion(EPOCH - 1, 9)), new TooLarge(V8), new TooLarge(new ZoneVersion(EPOCH + 1, 1)),
            new FullCopy(new ZoneContent(V7, Map.of())), new Failed(FailureReason.REFUSED), new Failed(FailureReason.SERVFAIL),
            new Failed(FailureReason.NOTAUTH), new Failed(FailureReason.FORMERR), new Failed(FailureReason.NOTIMP))) {
            assertThat(TransferCodec.decodeDatagram(AT_7, TransferCodec.encodeDatagram(AT_7, response))).isEqualTo(response);
            assertThat(throughStream(AT_7, response)).isEqualTo(response);
        }
    }

    @Test
    void changesComeBackAsTheyWere() throws Exception {
        for (int length = 1; length <= 60; length++) {
            ZoneContent start = samples.content(V7, 20);
            Incremental response = new Incremental(samples.chain(start, length));
            assertThat(throughStream(AT_7, response)).isEqualTo(response);
            if (length < 3) {
                assertThat(TransferCodec.decodeDatagram(AT_7, TransferCodec.encodeDatagram(AT_7, response))).isEqualTo(response);
            }
        }
    }

    @Test
    void wholeZonesComeBackAsTheyWere() throws Exception {
        for (int size : new int[] {0, 1, 10, 31, 32, 33, 190, 3_800, 38_000}) {
            FullCopy response = new FullCopy(samples.content(V9, size));
            assertThat(throughStream(EMPTY, response)).isEqualTo(response);
        }
    }

    @Test
    void nothingIsGivenBeforeTheLastMessage() throws Exception {
        List<TransferResponse> responses = List.of(new FullCopy(samples.content(V9, 320)),
            new Incremental(samples.chain(samples.content(V7, 100), 120)));
        for (TransferResponse response : responses) {
            List<byte[]> messages = messages(AT_7, response);
            assertThat(messages).hasSizeGreaterThan(3);
            TransferAssembler assembler = assembler(AT_7);
            for (byte[] message : messages.subList(0, messages.size() - 1)) {
                assertThat(assembler.add(message)).isEmpty();
            }
            assertThat(assembler.add(messages.get(messages.size() - 1))).contains(response);
            assertFails(() -> assembler.add(messages.get(0))).isEqualTo(Kind.WRONG_ORDER);
        }
    }

    @Test
    void aMessageLostTwiceOrOutOfOrderSpoilsTheAnswer() throws Exception {
        List<byte[]> messages = messages(AT_7, new Incremental(samples.chain(samples.content(V7, 100), 200)));
        int half = messages.size() / 2;
        List<byte[]> lost = new ArrayList<>(messages);
        lost.remove(half);
        List<byte[]> twice = new ArrayList<>(messages);
        twice.add(half, messages.get(half));
        List<byte[]> swapped = new ArrayList<>(messages);
        swapped.set(half, messages.get(half + 1));
        swapped.set(half + 1, messages.get(half));
        for (List<byte[]> spoilt : List.of(lost, twice, swapped)) {
            TransferAssembler assembler = assembler(AT_7);
            assertThatThrownBy(() -> {
                for (byte[] message : spoilt) {
                    assertThat(assembler.add(message)).isEmpty();
                }
                throw new TransferException(Kind.WRONG_ORDER, "the stream ended");
            }).isInstanceOf(TransferException.class);
        }
    }

    @Test
    void anAnswerToAnotherQueryIsRefused() {
        byte[] answer = TransferCodec.encodeDatagram(AT_7, new TooLarge(V8));
        assertFails(() -> TransferCodec.decodeDatagram(new TransferRequest(4712, ZONE, Optional.of(V7)), answer))
            .isEqualTo(Kind.WRONG_ID);
        assertFails(
            () -> TransferCodec.decodeDatagram(new TransferRequest(4711, "s13.east.fleet.local.", Optional.of(V7)), answer))
            .isEqualTo(Kind.WRONG_ZONE);
        Incremental change = new Incremental(samples.chain(samples.content(V7, 3), 1));
        byte[] from7 = TransferCodec.encodeDatagram(AT_7, change);
        assertFails(() -> TransferCodec.decodeDatagram(new TransferRequest(4711, ZONE, Optional.of(V8)), from7))
            .isEqualTo(Kind.WRONG_ORDER);
        assertFails(() -> TransferCodec.decodeDatagram(EMPTY, from7)).isEqualTo(Kind.WRONG_ORDER);
    }

    @Test
    void noPartOfAnAnswerOrQueryIsReadAsOne() {
        byte[] answer = TransferCodec.encodeDatagram(AT_7, new Incremental(samples.chain(samples.content(V7, 3), 2)));
        byte[] query = TransferCodec.encodeQuery(AT_7);
        for (int length = 0; length < answer.length; length++) {
            byte[] part = Arrays.copyOf(answer, length);
            assertThatThrownBy(() -> TransferCodec.decodeDatagram(AT_7, part)).isInstanceOf(TransferException.class);
        }
        for (int length = 0; length < query.length; length++) {
            byte[] part = Arrays.copyOf(query, length);
            assertThatThrownBy(() -> TransferCodec.decodeQuery(part)).isInstanceOf(TransferException.class);
        }
        assertThatThrownBy(() -> TransferCodec.decodeQuery(Arrays.copyOf(query, query.length + 1)))
            .isInstanceOf(TransferException.class);
        assertThatThrownBy(() -> TransferCodec.decodeQuery(answer)).isInstanceOf(TransferException.class);
        assertThatThrownBy(() -> TransferCodec.decodeDatagram(AT_7, query)).isInstanceOf(TransferException.class);
    }

    /** Whatever a datagram holds, it is an answer, or a typed exception says what is wrong with it. */
    @Test
    void spoiltBytesGiveATypedExceptionOrAnAnswer() {
        Random random = new Random(1035);
        byte[] answer = TransferCodec.encodeDatagram(AT_7, new Incremental(samples.chain(samples.content(V7, 3), 2)));
        byte[] copy = TransferCodec.encodeDatagram(AT_7, new FullCopy(samples.content(V8, 7)));
        byte[] query = TransferCodec.encodeQuery(AT_7);
        int refused = 0;
        for (int i = 0; i < 60_000; i++) {
            byte[] spoilt = List.of(answer, copy, query).get(i % 3).clone();
            for (int flips = 1 + random.nextInt(3); flips > 0; flips--) {
                spoilt[random.nextInt(spoilt.length)] = (byte) random.nextInt(256);
            }
            refused += isRefused(spoilt) ? 1 : 0;
        }
        assertThat(refused).isGreaterThan(20_000);
        for (int i = 0; i < 20_000; i++) {
            byte[] garbage = new byte[random.nextInt(200)];
            random.nextBytes(garbage);
            assertThat(isRefused(garbage)).isTrue();
            TransferCodec.formatError(garbage);
        }
    }

    private static boolean isRefused(byte[] bytes) {
        int refused = 0;
        try {
            TransferCodec.decodeQuery(bytes);
        } catch (TransferException e) {
            refused++;
        }
        try {
            TransferCodec.decodeDatagram(AT_7, bytes);
        } catch (TransferException e) {
            refused++;
        }
        return refused == 2;
    }

    @Test
    void aQueryThatCannotBeReadIsToldSoAndAnAnswerIsNot() throws Exception {
        byte[] cut = Arrays.copyOf(TransferCodec.encodeQuery(AT_7), 40);
        byte[] told = TransferCodec.formatError(cut).orElseThrow();
        assertThat(TransferCodec.decodeDatagram(AT_7, told)).isEqualTo(new Failed(FailureReason.FORMERR));
        assertThat(TransferCodec.formatError(TransferCodec.encodeDatagram(AT_7, new TooLarge(V8)))).isEmpty();
        assertThat(TransferCodec.formatError(new byte[5])).isEmpty();
    }

    @Test
    void moreThanTheReaderTakesIsRefused() {
        List<byte[]> messages = messages(EMPTY, new FullCopy(samples.content(V9, 64)));
        TransferAssembler fewRecords = new TransferAssembler(EMPTY, 100, 1 << 20);
        TransferAssembler fewBytes = new TransferAssembler(EMPTY, 10_000, 6_000);
        for (TransferAssembler assembler : List.of(fewRecords, fewBytes)) {
            assertFails(() -> {
                for (byte[] message : messages) {
                    assembler.add(message);
                }
            }).isEqualTo(Kind.TOO_LONG);
        }
    }

    @Test
    void sizesAreBoundedWithoutEncoding() {
        for (int i = 0; i < 300; i++) {
            List<ZoneChange> changes = samples.chain(samples.content(V7, 3 + i % 7), 1 + i % 4);
            int bound = TransferSize.ofFrame(ZONE) + changes.stream().mapToInt(change -> TransferSize.of(ZONE, change)).sum();
            int actual = TransferCodec.encodeDatagram(AT_7, new Incremental(changes)).length;
            assertThat(actual).isLessThanOrEqualTo(bound).isGreaterThan(bound * 7 / 10);
        }
        for (int size : new int[] {0, 1, 31, 32, 33, 190, 3_800}) {
            ZoneContent content = samples.content(V9, size);
            int actual = messages(EMPTY, new FullCopy(content)).stream().mapToInt(message -> message.length).sum();
            int bound = TransferSize.ofCopy(ZONE, content);
            assertThat(actual).isLessThanOrEqualTo(bound).isGreaterThan(bound * 7 / 10);
        }
    }

    @Test
    void whatNoRecordCanSayIsRefusedWhenItIsEncoded() {
        Endpoint good = samples.server();
        ServerEntry entry = good.entry();
        for (ServerEntry bad : List.of(
            new ServerEntry("s.1", 0, Stage.HEALTHY, 0, "std", "east", 1),
            new ServerEntry("S-1", 0, Stage.HEALTHY, 0, "std", "east", 1),
            new ServerEntry("s-1", 0, Stage.HEALTHY, 0, "std", "", 1),
            new ServerEntry("s-1", 0, Stage.HEALTHY, 0, "s\\t", "east", 1),
            new ServerEntry("s-1", 0, Stage.DEREGISTERED, 0, "std", "east", 1),
            new ServerEntry("s-1", 0, Stage.HEALTHY, 0, "std", "east", 7_000))) {
            FullCopy copy = new FullCopy(ZoneContent.of(V8, List.of(new Endpoint(bad, good.address()))));
            assertThatThrownBy(() -> TransferCodec.encodeDatagram(EMPTY, copy)).isInstanceOf(IllegalArgumentException.class);
        }
        FullCopy named = new FullCopy(ZoneContent.of(V8, List.of(new Endpoint(entry, new Address("localhost", 1)))));
        assertThatThrownBy(() -> TransferCodec.encodeDatagram(EMPTY, named)).isInstanceOf(IllegalArgumentException.class);
    }

    private static TransferResponse throughStream(TransferRequest request, TransferResponse response) throws TransferException {
        MessageFraming framing = new MessageFraming(65_535);
        TransferAssembler assembler = assembler(request);
        Optional<TransferResponse> read = Optional.empty();
        for (byte[] message : messages(request, response)) {
            byte[] framed = MessageFraming.frame(message);
            int cut = framed.length / 3;
            assertThat(framing.add(Arrays.copyOf(framed, cut))).isEmpty();
            assertThat(framing.isWithinMessage()).isTrue();
            for (byte[] whole : framing.add(Arrays.copyOfRange(framed, cut, framed.length))) {
                assertThat(read).isEmpty();
                read = assembler.add(whole);
            }
        }
        assertThat(framing.isWithinMessage()).isFalse();
        return read.orElseThrow();
    }

    private static TransferAssembler assembler(TransferRequest request) {
        return new TransferAssembler(request, 1_000_000, 1 << 26);
    }

    private static List<byte[]> messages(TransferRequest request, TransferResponse response) {
        List<byte[]> messages = new ArrayList<>();
        for (Iterator<byte[]> each = TransferCodec.encodeStream(request, response); each.hasNext();) {
            messages.add(each.next());
        }
        return messages;
    }

    /** An action that may fail with a transfer's exception. */
    private interface Action {
        void run() throws TransferException;
    }

    private static org.assertj.core.api.AbstractObjectAssert<?, Kind> assertFails(Action action) {
        AbstractThrowableAssert<?, ? extends Throwable> thrown = assertThatThrownBy(action::run);
        return thrown.isInstanceOf(TransferException.class).extracting(e -> ((TransferException) e).kind());
    }
}
