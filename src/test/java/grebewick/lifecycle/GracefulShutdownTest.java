package grebewick.lifecycle;

import static org.assertj.core.api.Assertions.assertThat;

import grebewick.core.Timers;
import grebewick.eventloop.ActivityCount;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The end of a process that was told to end, on a clock that the test sets. */
class GracefulShutdownTest {
    private final List<String> log = new ArrayList<>();
    private long nowUs;
    private long callers;
    private Runnable task;

    /** Guards who still waits when a process ends: every look comes 5 ms late, and its time is up all the same. */
    @Test
    void lateLooksDoNotPutOffTheEndOfAProcess() {
        List<String> done = new ArrayList<>();
        new GracefulShutdown(() -> nowUs, (us, run) -> {
            task = () -> {
                nowUs += us + 5_000;
                run.run();
            };
            return () -> {};
        }, 3_000_000, () -> new PendingWork(0, done.isEmpty() ? 1 : 0, 0, 0), () -> new ActivityCount(++callers, 0, 0), log::add,
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
        new GracefulShutdown(() -> nowUs, (us, run) -> {
            task = () -> {
                nowUs += us;
                run.run();
            };
            return () -> {};
        }, 3_000_000, () -> new PendingWork(0, 0, 0, bytes[0]), () -> ActivityCount.NONE, log::add, () -> log.add("answers"),
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

    /** A late loop has not read what came before its last look. */
    @Test
    void aRequestThatIsNotReadYetKeepsAProcessThatIsToldToEnd() {
        Runnable[] afterInput = {() -> {}};
        Timers timers = new Timers() {
            @Override
            public Runnable after(long us, Runnable run) {
                task = () -> {
                    nowUs += us;
                    run.run();
                };
                return () -> {};
            }

            @Override
            public void afterInput(Runnable run) {
                afterInput[0] = run;
            }
        };
        new GracefulShutdown(() -> nowUs, timers, 3_000_000, () -> PendingWork.NONE, () -> new ActivityCount(callers, 0, 0),
            log::add, () -> log.add("answers"), () -> log.add("gone")).start();
        task.run();
        task.run();
        assertThat(log).as("not before all input is read").isEmpty();
        callers++;
        afterInput[0].run();
        assertThat(log).as("another has come").isEmpty();
        task.run();
        task.run();
        afterInput[0].run();
        assertThat(log).containsExactly("ends: nothing is owed", "gone");
    }
}
