package grebewick.core;

/** Port for being woken: one wake-up is pending at most, and a new one takes the place of the old. */
@FunctionalInterface
public interface Timers {
    /** Call {@link Gatekeeper#wake()} at {@code momentUs} or soon after. */
    void wakeAt(long momentUs);
}
