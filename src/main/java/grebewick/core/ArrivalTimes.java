package grebewick.core;

import java.util.LinkedHashMap;
import java.util.Map;

/** When calls came in, and when their callers first tried. Times are microseconds of the core's clock. */
final class ArrivalTimes {
    private final long toleranceUs;
    /** By number called: a number dialled again is taken for the same caller's next try. */
    private final Map<String, Long> firstTries = new LinkedHashMap<>();
    /** How long before its end a try comes in, as last seen twice in a row; 0: not known. */
    private long usualLeftUs;
    private long lastLeftUs;

    /** Tries count as alike whose time left differs by no more than {@code toleranceUs}. */
    ArrivalTimes(long toleranceUs) {
        this.toleranceUs = toleranceUs;
    }

    /** When a call came in: earlier than now where it waited while this gateway stood still. */
    long arrivedUs(long dropDeadUs, long nowUs, boolean stoodStill) {
        long leftUs = dropDeadUs - nowUs;
        if (stoodStill) {
            return nowUs - Math.max(0, usualLeftUs - leftUs);
        }
        usualLeftUs = Math.abs(leftUs - lastLeftUs) <= toleranceUs ? leftUs : usualLeftUs;
        lastLeftUs = leftUs;
        return nowUs;
    }

    /** When the caller of a call that came in at that time first tried. */
    long firstTryUs(String number, long arrivedUs) {
        return number.isEmpty() ? arrivedUs : firstTries.computeIfAbsent(number, k -> arrivedUs);
    }

    void forgetBefore(long us) {
        firstTries.values().removeIf(firstUs -> firstUs < us);
    }
}
