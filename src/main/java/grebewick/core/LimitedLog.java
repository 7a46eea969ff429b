package grebewick.core;

import java.util.function.Consumer;

/** Guards the log against a flood of complaints: the first ones are written, then every hundredth, with their number. */
public final class LimitedLog {
    private static final int EVERY = 100;

    private final Consumer<String> log;
    private final String prefix;
    private final int first;
    private int complaints;

    /** {@code first}: how many are written before only some are. */
    public LimitedLog(Consumer<String> log, String prefix, int first) {
        this.log = log;
        this.prefix = prefix;
        this.first = first;
    }

    /** One more complaint. */
    public void complain(String text) {
        complaints++;
        if (complaints <= first || complaints % EVERY == 0) {
            log.accept(prefix + text + " (" + complaints + " so far)");
        }
    }
}
