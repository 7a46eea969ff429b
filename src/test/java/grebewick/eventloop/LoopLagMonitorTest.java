package grebewick.eventloop;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The loop's watch and its sleep, on a clock that the test sets. */
class LoopLagMonitorTest {
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
        new LoopLagMonitor(() -> nowUs, (us, run) -> {
            task = run;
            return () -> {};
        }, () -> new ActivityCount(callers, 2 * callers, 0), log::add).start();
        for (int i = 0; i < 200; i++) {
            look(LoopLagMonitor.LOOK_US + 1_000);
        }
        assertThat(log).as("in time, but for the timers' own roughness").isEmpty();
        look(LoopLagMonitor.LOOK_US + 70_000);
        callers = 41;
        look(LoopLagMonitor.LOOK_US + 130_000);
        for (int i = 0; i < 200; i++) {
            look(LoopLagMonitor.LOOK_US);
        }
        assertThat(log).containsExactly("loop: late 2 times, by 200 ms in all, 130 ms at most, with 41 messages from callers, "
            + "82 from servers, 0 ends told");
    }

    /** Guards the processor: a select that is asked for less than a millisecond spins through it. */
    @Test
    void whatIsToSleepSleepsForWholeMilliseconds() {
        assertThat(MillisecondTimers.up(1)).isEqualTo(1_000_000);
        assertThat(MillisecondTimers.up(1_000_000)).isEqualTo(1_000_000);
        assertThat(MillisecondTimers.up(1_400_000)).isEqualTo(2_000_000);
        assertThat(MillisecondTimers.up(0)).isZero();
        assertThat(MillisecondTimers.up(-5)).isEqualTo(-5);
        assertThat(MillisecondTimers.up(Long.MAX_VALUE)).isEqualTo(Long.MAX_VALUE);
    }
}
