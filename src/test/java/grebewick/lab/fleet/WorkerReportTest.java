package grebewick.lab.fleet;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import grebewick.lab.fleet.ChangeTimes.Holders;
import java.util.List;
import java.util.Map;
import java.util.stream.LongStream;
import org.HdrHistogram.Histogram;
import org.junit.jupiter.api.Test;

class WorkerReportTest {
    private static final WorkerReport FIRST = new WorkerReport(3, 70, 5, 10, 1, List.of(new Holders(50, 3, 60)),
        delays(10, 10, 9));
    private static final WorkerReport SECOND = new WorkerReport(2, 90, 6, 20, 2,
        List.of(new Holders(40, 1, 45), new Holders(50, 2, 55)), delays(5, 5, 4));

    private static Histogram delays(long... us) {
        Histogram histogram = ChangeTimes.newHistogram();
        LongStream.of(us).forEach(histogram::recordValue);
        return histogram;
    }

    @Test
    void aReportIsReadAsItWasWritten() {
        List<String> lines = SECOND.lines();
        assertThat(lines).last().isEqualTo(WorkerReport.END);
        assertThat(WorkerReport.parse(lines.subList(0, lines.size() - 1))).isEqualTo(SECOND);
    }

    @Test
    void reportsAddUpByChangeAndTheLatestCounts() {
        assertThat(FIRST.and(SECOND))
            .isEqualTo(new WorkerReport(5, 90, 11, 30, 3, List.of(new Holders(40, 1, 45), new Holders(50, 5, 60)),
                delays(4, 5, 5, 9, 10, 10)));
    }

    @Test
    void aReportWithoutItsStateIsRefused() {
        assertThatThrownBy(() -> WorkerReport.parse(List.of("change 1 2 3"))).isInstanceOf(IllegalArgumentException.class);
        assertThatThrownBy(() -> WorkerReport.parse(List.of("state 1 2 3 4 5", "other")))
            .isInstanceOf(IllegalArgumentException.class);
        assertThatThrownBy(() -> WorkerReport.parse(List.of("state 1 2 3 4 5", "delays AAAA")))
            .isInstanceOf(RuntimeException.class);
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
        assertThat(times.delaysUs()).isEqualTo(delays(10, 8));
        times.clear();
        assertThat(times.changes()).isEmpty();
        assertThat(times.delaysUs().getTotalCount()).isZero();
        assertThat(times.currentCount()).isZero();
    }

    @Test
    void changesBeforeTheBeginningOfAPartDoNotCount() {
        ChangeTimes times = new ChangeTimes();
        times.held(50, 60);
        times.begin(100);
        times.held(99, 130);
        times.held(100, 130);
        times.current(140);
        times.clear();
        times.held(50, 150);
        times.held(101, 150);
        assertThat(times.changes()).containsExactly(new Holders(101, 1, 150));
        assertThat(times.delaysUs()).isEqualTo(delays(49));
    }

    @Test
    void aDelayBeyondTheLongestCountsAsThatOne() {
        ChangeTimes times = new ChangeTimes();
        times.held(0, 2 * ChangeTimes.LONGEST_US);
        assertThat(times.delaysUs()).isEqualTo(delays(ChangeTimes.LONGEST_US));
    }

    @Test
    void aChangeIsHeldByAllOnceAsManyAsExpectedHoldIt() {
        Map<Long, Integer> expected = Map.of(40L, 1, 50L, 5, 60L, 1);
        assertThat(SECOND.heldByAll(expected)).containsExactly(new Holders(40, 1, 45));
        assertThat(FIRST.and(SECOND).heldByAll(expected)).hasSize(2);
        assertThat(FIRST.and(SECOND).heldByAll(Map.of(50L, 6))).isEmpty();
    }
}
