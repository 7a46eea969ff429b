package grebewick.eventloop;

import grebewick.core.Clock;
import grebewick.core.Timers;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * How long the event loop kept others waiting, and what it was busy with meanwhile. A look that comes late by more
 * than a bound is told, the longest of each period, so that a stalled gatekeeper writes a line and not a flood.
 */
public final class LoopLagMonitor {
    /** us. Between looks. */
    static final long LOOK_US = 50_000;
    /** us. Lateness from which on it is told. */
    static final long TELL_US = 50_000;
    /** us. In which one line is written at most. */
    static final long PERIOD_US = 5_000_000;

    private final Clock clock;
    private final Timers timers;
    private final Supplier<ActivityCount> activity;
    private final Consumer<String> log;
    private ActivityCount before;
    private long dueUs;
    private long fromUs;
    private long longestUs;
    private long lateUs;
    private int late;
    private ActivityCount longest = ActivityCount.NONE;

    /** {@code activity}: what the loop has done so far; {@code log} takes the lines. */
    public LoopLagMonitor(Clock clock, Timers timers, Supplier<ActivityCount> activity, Consumer<String> log) {
        this.clock = clock;
        this.timers = timers;
        this.activity = activity;
        this.log = log;
    }

    /** Looks for the first time after {@link #LOOK_US}. */
    public void start() {
        before = activity.get();
        fromUs = clock.nowUs();
        next(fromUs);
    }

    private void next(long nowUs) {
        dueUs = nowUs + LOOK_US;
        timers.after(LOOK_US, this::look);
    }

    private void look() {
        long nowUs = clock.nowUs();
        ActivityCount now = activity.get();
        long us = nowUs - dueUs;
        if (us >= TELL_US) {
            late++;
            lateUs += us;
            if (us > longestUs) {
                longestUs = us;
                longest = now.since(before);
            }
        }
        before = now;
        if (late > 0 && nowUs - fromUs >= PERIOD_US) {
            log.accept("loop: late " + late + " times, by " + lateUs / 1000 + " ms in all, " + longestUs / 1000
                + " ms at most, with " + longest);
            late = 0;
            lateUs = 0;
            longestUs = 0;
        }
        fromUs = nowUs - fromUs >= PERIOD_US ? nowUs : fromUs;
        next(nowUs);
    }
}
