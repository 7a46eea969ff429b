package grebewick.eventloop;

import grebewick.core.ByteBudget;
import grebewick.core.Clock;
import grebewick.core.Timers;
import io.vertx.core.buffer.Buffer;
import java.util.function.BooleanSupplier;

/**
 * The input of one connection, taken in slices with pauses between them: one that sends at full speed leaves
 * the event loop to the
 * others. Its socket is read all the same, as that alone shows that the other side has left; what was read and not taken is
 * bounded, for each connection and for all together.
 */
public final class PacedInput {
    /** us. Time in a row in which one connection's messages are taken. */
    private static final long SLICE_US = 500;
    /** us. From one slice to the next. */
    private static final long PAUSE_US = 1_000;
    /** Bytes of one connection that are held whatever the budget says: a message that is not whole yet. */
    private static final int ALWAYS_HELD = 16 * 1024;
    /** Bytes of one connection that may wait to be taken. */
    static final int MOST_HELD = 1024 * 1024;

    private final InputBuffer buffer;
    private final ByteBudget budget;
    private final Clock clock;
    private final Timers timers;
    private final BooleanSupplier takeNext;
    /** Bytes of the budget that this connection has. */
    private int charged;
    private boolean pauses;
    private boolean ended;

    /** {@code takeNext} takes one message out of the buffer and handles it; false: none is whole. */
    public PacedInput(InputBuffer buffer, ByteBudget budget, Clock clock, Timers timers, BooleanSupplier takeNext) {
        this.buffer = buffer;
        this.budget = budget;
        this.clock = clock;
        this.timers = timers;
        this.takeNext = takeNext;
    }

    /** Bytes came; false: more wait than may be held, and the connection is to be ended. */
    public boolean arrived(Buffer bytes) {
        if (ended) {
            return true;
        }
        buffer.append(bytes);
        if (!pauses) {
            slice();
        }
        return ended || charge();
    }

    /** Whether whole messages may wait for their slice. */
    public boolean pauses() {
        return pauses;
    }

    /** The connection has ended: what it sent and was not taken is dropped. */
    public void end() {
        ended = true;
        buffer.clear();
        budget.give(charged);
        charged = 0;
    }

    private void slice() {
        pauses = false;
        long endUs = clock.nowUs() + SLICE_US;
        while (!ended && takeNext.getAsBoolean()) {
            if (!ended && clock.nowUs() >= endUs) {
                pauses = true;
                timers.after(PAUSE_US, this::nextSlice);
                return;
            }
        }
    }

    private void nextSlice() {
        if (!ended) {
            slice();
            charge();
        }
    }

    private boolean charge() {
        int wanted = Math.max(0, buffer.size() - ALWAYS_HELD);
        if (wanted <= charged || budget.tryTake(wanted - charged)) {
            budget.give(Math.max(0, charged - wanted));
            charged = wanted;
            return wanted <= MOST_HELD;
        }
        return false;
    }
}
