package grebewick.play;

import grebewick.core.Clock;
import grebewick.core.Timers;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.PriorityQueue;

/** Time that passes only when a scenario says so. Used on the event loop alone. */
public final class HandClock implements Clock, Timers {
    private record Task(long atUs, long order, Runnable run) {}

    private final PriorityQueue<Task> tasks = new PriorityQueue<>(
        Comparator.comparingLong(Task::atUs).thenComparingLong(Task::order));
    private final ArrayDeque<Runnable> unread = new ArrayDeque<>();
    private boolean late;
    private long nowUs = 1_700_000_000_000_000L;
    private long order;

    @Override
    public long nowUs() {
        return nowUs;
    }

    @Override
    public Runnable after(long us, Runnable run) {
        Task task = new Task(nowUs + Math.max(1, us), order++, run);
        tasks.add(task);
        return () -> tasks.remove(task);
    }

    @Override
    public void afterInput(Runnable task) {
        if (late) {
            unread.add(task);
        } else {
            task.run();
        }
    }

    /** From now on the loop has not read all that is there; then it has, and goes on. */
    public void late(boolean is) {
        late = is;
        while (!late && !unread.isEmpty()) {
            unread.poll().run();
        }
    }

    /** Lets time pass; what comes due runs in order. */
    public void pass(long us) {
        long endUs = nowUs + us;
        while (!tasks.isEmpty() && tasks.peek().atUs <= endUs) {
            Task next = tasks.poll();
            nowUs = Math.max(nowUs, next.atUs);
            next.run.run();
        }
        nowUs = endUs;
    }
}
