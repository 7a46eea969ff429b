package grebewick.lab.hostile;

import java.io.IOException;

/** Threads of stand-ins and clients, which end with what they talk to. */
final class Background {
    /** Something that may end with its connection. */
    interface Task {
        void run() throws IOException, InterruptedException;
    }

    private Background() {}

    /** Runs it on a thread of its own. */
    static Thread run(Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (IOException e) {
                // The other side has ended the connection.
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }, "stand-in");
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}
