package grebewick.lab;

import static org.assertj.core.api.Assertions.assertThat;

import grebewick.lab.CallTimes.Span;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class LatencyPartsTest {
    @Test
    void aCallCountsFromTheMomentThatItWasMeantFor() {
        CallTimes times = new CallTimes(0, 1_000);
        times.written(1, 100, 150);
        times.setUp(1, 160);
        times.answerSent(1, 180);
        times.answered(1, 200);
        assertThat(times.histogram(Span.TOTAL).getMaxValue()).isEqualTo(100);
        assertThat(times.histogram(Span.GENERATOR).getMaxValue()).isEqualTo(50);
        assertThat(times.histogram(Span.FORWARD).getMaxValue()).isEqualTo(10);
        assertThat(times.histogram(Span.SERVER).getMaxValue()).isEqualTo(20);
        assertThat(times.histogram(Span.BACK).getMaxValue()).isEqualTo(20);
    }

    @Test
    void aServerMayTellOfACallBeforeItsCallerDoes() {
        CallTimes times = new CallTimes(0, 1_000);
        times.setUp(1, 160);
        times.written(1, 100, 150);
        times.answerSent(1, 180);
        times.answered(1, 200);
        assertThat(times.histogram(Span.FORWARD).getMaxValue()).isEqualTo(10);
    }

    @Test
    void callsMeantForOtherTimesAreNotCounted() {
        CallTimes times = new CallTimes(100, 200);
        times.written(1, 99, 99);
        times.written(2, 100, 100);
        times.written(3, 199, 250);
        times.written(4, 200, 200);
        times.answered(1, 300);
        times.answered(2, 300);
        times.answered(4, 300);
        assertThat(times.histogram(Span.TOTAL).getTotalCount()).isEqualTo(1);
        assertThat(times.unanswered()).isEqualTo(1);
    }

    @Test
    void callsThatAreDueStartWithTheMomentThatTheyWereMeantFor() {
        Vertx vertx = Vertx.vertx();
        try {
            List<Long> meant = new ArrayList<>();
            Pacer pacer = new Pacer(vertx, 1_000, 100, 0.05, meant::add);
            pacer.startDue(999);
            assertThat(meant).isEmpty();
            pacer.startDue(21_000);
            assertThat(meant).containsExactly(1_000L, 11_000L, 21_000L);
            pacer.startDue(1_000_000);
            assertThat(meant).containsExactly(1_000L, 11_000L, 21_000L, 31_000L, 41_000L);
        } finally {
            vertx.close();
        }
    }
}
