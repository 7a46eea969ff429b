package grebewick.lab.fleet;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import grebewick.lab.fleet.ChangeTimes.Holders;
import java.util.List;
import org.junit.jupiter.api.Test;

class WorkerReportTest {
    private static final WorkerReport FIRST = new WorkerReport(3, 70, 5, 10, 1, List.of(new Holders(50, 3, 60)));
    private static final WorkerReport SECOND = new WorkerReport(2, 90, 6, 20, 2,
        List.of(new Holders(40, 1, 45), new Holders(50, 2, 55)));

    @Test
    void aReportIsReadAsItWasWritten() {
        List<String> lines = SECOND.lines();
        assertThat(lines).last().isEqualTo(WorkerReport.END);
        assertThat(WorkerReport.parse(lines.subList(0, lines.size() - 1))).isEqualTo(SECOND);
    }

    @Test
    void reportsAddUpByChangeAndTheLatestCounts() {
        assertThat(FIRST.and(SECOND))
            .isEqualTo(new WorkerReport(5, 90, 11, 30, 3, List.of(new Holders(40, 1, 45), new Holders(50, 5, 60))));
    }

    @Test
    void aReportWithoutItsStateIsRefused() {
        assertThatThrownBy(() -> WorkerReport.parse(List.of("change 1 2 3"))).isInstanceOf(IllegalArgumentException.class);
    }

    @Test
    void gatekeepersThatHoldAChangeAreCountedUntilAllStartAnew() {
        ChangeTimes times = new ChangeTimes();
        times.held(50, 60);
        times.held(50, 58);
        times.current(70);
        assertThat(times.changes()).containsExactly(new Holders(50, 2, 60));
        assertThat(times.currentCount()).isEqualTo(1);
        assertThat(times.lastCurrentUs()).isEqualTo(70);
        times.clear();
        assertThat(times.changes()).isEmpty();
        assertThat(times.currentCount()).isZero();
    }
}
