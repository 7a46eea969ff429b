package grebewick.teardown;

import grebewick.core.Clock;
import grebewick.core.Timers;
import java.util.function.Predicate;

/**
 * {@link PendingTeardowns} with the loop's clock and timers: what is ready is written at once, in slices, so that a
 * burst of ends keeps no set-up waiting. Methods are those of {@link PendingTeardowns}, followed by the writing.
 */
public final class TeardownSender<K, M, W> {
    /** Ends written in one go, and us to the next. */
    private static final int SLICE = 32;
    private static final long SLICE_GAP_US = 1_000;

    private final PendingTeardowns<K, M, W> pending;
    private final Clock clock;
    private final Timers timers;
    private final long sweepUs;
    private boolean more;

    /** {@code sweepUs}: how often is looked for what is due, once {@link #start started}. */
    public TeardownSender(RetryPolicy policy, TeardownRoutes<K, M, W> ways, Clock clock, Timers timers, long sweepUs) {
        pending = new PendingTeardowns<>(policy, ways);
        this.clock = clock;
        this.timers = timers;
        this.sweepUs = sweepUs;
    }

    /** From now on ends are told again and forgotten as their time comes. */
    public void start() {
        timers.after(sweepUs, () -> {
            start();
            pending.due(clock.nowUs());
            tell();
        });
    }

    public void owe(K key, M message, W first) {
        pending.owe(key, message, first, clock.nowUs());
        tell();
    }

    public boolean told(K key) {
        return pending.told(key);
    }

    public boolean owes(K key) {
        return pending.owes(key);
    }

    public boolean isUnwritten(K key) {
        return pending.isUnwritten(key);
    }

    public void denied(K key, W by) {
        pending.denied(key, by);
        tell();
    }

    public void lost(W way) {
        pending.lost(way);
        tell();
    }

    public void found(W way) {
        pending.found(way);
        tell();
    }

    public void forgetIf(Predicate<K> which) {
        pending.forgetIf(which);
    }

    public TeardownCounts counts() {
        return pending.counts();
    }

    /** One slice of what waits, before something new is taken. */
    public void first() {
        if (more) {
            pending.work(clock.nowUs(), SLICE);
        }
    }

    private void tell() {
        // While more waits, slices come in their own time: what is entered meanwhile joins their end.
        if (!more && pending.work(clock.nowUs(), SLICE)) {
            more = true;
            timers.after(SLICE_GAP_US, this::next);
        }
    }

    private void next() {
        more = false;
        tell();
    }
}
