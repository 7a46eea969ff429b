package grebewick.lab.measure;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.assertj.core.api.Assertions.within;

import java.time.Instant;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class MeasureTest {
    private static final String STAT = "42 (C1 Comp (x) 0) S 1 42 42 0 -1 4194304 10 0 0 0 250 50 0 0 20 0 21 0 100 1 1 1 1 1";

    @Test
    void aThreadsTimeIsUserAndSystemTimeWhateverItsName() {
        assertThat(ThreadTime.parseStat(STAT)).isEqualTo(new ThreadTime("C1 Comp (x) 0", 3_000_000_000L));
    }

    @Test
    void aLineThatIsCutShortIsRefused() {
        assertThatThrownBy(() -> ThreadTime.parseStat("42 (main) S 1 42")).isInstanceOf(IllegalArgumentException.class);
        assertThatThrownBy(() -> ThreadTime.parseStat("42 main S 1 42")).isInstanceOf(IllegalArgumentException.class);
    }

    @Test
    void schedulerStatisticsBeginWithTheTimeOnAProcessor() {
        assertThat(ThreadTime.parseSchedstat("123456789 77 5\n")).isEqualTo(123_456_789L);
    }

    @Test
    void memoryIsFoundByItsWholeKey() {
        List<String> status = List.of("Name:\tjava", "VmRSSx:\t1 kB", "VmRSS:\t   2048 kB", "VmHWM:\t  4096 kB");
        assertThat(ProcessSample.statusKb(status, "VmRSS")).isEqualTo(2048);
        assertThat(ProcessSample.statusKb(status, "VmHWM")).isEqualTo(4096);
        assertThat(ProcessSample.statusKb(status, "VmSwap")).isEqualTo(-1);
    }

    @Test
    void partsOfACoreAreProcessorTimeOverTime() {
        ProcessSample before = new ProcessSample(0, 0, Map.of("loop-1", 0L, "other", 0L), 1, 1, 1);
        ProcessSample after = new ProcessSample(1_000_000_000L, 600_000_000L,
            Map.of("loop-1", 250_000_000L, "other", 250_000_000L),
            1, 1, 1);
        assertThat(after.coresSince(before)).isCloseTo(0.6, within(1e-9));
        assertThat(after.coresSince(before, "loop")).isCloseTo(0.25, within(1e-9));
    }

    @Test
    void thisProcessCanBeRead() throws Exception {
        ProcessSample sample = ProcessSample.ofThisProcess();
        assertThat(sample.cpuNs()).isPositive();
        assertThat(sample.residentKb()).isPositive();
        assertThat(sample.descriptors()).isPositive();
    }

    @Test
    void theLoadIsReadFromItsLine() {
        MachineState state = MachineState.of(Instant.EPOCH, 8, "0.20 0.18 0.12 3/80 11206\n", 2);
        assertThat(state.loadAverage()).isEqualTo(0.20);
        assertThat(state.running()).isEqualTo(3);
        assertThat(state.toString()).contains("load average 0.20").contains("2 other Java processes");
    }

    @Test
    void aLineGoesThroughItsPoints() {
        LinearFit fit = LinearFit.of(List.of(new LinearFit.Point(1, 5), new LinearFit.Point(3, 9), new LinearFit.Point(5, 13)));
        assertThat(fit.slope()).isCloseTo(2, within(1e-9));
        assertThat(fit.intercept()).isCloseTo(3, within(1e-9));
        assertThat(fit.at(10)).isCloseTo(23, within(1e-9));
        assertThat(fit.largestError()).isCloseTo(0, within(1e-9));
    }

    @Test
    void theLargestDistanceFromTheLineIsAPartOfItsValue() {
        LinearFit fit = LinearFit.of(List.of(new LinearFit.Point(0, 9), new LinearFit.Point(0, 11), new LinearFit.Point(1, 20)));
        assertThat(fit.intercept()).isCloseTo(10, within(1e-9));
        assertThat(fit.largestError()).isCloseTo(0.1, within(1e-9));
    }

    @Test
    void aLineNeedsPointsAtTwoPlaces() {
        assertThatThrownBy(() -> LinearFit.of(List.of(new LinearFit.Point(1, 5), new LinearFit.Point(1, 6))))
            .isInstanceOf(IllegalArgumentException.class);
    }

    @Test
    void resultsAreATableAndJson() throws Exception {
        ResultTable table = new ResultTable("b", List.of("--x=1"), "size", "KB/s", "text");
        table.add(36, 0.25, "a \"word\"");
        table.note("idle");
        assertThat(table.markdown())
            .isEqualTo("| size | KB/s | text |\n| --- | --- | --- |\n| 36 | 0.2500 | a \"word\" |\n\nidle\n");
        assertThat(table.json()).contains("\"bench\" : \"b\"").contains("\"size\" : 36").contains("\"KB/s\" : 0.25")
            .contains("\"a \\\"word\\\"\"").contains("\"idle\"");
        assertThatThrownBy(() -> table.add(1)).isInstanceOf(IllegalArgumentException.class);
    }

    @Test
    void trafficAddsUpAndSubtracts() {
        Traffic first = Traffic.NONE.received(10).sent(5);
        Traffic second = first.sent(7).received(1);
        assertThat(second.since(first)).isEqualTo(new Traffic(1, 1, 1, 7));
        assertThat(second.plus(first).bytes()).isEqualTo(38);
        assertThat(second.messages()).isEqualTo(4);
    }
}
