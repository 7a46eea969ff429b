package grebewick.eventloop;

import grebewick.core.Timers;
import io.vertx.core.Context;
import io.vertx.core.Vertx;
import java.util.ArrayDeque;
import java.util.function.LongSupplier;

/**
 * Work for when the event loop has read all that is there. A loop that comes late finds news of many sockets at once,
 * and may first run timers that were due meanwhile: what these bring about waits for one whole round of reads, and for
 * the tasks that the round leaves, such as the ends of connections, which are all run before the next. A round that took
 * long has read its first sockets long ago: after such a one they wait for another.
 */
public final class AfterReadQueue {
    /** ns. What was read longer ago may be outdated: a caller's leave is to be heeded within 0.1 s. */
    static final long FRESH_NS = 50_000_000;
    /** Rounds after which a task is run however long each took. Guards calls against a loop that is always late. */
    private static final int MOST_ROUNDS = 8;

    private final LongSupplier clockNs;
    private final ArrayDeque<Task> waiting = new ArrayDeque<>();
    /** Their round has been read. */
    private final ArrayDeque<Task> ready = new ArrayDeque<>();
    /** When the latest round of reads began. */
    private long beganNs;
    private volatile Thread loop;
    private Context context;

    /** On the system's monotonic clock. */
    public AfterReadQueue() {
        this(System::nanoTime);
    }

    /** {@code clockNs}: monotonic, in ns. */
    public AfterReadQueue(LongSupplier clockNs) {
        this.clockNs = clockNs;
    }

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
                waiting.add(new Task(task, 0));
            }
        };
    }

    /** Whether the loop of this thread has to go through a round at once. */
    boolean waits() {
        return loop == Thread.currentThread() && !(waiting.isEmpty() && ready.isEmpty());
    }

    /** A round of reads begins on this thread. */
    void begin() {
        if (waits()) {
            beganNs = clockNs.getAsLong();
        }
    }

    /** A round of reads has ended on this thread. */
    void end() {
        if (!waits()) {
            return;
        }
        while (!ready.isEmpty()) {
            Task task = ready.poll();
            context.runOnContext(v -> run(task));
        }
        ready.addAll(waiting);
        waiting.clear();
    }

    private void run(Task task) {
        if (task.rounds < MOST_ROUNDS && clockNs.getAsLong() - beganNs > FRESH_NS) {
            waiting.add(new Task(task.what, task.rounds + 1));
        } else {
            task.what.run();
        }
    }

    /** {@code rounds}: those that were read for it and took too long. */
    private record Task(Runnable what, int rounds) {}
}
