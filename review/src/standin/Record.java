package standin;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** What was sent, answered and run, with the time since the start of the case; one line each, in record.txt. */
public final class Record {
    private final PrintWriter out;
    private final long zeroNs = System.nanoTime();

    public Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file), true);
    }

    public double now() {
        return (System.nanoTime() - zeroNs) / 1e9;
    }

    public synchronized void line(String text) {
        out.println(String.format(Locale.ROOT, "%9.4f  %s", now(), text));
    }

    /** The last lines also go to standard output. */
    public synchronized void say(String text) {
        line(text);
        System.out.println(text);
    }
}
