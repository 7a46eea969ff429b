package grebewick.trunk;

import grebewick.core.Timers;
import io.vertx.core.Future;
import java.util.HashMap;
import java.util.Map;
import java.util.function.LongConsumer;

/**
 * Releases of set-ups that were given up, for as long as the network has not taken them: their servers have not heard of them. A
 * connection that takes none in time is dropped, as another server may have the call only then.
 */
final class UnwrittenReleases {
    /** us. In which the network has to take a release. */
    static final long MOST_US = 500_000;

    private final Timers timers;
    private final LongConsumer heard;
    /** By the core's number of the call: no call has two. */
    private final Map<Long, Future<Void>> byCall = new HashMap<>();

    /** {@code heard} is told of each call whose release was taken, or lost with its connection. */
    UnwrittenReleases(Timers timers, LongConsumer heard) {
        this.timers = timers;
        this.heard = heard;
    }

    /** A release was handed to its connection; {@code drop} ends that. */
    void add(long call, Future<Void> written, Runnable drop) {
        // What is written while the same connection is read leaves when all of that is read.
        timers.afterInput(() -> {
            if (!written.isComplete()) {
                await(call, written, drop);
            }
        });
    }

    private void await(long call, Future<Void> written, Runnable drop) {
        byCall.put(call, written);
        written.onComplete(done -> {
            if (byCall.remove(call, written)) {
                heard.accept(call);
            }
        });
        timers.after(MOST_US, () -> {
            if (byCall.get(call) == written) {
                drop.run();
            }
        });
    }

    /** Whether the network has not taken the release of an earlier set-up of that call. */
    boolean has(long call) {
        return byCall.containsKey(call);
    }
}
