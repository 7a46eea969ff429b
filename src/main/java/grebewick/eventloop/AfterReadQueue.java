package grebewick.eventloop;

import grebewick.core.Timers;
import io.vertx.core.Context;
import io.vertx.core.Vertx;
import java.util.ArrayDeque;

/**
 * Work for when the event loop has read all that is there. A loop that comes late finds news of many sockets at once,
 * and may first run timers that were due meanwhile: what these bring about waits for one whole round of reads, and for
 * the tasks that the round leaves, such as the ends of connections, which are all run before the next.
 */
public final class AfterReadQueue {
    private final ArrayDeque<Runnable> waiting = new ArrayDeque<>();
    /** Their round has been read. */
    private final ArrayDeque<Runnable> ready = new ArrayDeque<>();
    private volatile Thread loop;
    private Context context;

    /** Timers of the one event loop that {@code context} is of; its handler has to {@link #end} each round. */
    public Timers timers(Vertx vertx, Context context) {
        this.context = context;
        return new Timers() {
            @Override
            public Runnable after(long us, Runnable task) {
                long id = vertx.setTimer(Math.max(1, (us + 999) / 1000), t -> task.run());
                return () -> vertx.cancelTimer(id);
            }

            @Override
            public void afterInput(Runnable task) {
                loop = Thread.currentThread();
                waiting.add(task);
            }
        };
    }

    /** Whether the loop of this thread has to go through a round at once. */
    boolean waits() {
        return loop == Thread.currentThread() && !(waiting.isEmpty() && ready.isEmpty());
    }

    /** A round of reads has ended on this thread. */
    void end() {
        if (!waits()) {
            return;
        }
        while (!ready.isEmpty()) {
            Runnable task = ready.poll();
            context.runOnContext(v -> task.run());
        }
        ready.addAll(waiting);
        waiting.clear();
    }
}
