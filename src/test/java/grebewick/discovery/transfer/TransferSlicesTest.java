package grebewick.discovery.transfer;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import grebewick.config.Endpoint;
import grebewick.discovery.transfer.TransferResponse.FullCopy;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.xbill.DNS.Message;
import org.xbill.DNS.Name;
import org.xbill.DNS.Record;
import org.xbill.DNS.Section;

/** Long answers are read in slices, and nothing of them is used before the last one. */
class TransferSlicesTest {
    private static final long SEED = 38;
    private static final ZoneVersion VERSION = new ZoneVersion(1, 7);
    /** 38,000 records. */
    private static final int SERVERS = 12_667;
    /** As many as one message holds: other name servers fill their messages. */
    private static final int SERVERS_OF_MESSAGE = 400;

    private final TransferSamples samples = new TransferSamples(SEED);
    private final TransferRequest request = new TransferRequest(1, TransferSamples.ZONE, Optional.empty());
    private final TransferAssembler assembler = new TransferAssembler(request, 1_000_000, 1 << 26);

    /** The turns that a message takes; gives what came of it. */
    private Optional<TransferResponse> read(byte[] message, List<Integer> turns) throws TransferException {
        assembler.begin(message);
        int number = 0;
        Optional<TransferResponse> response = Optional.empty();
        while (assembler.isWithinMessage()) {
            assertThat(response).as("given before the end").isEmpty();
            response = assembler.readOn();
            number++;
        }
        turns.add(number);
        return response;
    }

    private byte[] message(List<Record> records) {
        Message message = new Message(request.id());
        message.getHeader().setFlag(org.xbill.DNS.Flags.QR);
        message.addRecord(TransferCodec.question(TransferCodec.name(request.zone())), Section.QUESTION);
        records.forEach(record -> message.addRecord(record, Section.ANSWER));
        return message.toWire();
    }

    private List<Record> records(ZoneContent content) {
        Name zone = TransferCodec.name(request.zone());
        List<Record> records = new ArrayList<>();
        for (Endpoint server : content.servers().values()) {
            records.addAll(ServerRecords.of(zone, server));
        }
        // In any order: the three of a server need not stand together.
        Collections.shuffle(records, new Random(SEED));
        records.add(0, ZoneSoa.of(zone, content.version()));
        records.add(ZoneSoa.of(zone, content.version()));
        return records;
    }

    @Test
    void aCopyOf38000RecordsIsReadNoMoreThanTheBoundATurn() throws Exception {
        ZoneContent content = samples.content(VERSION, SERVERS);
        Iterator<byte[]> messages = TransferCodec.encodeStream(request, new FullCopy(content));
        List<Integer> turns = new ArrayList<>();
        Optional<TransferResponse> response = Optional.empty();
        long longestNs = 0;
        while (messages.hasNext()) {
            assertThat(response).isEmpty();
            byte[] message = messages.next();
            long startNs = System.nanoTime();
            response = read(message, turns);
            longestNs = Math.max(longestNs, System.nanoTime() - startNs);
        }
        System.out.println(turns.size() + " messages, the longest took " + longestNs / 1_000 + " us, cold code among it");
        assertThat(turns).hasSizeGreaterThanOrEqualTo(38_000 / TransferAssembler.RECORDS_PER_TURN);
        assertThat(response).contains(new FullCopy(content));
    }

    @Test
    void aFullMessageTakesSeveralTurns() throws Exception {
        ZoneContent content = samples.content(VERSION, SERVERS_OF_MESSAGE);
        List<Record> records = records(content);
        List<Integer> turns = new ArrayList<>();
        assertThat(read(message(records), turns)).contains(new FullCopy(content));
        assertThat(turns).containsExactly((records.size() - 1) / TransferAssembler.RECORDS_PER_TURN + 1);
    }

    @Test
    void aServerWithoutARecordSpoilsAllThatCameBefore() throws Exception {
        List<Record> records = records(samples.content(VERSION, SERVERS_OF_MESSAGE));
        records.remove(records.size() / 2);
        assertThatThrownBy(() -> read(message(records), new ArrayList<>())).isInstanceOf(TransferException.class)
            .hasMessageContaining("without all of its records");
        assertThat(assembler.isWithinMessage()).isFalse();
        assertThatThrownBy(() -> assembler.begin(message(records))).isInstanceOf(TransferException.class);
    }

    @Test
    void aRecordThatComesAgainInALaterMessageSpoilsTheCopy() throws Exception {
        List<Record> records = records(samples.content(VERSION, SERVERS_OF_MESSAGE));
        int half = records.size() / 2;
        assertThat(read(message(records.subList(0, half)), new ArrayList<>())).isEmpty();
        List<Record> again = new ArrayList<>(records.subList(1, 2));
        again.addAll(records.subList(half, records.size()));
        assertThatThrownBy(() -> read(message(again), new ArrayList<>())).isInstanceOf(TransferException.class)
            .hasMessageContaining("twice");
    }
}
