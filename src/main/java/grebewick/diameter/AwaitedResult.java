package grebewick.diameter;

import grebewick.core.Timers;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.LongConsumer;

/** Those who wait for one result code. Each is told once: the code, or after its time that it could not be had. */
final class AwaitedResult {
    private final Set<LongConsumer> waiting = new LinkedHashSet<>();

    /** {@code result} takes the code, whenever it comes. */
    void await(LongConsumer result) {
        waiting.add(result);
    }

    /** {@code result} takes the code, or UNABLE_TO_DELIVER after {@code mostUs}. */
    void await(LongConsumer result, Timers timers, long mostUs) {
        await(result);
        timers.after(mostUs, () -> {
            if (waiting.remove(result)) {
                result.accept(DiameterException.UNABLE_TO_DELIVER);
            }
        });
    }

    /** Tells all who wait now. */
    void tell(long code) {
        List<LongConsumer> now = List.copyOf(waiting);
        waiting.clear();
        now.forEach(each -> each.accept(code));
    }

    /** Whether anybody waits. */
    boolean isAwaited() {
        return !waiting.isEmpty();
    }
}
