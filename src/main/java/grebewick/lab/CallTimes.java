package grebewick.lab;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.HdrHistogram.Histogram;

/**
 * The moments of each call's set-up, and histograms of what lies between them, in us. Calls count from the moment that they
 * were meant for, so that a load generator that comes late does not hide a wait (no coordinated omission). Any thread may tell.
 */
final class CallTimes {
    /** us. Longer times count as this. */
    static final long MOST_US = 60_000_000;
    private static final int DIGITS = 3;

    /** What a histogram is of. */
    enum Span {
        /** From the moment meant to the answer at the caller: the latency. */
        TOTAL("meant to answer at caller"),
        /** From the moment meant until it is written: the load generator's own part. */
        GENERATOR("meant to written by caller"),
        /** From written by the caller to the set-up's coming at the server. */
        FORWARD("written by caller to set-up at server"),
        /** From the set-up's coming to the answer's leaving: the stand-in's own part. */
        SERVER("set-up to answer at server"),
        /** From the answer's leaving the server to its coming at the caller. */
        BACK("answer at server to answer at caller");

        /** In plain words. */
        final String text;

        Span(String text) {
            this.text = text;
        }
    }

    /** One call's moments, us. */
    private static final class Moments {
        volatile long meantUs;
        volatile long writtenUs;
        volatile long setUpUs;
        volatile long answerUs;
    }

    private final long fromUs;
    private final long untilUs;
    private final Map<Long, Moments> open = new ConcurrentHashMap<>();
    private final Map<Span, Histogram> histograms = new EnumMap<>(Span.class);

    /** Records calls meant for moments from {@code fromUs} on and before {@code untilUs}. */
    CallTimes(long fromUs, long untilUs) {
        this.fromUs = fromUs;
        this.untilUs = untilUs;
        for (Span span : Span.values()) {
            histograms.put(span, new Histogram(MOST_US, DIGITS));
        }
    }

    /** A call is written; the servers' side may have told of it already. */
    void written(long call, long meantUs, long writtenUs) {
        Moments moments = moments(call);
        moments.meantUs = meantUs;
        moments.writtenUs = writtenUs;
    }

    /** Its set-up has come at a server; a second attempt's counts in the place of the first's. */
    void setUp(long call, long nowUs) {
        moments(call).setUpUs = nowUs;
    }

    /** The server's answer leaves. */
    void answerSent(long call, long nowUs) {
        moments(call).answerUs = nowUs;
    }

    /** The caller has the answer. */
    synchronized void answered(long call, long nowUs) {
        Moments moments = open.remove(call);
        if (moments != null && isCounted(moments)) {
            record(Span.TOTAL, nowUs - moments.meantUs);
            record(Span.GENERATOR, moments.writtenUs - moments.meantUs);
            record(Span.FORWARD, moments.setUpUs - moments.writtenUs);
            record(Span.SERVER, moments.answerUs - moments.setUpUs);
            record(Span.BACK, nowUs - moments.answerUs);
        }
    }

    private Moments moments(long call) {
        return open.computeIfAbsent(call, id -> new Moments());
    }

    private boolean isCounted(Moments moments) {
        return moments.meantUs >= fromUs && moments.meantUs < untilUs;
    }

    private void record(Span span, long us) {
        histograms.get(span).recordValue(Math.max(0, Math.min(MOST_US, us)));
    }

    /** Calls that had no answer. */
    long unanswered() {
        return open.values().stream().filter(this::isCounted).count();
    }

    /** A copy of the histogram of one span. */
    synchronized Histogram histogram(Span span) {
        return histograms.get(span).copy();
    }
}
