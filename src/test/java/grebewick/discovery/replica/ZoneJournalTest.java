package grebewick.discovery.replica;

import static grebewick.discovery.transfer.TransferSamples.ZONE;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import grebewick.config.Endpoint;
import grebewick.core.CallControl.ServerEntry;
import grebewick.core.CallControl.Stage;
import grebewick.discovery.transfer.TransferCodec;
import grebewick.discovery.transfer.TransferRequest;
import grebewick.discovery.transfer.TransferResponse;
import grebewick.discovery.transfer.TransferResponse.FullCopy;
import grebewick.discovery.transfer.TransferResponse.Incremental;
import grebewick.discovery.transfer.TransferResponse.TooLarge;
import grebewick.discovery.transfer.TransferResponse.UpToDate;
import grebewick.discovery.transfer.TransferSamples;
import grebewick.discovery.transfer.ZoneChange;
import grebewick.discovery.transfer.ZoneContent;
import grebewick.discovery.transfer.ZoneVersion;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** What a journal answers to whom, and that it leads each client to the current content. */
class ZoneJournalTest {
    private static final long EPOCH = 1_764_650_000_000L;
    private static final ZoneVersion FIRST = new ZoneVersion(EPOCH, 1);
    private static final HistoryLimits WIDE = new HistoryLimits(4_096, 1 << 20);
    private final TransferSamples samples = new TransferSamples(4_242);

    /** Lets a client that holds a content take an answer over. */
    private static ZoneContent follow(ZoneContent held, TransferResponse response) throws Exception {
        if (response instanceof FullCopy full) {
            return full.content();
        }
        ZoneContent content = held;
        if (response instanceof Incremental incremental) {
            for (ZoneChange change : incremental.changes()) {
                content = content.apply(change);
            }
        }
        return content;
    }

    /** Any earlier version of a thousand, at any size of answers: whoever is answered ends with the current content. */
    @Test
    void everyClientIsLedToTheCurrentContent() throws Exception {
        Random random = new Random(77);
        ZoneJournal journal = new ZoneJournal(ZONE, new HistoryLimits(100, 1 << 20));
        List<ZoneContent> versions = new ArrayList<>();
        ZoneContent content = samples.content(FIRST, 15);
        int copies = 0;
        int changes = 0;
        for (int i = 0; i < 1_000; i++) {
            versions.add(content);
            assertThat(journal.take(content)).isTrue();
            ZoneContent held = versions.get(random.nextInt(versions.size()));
            int mostBytes = 500 + random.nextInt(6_000);
            TransferResponse response = journal.answer(Optional.of(held.version()), mostBytes);
            if (!(response instanceof TooLarge)) {
                assertThat(follow(held, response)).isEqualTo(content);
                byte[] bytes = TransferCodec.encodeDatagram(new TransferRequest(1, ZONE, Optional.empty()), response);
                assertThat(bytes.length).isLessThanOrEqualTo(mostBytes);
            }
            copies += response instanceof FullCopy ? 1 : 0;
            changes += response instanceof Incremental ? 1 : 0;
            content = samples.next(content, 1 + random.nextInt(2));
        }
        assertThat(copies).isPositive();
        assertThat(changes).isPositive();
    }

    @Test
    void olderAndEqualContentsChangeNothing() {
        ZoneJournal journal = new ZoneJournal(ZONE, WIDE);
        ZoneContent first = samples.content(FIRST, 5);
        ZoneContent second = samples.next(first, 1);
        assertThat(journal.take(second)).isTrue();
        assertThat(journal.take(first)).isFalse();
        assertThat(journal.take(second)).isFalse();
        assertThat(journal.take(samples.content(new ZoneVersion(EPOCH - 1, 1_000), 5))).isFalse();
        assertThat(journal.current()).contains(second);
    }

    /** A client that is ahead hears the version alone: it sees that this replica is behind. */
    @Test
    void aClientThatIsAheadHearsTheVersionAlone() {
        ZoneJournal journal = new ZoneJournal(ZONE, WIDE);
        journal.take(samples.content(FIRST, 5));
        for (ZoneVersion held : List.of(FIRST, FIRST.next(), new ZoneVersion(EPOCH + 1, 1))) {
            assertThat(journal.answer(Optional.of(held), Integer.MAX_VALUE)).isEqualTo(new UpToDate(FIRST));
        }
    }

    @Test
    void aNewEpochAndAVersionOfAnotherChainGetTheWholeZone() {
        ZoneJournal journal = new ZoneJournal(ZONE, WIDE);
        ZoneContent first = samples.content(FIRST, 5);
        journal.take(first);
        // Numbers 2 to 4 were skipped here: this replica heard of them in one change.
        ZoneContent fifth = new ZoneContent(new ZoneVersion(EPOCH, 5), samples.next(first, 2).servers());
        journal.take(fifth);
        assertThat(journal.answer(Optional.of(FIRST), Integer.MAX_VALUE)).isInstanceOf(Incremental.class);
        assertThat(journal.answer(Optional.of(new ZoneVersion(EPOCH, 3)), Integer.MAX_VALUE)).isEqualTo(new FullCopy(fifth));
        ZoneContent anew = samples.content(new ZoneVersion(EPOCH + 1, 1), 5);
        journal.take(anew);
        assertThat(journal.historyLength()).isZero();
        assertThat(journal.answer(Optional.of(fifth.version()), Integer.MAX_VALUE)).isEqualTo(new FullCopy(anew));
        assertThat(journal.answer(Optional.of(fifth.version()), 300)).isEqualTo(new TooLarge(anew.version()));
        assertThat(journal.answer(Optional.empty(), Integer.MAX_VALUE)).isEqualTo(new FullCopy(anew));
    }

    @Test
    void historyIsBoundedByCountAndByBytes() {
        for (HistoryLimits limits : List.of(new HistoryLimits(10, 1 << 20), new HistoryLimits(4_096, 8_000))) {
            ZoneJournal journal = new ZoneJournal(ZONE, limits);
            ZoneContent content = samples.content(FIRST, 50);
            for (int i = 0; i < 500; i++) {
                journal.take(content);
                content = samples.next(content, 2);
                assertThat(journal.historyLength()).isLessThanOrEqualTo(limits.changes());
                assertThat(journal.historyBytes()).isLessThanOrEqualTo(limits.bytes());
            }
            assertThat(journal.historyLength()).isPositive();
            assertThat(journal.answer(Optional.of(FIRST), Integer.MAX_VALUE)).isInstanceOf(FullCopy.class);
        }
    }

    /** 240 changes at once, most of them of the same few servers: one condensed change, or the zone where that is less. */
    @Test
    void aBurstIsCondensed() throws Exception {
        ZoneJournal journal = new ZoneJournal(ZONE, WIDE);
        ZoneContent start = samples.content(FIRST, 190);
        journal.take(start);
        ZoneContent content = start;
        String id = start.servers().keySet().iterator().next();
        for (int i = 0; i < 240; i++) {
            List<Endpoint> servers = new ArrayList<>(content.servers().values());
            servers.replaceAll(server -> server.entry().server().equals(id) ? toggled(server) : server);
            content = ZoneContent.of(content.version().next(), servers);
            journal.take(content);
        }
        TransferResponse response = journal.answer(Optional.of(FIRST), TransferCodec.MAX_DATAGRAM);
        assertThat(((Incremental) response).changes()).hasSize(1);
        assertThat(follow(start, response)).isEqualTo(content);
        assertThat(((Incremental) response).changes().get(0).added()).as("it is as it was").isEmpty();
        assertThat(follow(content, journal.answer(Optional.of(content.version()), 1_232))).isEqualTo(content);
    }

    private static Endpoint toggled(Endpoint server) {
        ServerEntry e = server.entry();
        Stage stage = e.stage() == Stage.HEALTHY ? Stage.DRAINING : Stage.HEALTHY;
        return new Endpoint(new ServerEntry(e.server(), e.placeNo(), stage, e.startedAtUs(), e.model(), e.zone(), e.weight()),
            server.address());
    }

    /** A zone of 760 servers is gone and back: both go as whole copies or one change, and the end is the beginning. */
    @Test
    void serversThatAreGoneAndBackAreNoChange() throws Exception {
        ZoneJournal journal = new ZoneJournal(ZONE, new HistoryLimits(4_096, 1 << 21));
        ZoneContent all = samples.content(FIRST, 3_800);
        List<Endpoint> rest = new ArrayList<>(all.servers().values()).subList(760, 3_800);
        ZoneContent without = ZoneContent.of(FIRST.next(), rest);
        ZoneContent back = new ZoneContent(FIRST.next().next(), all.servers());
        journal.take(all);
        journal.take(without);
        assertThat(follow(all, journal.answer(Optional.of(all.version()), Integer.MAX_VALUE))).isEqualTo(without);
        journal.take(back);
        TransferResponse response = journal.answer(Optional.of(all.version()), TransferCodec.MAX_DATAGRAM);
        assertThat(follow(all, response)).isEqualTo(back);
        assertThat(response).as("fits a datagram").isInstanceOf(Incremental.class);
        assertThat(journal.answer(Optional.of(without.version()), TransferCodec.MAX_DATAGRAM)).isInstanceOf(TooLarge.class);
        assertThat(follow(without, journal.answer(Optional.of(without.version()), Integer.MAX_VALUE))).isEqualTo(back);
    }

    @Test
    void aListGrownTenfoldIsServed() throws Exception {
        ZoneJournal journal = new ZoneJournal(ZONE, WIDE);
        ZoneContent content = samples.content(FIRST, 3_800);
        journal.take(content);
        List<Endpoint> servers = new ArrayList<>(content.servers().values());
        servers.addAll(samples.content(FIRST, 34_200).servers().values());
        ZoneContent grown = ZoneContent.of(FIRST.next(), servers);
        journal.take(grown);
        assertThat(follow(content, journal.answer(Optional.of(FIRST), Integer.MAX_VALUE))).isEqualTo(grown);
        ZoneContent changed = samples.next(grown, 1);
        journal.take(changed);
        assertThat(follow(grown, journal.answer(Optional.of(grown.version()), 1_232))).isEqualTo(changed);
    }

    @Test
    void aJournalThatHoldsNothingAnswersNothing() {
        ZoneJournal journal = new ZoneJournal(ZONE, WIDE);
        assertThatThrownBy(() -> journal.answer(Optional.empty(), 1_232)).isInstanceOf(IllegalStateException.class);
    }
}
