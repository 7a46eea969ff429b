package grebewick.core;

/** Port for work to be done later, on the one event loop. */
@FunctionalInterface
public interface Timers {
    /** Runs the task once {@code us} microseconds have passed; what is returned calls it off. */
    Runnable after(long us, Runnable task);

    /** Runs the task once all input that is there has been read; at once where there is nothing to read. */
    default void afterInput(Runnable task) {
        task.run();
    }
}
