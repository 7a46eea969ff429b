package grebewick;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The loop's watch and its sleep, on a clock that the test sets. */
class LoopTest {
    private final List<String> log = new ArrayList<>();
    private long nowUs;
    private long callers;
    private Runnable task;

    private void look(long us) {
        nowUs += us;
        task.run();
    }

    @Test
    void aLoopThatStoodStillIsToldOnceAPeriodWithWhatItDid() {
        new LoopWatch(() -> nowUs, (us, run) -> {
            task = run;
            return () -> {};
        }, () -> new Work(callers, 2 * callers, 0), log::add).start();
        for (int i = 0; i < 200; i++) {
            look(LoopWatch.LOOK_US + 1_000);
        }
        assertThat(log).as("in time, but for the timers' own roughness").isEmpty();
        look(LoopWatch.LOOK_US + 70_000);
        callers = 41;
        look(LoopWatch.LOOK_US + 130_000);
        for (int i = 0; i < 200; i++) {
            look(LoopWatch.LOOK_US);
        }
        assertThat(log).containsExactly("loop: late 2 times, by 200 ms in all, 130 ms at most, with 41 messages from callers, "
            + "82 from servers, 0 ends told");
    }

    /** Guards who still waits when a process ends: every look comes 5 ms late, and its time is up all the same. */
    @Test
    void lateLooksDoNotPutOffTheEndOfAProcess() {
        List<String> done = new ArrayList<>();
        new Leave(() -> nowUs, (us, run) -> {
            task = () -> {
                nowUs += us + 5_000;
                run.run();
            };
            return () -> {};
        }, 3_000_000, () -> new Debts(0, done.isEmpty() ? 1 : 0, 0, 0), () -> new Work(++callers, 0, 0), log::add,
            () -> done.add("answered at " + nowUs / 50_000), () -> done.add("gone at " + nowUs / 50_000)).start();
        while (done.size() < 2) {
            task.run();
        }
        assertThat(done).containsExactly("answered at 56", "gone at 60");
    }

    /** Guards an answer that is half written when the signal comes: the process stays until the network has taken it. */
    @Test
    void bytesThatHaveNotLeftKeepAProcessThatIsToldToEnd() {
        long[] bytes = {1};
        new Leave(() -> nowUs, (us, run) -> {
            task = () -> {
                nowUs += us;
                run.run();
            };
            return () -> {};
        }, 3_000_000, () -> new Debts(0, 0, 0, bytes[0]), () -> Work.NONE, log::add, () -> log.add("answers"),
            () -> log.add("gone")).start();
        for (int i = 0; i < 100; i++) {
            task.run();
        }
        assertThat(log).isEmpty();
        bytes[0] = 0;
        task.run();
        assertThat(log).as("one look more").isEmpty();
        task.run();
        assertThat(log).containsExactly("ends: nothing is owed", "gone");
    }

    /** Guards the processor: a select that is asked for less than a millisecond spins through it. */
    @Test
    void whatIsToSleepSleepsForWholeMilliseconds() {
        assertThat(WholeMillis.up(1)).isEqualTo(1_000_000);
        assertThat(WholeMillis.up(1_000_000)).isEqualTo(1_000_000);
        assertThat(WholeMillis.up(1_400_000)).isEqualTo(2_000_000);
        assertThat(WholeMillis.up(0)).isZero();
        assertThat(WholeMillis.up(-5)).isEqualTo(-5);
        assertThat(WholeMillis.up(Long.MAX_VALUE)).isEqualTo(Long.MAX_VALUE);
    }
}
