package grebewick.core;

import java.util.ArrayDeque;
import java.util.function.LongConsumer;

/**
 * Standing calls that can't stand any more, and are yet to be ended; the eldest first. They are ended in slices, one a run of
 * the core at the most: 500 at once must not keep set-ups waiting.
 */
final class InterruptedCalls {
    /** Calls that one run ends. */
    static final int SLICE = 32;
    /** us. To the next slice. */
    static final long GAP_US = 1_000;

    private final ArrayDeque<Long> calls = new ArrayDeque<>();
    private boolean timerSet;
    /** The run that ended the last slice. */
    private long sliceRun;

    void add(long call) {
        calls.add(call);
    }

    boolean isEmpty() {
        return calls.isEmpty();
    }

    /**
     * Hands out one slice, unless this run had its own.
     *
     * @param run number of the core's run, above 0
     * @return whether a timer is to be set for the next slice
     */
    boolean endSlice(long run, LongConsumer end) {
        for (int i = 0; i < SLICE && !calls.isEmpty() && run != sliceRun; i++) {
            end.accept(calls.poll());
        }
        sliceRun = run;
        if (calls.isEmpty() || timerSet) {
            return false;
        }
        timerSet = true;
        return true;
    }

    /** The timer for the next slice is due. */
    void timerFired() {
        timerSet = false;
    }
}
