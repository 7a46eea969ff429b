package grebewick.core;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * What is due later, in the order of its moments and, at one moment, of its being set. One timer of the event loop serves
 * them all. Times are microseconds of the core's clock.
 */
final class PendingTimers {
    /** What is due. */
    enum Kind { REMINDER, HELD_ATTEMPT, END_OF_ATTEMPT, END_OF_CALL, INTERRUPTED_CALLS, LIST_LEASES }

    /**
     * One of them.
     *
     * @param order in which it was set, among all
     * @param call of an attempt's or a call's end
     * @param number the attempt's, or the name of the module's reminder
     */
    record Timer(long atUs, long order, Kind kind, long call, long number) {}

    private final Timers timers;
    private final Runnable whenDue;
    private final PriorityQueue<Timer> pending = new PriorityQueue<>(
        Comparator.comparingLong(Timer::atUs).thenComparingLong(Timer::order));
    private long nextOrder;
    /** The moment for which the loop's timer is set. */
    private long armedUs = Long.MAX_VALUE;
    private Runnable disarm = () -> {};

    /** {@code whenDue} is run by the loop's timer. */
    PendingTimers(Timers timers, Runnable whenDue) {
        this.timers = timers;
        this.whenDue = whenDue;
    }

    void add(long atUs, Kind kind, long call, long number) {
        pending.add(new Timer(atUs, nextOrder++, kind, call, number));
    }

    /** The next that is due, taken out; null: none is. */
    Timer pollDue(long nowUs) {
        return pending.isEmpty() || pending.peek().atUs > nowUs ? null : pending.poll();
    }

    /** Sets the loop's timer anew, if something is due before it. */
    void arm(long nowUs) {
        if (!pending.isEmpty() && pending.peek().atUs < armedUs) {
            armedUs = pending.peek().atUs;
            disarm.run();
            disarm = timers.after(armedUs - nowUs, this::fired);
        }
    }

    private void fired() {
        armedUs = Long.MAX_VALUE;
        whenDue.run();
    }
}
