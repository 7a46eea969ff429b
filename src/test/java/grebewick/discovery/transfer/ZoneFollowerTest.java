package grebewick.discovery.transfer;

import static org.assertj.core.api.Assertions.assertThat;

import grebewick.discovery.transfer.TransferResponse.FullCopy;
import grebewick.discovery.transfer.TransferResponse.Incremental;
import grebewick.discovery.transfer.TransferResponse.TooLarge;
import grebewick.discovery.transfer.TransferResponse.UpToDate;
import grebewick.discovery.transfer.ZoneFollower.Outcome;
import java.util.List;
import org.junit.jupiter.api.Test;

/** What an answer may change of a zone. */
class ZoneFollowerTest {
    private final TransferSamples samples = new TransferSamples(77);
    private final ZoneFollower follower = new ZoneFollower(TransferSamples.ZONE);
    private final ZoneContent start = samples.content(new ZoneVersion(1, 10), 5);
    private final List<ZoneChange> chain = samples.chain(start, 4);

    private static ZoneVersion version(long epoch, long serial) {
        return new ZoneVersion(epoch, serial);
    }

    private Outcome changes(int from, int to) {
        return follower.accept(new Incremental(chain.subList(from, to)));
    }

    private void hold() {
        assertThat(follower.accept(new FullCopy(start))).isEqualTo(Outcome.APPLIED);
    }

    @Test
    void withNothingHeldOnlyACopyHelps() {
        assertThat(follower.asked()).isEmpty();
        assertThat(follower.accept(new UpToDate(version(1, 1)))).isEqualTo(Outcome.NEEDS_TRANSFER);
        assertThat(changes(0, 2)).isEqualTo(Outcome.NEEDS_COPY);
        assertThat(follower.content()).isEmpty();
        hold();
        assertThat(follower.content()).contains(start);
    }

    @Test
    void changesInOrderTwiceAndTooLate() {
        hold();
        assertThat(changes(0, 2)).isEqualTo(Outcome.APPLIED);
        assertThat(changes(0, 2)).as("twice").isEqualTo(Outcome.CURRENT);
        assertThat(changes(0, 1)).as("older").isEqualTo(Outcome.BEHIND);
        assertThat(changes(0, 4)).as("those held and more").isEqualTo(Outcome.APPLIED);
        assertThat(follower.held()).contains(version(1, 14));
        assertThat(follower.accept(new UpToDate(version(1, 13)))).isEqualTo(Outcome.BEHIND);
        assertThat(follower.accept(new UpToDate(version(1, 14)))).isEqualTo(Outcome.CURRENT);
        assertThat(follower.accept(new TooLarge(version(1, 15)))).isEqualTo(Outcome.NEEDS_TRANSFER);
    }

    @Test
    void aGapLeadsToACopyAndChangesNothing() {
        hold();
        assertThat(changes(1, 3)).isEqualTo(Outcome.NEEDS_COPY);
        assertThat(follower.content()).contains(start);
        assertThat(follower.asked()).as("a copy is asked for").isEmpty();
        assertThat(changes(0, 4)).as("or the chain comes after all").isEqualTo(Outcome.APPLIED);
        assertThat(follower.asked()).contains(version(1, 14));
    }

    /** The second change removes a server that is not there: the first one is not applied either. */
    @Test
    void changesThatDoNotFitAreNotAppliedInPart() {
        hold();
        ZoneChange wrong = new ZoneChange(chain.get(0).to(), version(1, 12), List.of(samples.server()), List.of());
        assertThat(follower.accept(new Incremental(List.of(chain.get(0), wrong)))).isEqualTo(Outcome.NEEDS_COPY);
        assertThat(follower.content()).contains(start);
    }

    @Test
    void anOlderCopyIsIgnoredAndOneOfALaterEpochTaken() {
        hold();
        ZoneContent older = samples.content(version(1, 9), 3);
        ZoneContent anew = samples.content(version(2, 1), 3);
        assertThat(follower.accept(new FullCopy(older))).isEqualTo(Outcome.BEHIND);
        assertThat(follower.content()).contains(start);
        assertThat(follower.accept(new FullCopy(anew))).isEqualTo(Outcome.APPLIED);
        assertThat(follower.accept(new FullCopy(start))).isEqualTo(Outcome.BEHIND);
        assertThat(changes(0, 4)).as("higher numbers of the epoch before").isEqualTo(Outcome.BEHIND);
        assertThat(follower.content()).contains(anew);
    }
}
