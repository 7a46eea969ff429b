package grebewick.core;

import static org.assertj.core.api.Assertions.assertThat;

import grebewick.core.PendingTimers.Kind;
import grebewick.play.HandClock;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** One timer of the loop for all that is due. */
class PendingTimersTest {
    private final HandClock clock = new HandClock();
    private final List<Long> names = new ArrayList<>();
    private int fired;
    private final PendingTimers pending = new PendingTimers(clock, this::due);

    private void due() {
        fired++;
        for (PendingTimers.Timer timer = pending.pollDue(clock.nowUs()); timer != null; timer = pending.pollDue(clock.nowUs())) {
            names.add(timer.number());
        }
        pending.arm(clock.nowUs());
    }

    private void remind(long inUs, long name) {
        pending.add(clock.nowUs() + inUs, Kind.REMINDER, 0, name);
        pending.arm(clock.nowUs());
    }

    @Test
    void dueInOrderOfTheirMomentsAndOfBeingSet() {
        remind(300, 1);
        remind(100, 2);
        remind(300, 3);
        clock.pass(100);
        assertThat(names).containsExactly(2L);
        clock.pass(199);
        assertThat(names).containsExactly(2L);
        clock.pass(1);
        assertThat(names).containsExactly(2L, 1L, 3L);
    }

    @Test
    void anEarlierOneTakesThePlaceOfTheLoopsTimer() {
        remind(300, 1);
        remind(100, 2);
        remind(200, 3);
        clock.pass(1_000);
        assertThat(names).containsExactly(2L, 3L, 1L);
        assertThat(fired).as("one timer at a time").isEqualTo(3);
    }

    @Test
    void nothingIsDueBeforeItsMoment() {
        remind(100, 1);
        assertThat(pending.pollDue(clock.nowUs() + 99)).isNull();
        assertThat(pending.pollDue(clock.nowUs() + 100).number()).isEqualTo(1);
        assertThat(pending.pollDue(clock.nowUs() + 100)).isNull();
    }
}
