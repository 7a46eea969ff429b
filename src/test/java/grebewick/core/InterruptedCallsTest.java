package grebewick.core;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/** Slices of calls that are ended, one a run. */
class InterruptedCallsTest {
    private final InterruptedCalls calls = new InterruptedCalls();
    private final List<Long> ended = new ArrayList<>();

    private void add(int number) {
        LongStream.rangeClosed(1, number).forEach(calls::add);
    }

    @Test
    void oneSliceARunTheEldestFirst() {
        add(InterruptedCalls.SLICE + 1);
        assertThat(calls.endSlice(1, ended::add)).isTrue();
        assertThat(ended).hasSize(InterruptedCalls.SLICE).startsWith(1L, 2L);
        calls.endSlice(1, ended::add);
        assertThat(ended).as("the same run").hasSize(InterruptedCalls.SLICE);
        assertThat(calls.endSlice(2, ended::add)).isFalse();
        assertThat(ended).hasSize(InterruptedCalls.SLICE + 1);
        assertThat(calls.isEmpty()).isTrue();
    }

    @Test
    void aTimerIsAskedForOnceUntilItFires() {
        add(4 * InterruptedCalls.SLICE);
        assertThat(calls.endSlice(1, ended::add)).isTrue();
        assertThat(calls.endSlice(2, ended::add)).as("its timer is set").isFalse();
        calls.timerFired();
        assertThat(calls.endSlice(3, ended::add)).isTrue();
        calls.timerFired();
        assertThat(calls.endSlice(4, ended::add)).as("nothing is left").isFalse();
    }
}
