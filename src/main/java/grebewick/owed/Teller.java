package grebewick.owed;

import grebewick.core.Clock;
import grebewick.core.Timers;
import java.util.function.Predicate;

/**
 * A ledger with the loop's clock and timers: what is ready is written at once, in slices, so that a burst of ends keeps
 * no set-up waiting. Methods are those of {@link Ledger}, followed by the writing.
 */
public final class Teller<K, M, W> {
    /** Ends written in one go, and us to the next. */
    private static final int SLICE = 32;
    private static final long SLICE_GAP_US = 1_000;

    private final Ledger<K, M, W> ledger;
    private final Clock clock;
    private final Timers timers;
    private final long sweepUs;
    private boolean more;

    /** {@code sweepUs}: how often is looked for what is due, once {@link #start started}. */
    public Teller(Policy policy, Ways<K, M, W> ways, Clock clock, Timers timers, long sweepUs) {
        ledger = new Ledger<>(policy, ways);
        this.clock = clock;
        this.timers = timers;
        this.sweepUs = sweepUs;
    }

    /** From now on ends are told again and forgotten as their time comes. */
    public void start() {
        timers.after(sweepUs, () -> {
            start();
            ledger.due(clock.nowUs());
            tell();
        });
    }

    public void owe(K key, M message, W first) {
        ledger.owe(key, message, first, clock.nowUs());
        tell();
    }

    public boolean told(K key) {
        return ledger.told(key);
    }

    public void denied(K key, W by) {
        ledger.denied(key, by);
        tell();
    }

    public void lost(W way) {
        ledger.lost(way);
        tell();
    }

    public void found(W way) {
        ledger.found(way);
        tell();
    }

    public void forgetIf(Predicate<K> which) {
        ledger.forgetIf(which);
    }

    public Counts counts() {
        return ledger.counts();
    }

    /** One slice of what waits, before something new is taken. */
    public void first() {
        if (more) {
            ledger.work(clock.nowUs(), SLICE);
        }
    }

    private void tell() {
        // While more waits, slices come in their own time: what is entered meanwhile joins their end.
        if (!more && ledger.work(clock.nowUs(), SLICE)) {
            more = true;
            timers.after(SLICE_GAP_US, this::next);
        }
    }

    private void next() {
        more = false;
        tell();
    }
}
