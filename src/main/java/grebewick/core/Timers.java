package grebewick.core;

/** Port for work to be done later, on the one event loop. */
@FunctionalInterface
public interface Timers {
    /** Runs the task once {@code us} microseconds have passed; what is returned calls it off. */
    Runnable after(long us, Runnable task);
}
