package grebewick.discovery.transfer;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Versions in their order, and changes applied in theirs. */
class ZoneContentTest {
    private final TransferSamples samples = new TransferSamples(1996);

    @Test
    void aLaterEpochIsLaterWhateverTheSerial() {
        ZoneVersion old = new ZoneVersion(3, ZoneVersion.MAX_SERIAL);
        assertThat(new ZoneVersion(4, 1).isAfter(old)).isTrue();
        assertThat(old.next()).isEqualTo(new ZoneVersion(4, 1));
        assertThat(new ZoneVersion(3, 0x8000_0001L).isAfter(new ZoneVersion(3, 1))).isTrue();
        assertThatThrownBy(() -> new ZoneVersion(0, 1)).isInstanceOf(IllegalArgumentException.class);
        assertThatThrownBy(() -> new ZoneVersion(1, ZoneVersion.MAX_SERIAL + 1)).isInstanceOf(IllegalArgumentException.class);
    }

    @Test
    void changesInOrderLeadToTheLatestContent() throws Exception {
        ZoneContent content = samples.content(new ZoneVersion(5, 1), 12);
        for (int i = 0; i < 200; i++) {
            ZoneContent next = samples.next(content, 1 + i % 4);
            assertThat(content.apply(content.changeTo(next))).isEqualTo(next);
            content = next;
        }
    }

    @Test
    void aChangeThatDoesNotFitIsRefused() {
        ZoneContent content = samples.content(new ZoneVersion(5, 1), 12);
        List<ZoneChange> chain = samples.chain(content, 3);
        assertThatThrownBy(() -> content.apply(chain.get(1))).isInstanceOf(TransferException.class);
        assertThatThrownBy(() -> content.apply(chain.get(0)).apply(chain.get(0))).isInstanceOf(TransferException.class);
        ZoneVersion next = content.version().next();
        assertThatThrownBy(() -> content.apply(new ZoneChange(content.version(), next, List.of(samples.server()), List.of())))
            .isInstanceOf(TransferException.class);
        assertThatThrownBy(() -> content.apply(new ZoneChange(content.version(), next, List.of(),
            List.of(content.servers().values().iterator().next())))).isInstanceOf(TransferException.class);
        assertThatThrownBy(() -> new ZoneChange(next, content.version(), List.of(), List.of()))
            .isInstanceOf(IllegalArgumentException.class);
    }
}
