package grebewick.lifecycle;

/**
 * SIGHUP from the first line of the program on. Guards a gatekeeper that is just starting: the JVM's own way with the
 * signal is to end. What comes before there is something to reload is done once there is.
 */
public final class ConfigReload {
    private Runnable task;
    private boolean due;

    /** The signal came; one at a time, in order of arrival. */
    public synchronized void asked() {
        due = true;
        work();
    }

    /** From now on the task is run for it. */
    public synchronized void ready(Runnable reload) {
        task = reload;
        work();
    }

    private void work() {
        if (due && task != null) {
            due = false;
            task.run();
        }
    }
}
