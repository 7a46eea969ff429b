package grebewick.lifecycle;

import grebewick.core.Clock;
import grebewick.core.Timers;
import grebewick.eventloop.ActivityCount;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * When a process that was told to end may go: once nothing is owed and nothing has come in for two looks, or when its
 * time is up. Decides only; what is owed is handed in.
 */
public final class GracefulShutdown {
    /** us. Between looks: long enough for the loop to have read what is there. */
    static final long LOOK_US = 20_000;
    /** us. Before its time is up, when its last words are due: in time for them to be written. */
    static final long LAST_WORDS_US = 200_000;
    /** Looks in a row that must find nothing owed and nothing new. */
    private static final int QUIET = 2;
    private static final String NOTHING_OWED = "ends: nothing is owed";

    private final Clock clock;
    private final Timers timers;
    private final long endUs;
    private final Supplier<PendingWork> pendingWork;
    private final Supplier<ActivityCount> activity;
    private final Consumer<String> log;
    private final Runnable lastWords;
    private final Runnable go;
    private boolean lastWordsSaid;
    private int quiet;
    private ActivityCount before;

    /**
     * {@code endUs}: when it has to be gone, by the clock: looks come late, each by up to a millisecond and more under load, and
     * add up to more than is kept back. {@code lastWords} tells what this process alone can tell: it answers all that wait, and
     * ends calls that nobody else will end. {@code go} is run once, at its end.
     */
    public GracefulShutdown(Clock clock, Timers timers, long endUs, Supplier<PendingWork> pendingWork,
                            Supplier<ActivityCount> activity, Consumer<String> log,
                            Runnable lastWords, Runnable go) {
        this.clock = clock;
        this.timers = timers;
        this.endUs = endUs;
        this.pendingWork = pendingWork;
        this.activity = activity;
        this.log = log;
        this.lastWords = lastWords;
        this.go = go;
    }

    /** Looks for the first time after {@link #LOOK_US}. */
    public void start() {
        before = activity.get();
        timers.after(LOOK_US, this::look);
    }

    private void look() {
        long leftUs = endUs - clock.nowUs();
        if (leftUs <= LAST_WORDS_US && !lastWordsSaid) {
            // Guards requests with a deadline longer than the time given, and calls at servers that are gone.
            lastWordsSaid = true;
            lastWords.run();
        }
        PendingWork owed = note();
        if (leftUs <= 0) {
            log.accept(quiet >= QUIET ? NOTHING_OWED : "ends: its time is up; left behind: " + owed);
            go.run();
        } else if (quiet >= QUIET) {
            // A late loop may not have read what has come: its caller would be left without an answer.
            timers.afterInput(this::endIfStillQuiet);
        } else {
            timers.after(LOOK_US, this::look);
        }
    }

    private void endIfStillQuiet() {
        note();
        if (quiet >= QUIET) {
            log.accept(NOTHING_OWED);
            go.run();
        } else {
            timers.after(LOOK_US, this::look);
        }
    }

    /** Counts the looks in a row that find nothing owed and nothing new; gives what is owed now. */
    private PendingWork note() {
        ActivityCount now = activity.get();
        PendingWork owed = pendingWork.get();
        quiet = owed.none() && now.equals(before) ? quiet + 1 : 0;
        before = now;
        return owed;
    }
}
