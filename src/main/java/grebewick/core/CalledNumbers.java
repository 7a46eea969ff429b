package grebewick.core;

import java.util.Map;
import java.util.TreeMap;

/**
 * The throttle by number called: set-ups to a number whose lines are busy are kept to a trickle. Times are microseconds of
 * the core's clock.
 */
final class CalledNumbers {
    private final long shortestGapUs;
    private final long longestGapUs;
    private final Map<String, Throttle> throttles = new TreeMap<>();

    /** After a busy line a number gets nothing for a gap that doubles between these. */
    CalledNumbers(long shortestGapUs, long longestGapUs) {
        this.shortestGapUs = shortestGapUs;
        this.longestGapUs = longestGapUs;
    }

    /** Whether a set-up to that number would only find it busy. */
    boolean isBlocked(String number, long nowUs) {
        Throttle throttle = throttles.get(number);
        return throttle != null && throttle.limit != Logic.OFF
            && (throttle.open >= throttle.limit || nowUs < throttle.pausedUntilUs);
    }

    /** A set-up to it goes out. */
    void opened(String number) {
        Throttle throttle = throttles.get(number);
        if (throttle != null) {
            throttle.open++;
        }
    }

    /** A set-up to it has ended, or stands. */
    void closed(String number) {
        Throttle throttle = throttles.get(number);
        if (throttle != null && throttle.open > 0) {
            throttle.open--;
        }
    }

    /** A call to it stands. */
    void completed(String number) {
        Throttle throttle = throttles.get(number);
        if (throttle != null) {
            throttle.completed++;
            throttle.gapUs = 0;
        }
    }

    /** All its lines were busy. */
    void busy(String number, long nowUs) {
        if (number.isEmpty()) {
            return;
        }
        Throttle throttle = throttles.computeIfAbsent(number, k -> new Throttle());
        throttle.limit = throttle.limit == Logic.OFF ? Math.max(1, throttle.open) : throttle.limit;
        throttle.overloaded = true;
        throttle.gapUs = Math.min(longestGapUs, Math.max(shortestGapUs, 2 * throttle.gapUs));
        throttle.pausedUntilUs = nowUs + throttle.gapUs;
    }

    /** The limits for the next interval, after one of {@code intervalUs}. */
    void endInterval(double intervalUs) {
        for (Throttle throttle : throttles.values()) {
            throttle.limit = Logic.nextLimit(throttle.limit, throttle.completed, shortestGapUs, intervalUs, throttle.overloaded,
                true);
            throttle.overloaded = false;
            throttle.completed = 0;
        }
        throttles.values().removeIf(throttle -> throttle.limit == Logic.OFF && throttle.open == 0);
    }

    private static final class Throttle {
        int limit = Logic.OFF;
        int open;
        int completed;
        boolean overloaded;
        long gapUs;
        long pausedUntilUs = Long.MIN_VALUE;
    }
}
