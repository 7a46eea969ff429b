package grebewick.discovery.transfer;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Budgets, waits and intervals. */
class ByteBudgetTest {
    private static final long SECOND = 1_000_000;

    @Test
    void aDebtIsPaidBeforeAnythingIsStarted() {
        ByteBudget budget = new ByteBudget(1_000, 2_000);
        assertThat(budget.isOpen(0)).isTrue();
        budget.spend(0, 5_000);
        assertThat(budget.isOpen(2 * SECOND)).isFalse();
        assertThat(budget.opensAtUs(2 * SECOND)).isEqualTo(3 * SECOND + 1);
        assertThat(budget.isOpen(budget.opensAtUs(2 * SECOND))).isTrue();
        assertThat(budget.used()).isEqualTo(5_000);
    }

    /** However long nothing was used, no more than the burst is there at once. */
    @Test
    void aPauseSavesNoMoreThanTheBurst() {
        ByteBudget budget = new ByteBudget(1_000, 2_000);
        assertThat(budget.isOpen(0)).isTrue();
        budget.spend(3_600 * SECOND, 2_000);
        assertThat(budget.isOpen(3_600 * SECOND)).isFalse();
    }

    @Test
    void backoffDoublesUpToItsCapWithFullJitter() {
        System.out.println("seed 3");
        Backoff backoff = new Backoff(100, 1_000, new SplittableRandom(3));
        long[] most = new long[70];
        for (int failures = 1; failures < most.length; failures++) {
            for (int i = 0; i < 200; i++) {
                most[failures] = Math.max(most[failures], backoff.delayUs(failures));
            }
            assertThat(most[failures]).isBetween(Math.min(1_000, 100L << Math.min(failures - 1, 20)) * 9 / 10,
                Math.min(1_000, 100L << Math.min(failures - 1, 20)));
        }
    }

    @Test
    void theIntervalGrowsWithTheZonesSoThatTheBudgetHolds() {
        System.out.println("seed 4");
        assertThat(new PollSchedule(40, 2 * SECOND, 8_000, new SplittableRandom(4)).intervalUs()).isEqualTo(2 * SECOND);
        PollSchedule schedule = new PollSchedule(560, 2 * SECOND, 8_000, new SplittableRandom(4));
        assertThat(schedule.intervalUs()).isEqualTo(560 * 256 * SECOND / 8_000);
        for (int i = 0; i < 1_000; i++) {
            assertThat(schedule.nextUs(0, true)).isBetween(schedule.intervalUs() * 8 / 10, schedule.longestUs());
            assertThat(schedule.firstUs(0, SECOND)).isBetween(0L, SECOND);
        }
    }
}
