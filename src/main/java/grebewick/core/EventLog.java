package grebewick.core;

import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * The operators' log of single events: a line is the event's name and key-value pairs, with calls by the id that callers
 * and servers know. Each kind of event has a rate of its own, so that a flood of one hides no other; lines left out are
 * counted in the next line of their kind.
 */
public final class EventLog {
    /** Lines of one kind that may be written at once, and those of each second. */
    static final int BURST = 100;
    static final double PER_S = 20;

    /** What is told. The name in the log is in lower case, with hyphens. */
    public enum Event {
        /** An attempt ended and did not stand: why a call is tried again, or given up. */
        ATTEMPT_ENDED,
        /** A call got a final answer other than success. */
        CALL_REFUSED,
        /** A call that stood was ended by this gatekeeper. */
        CALL_ENDED,
        /** A server answered a set-up that nobody waits for any more, or after it had left the list. */
        LATE_ANSWER,
        /** The end of a call was forgotten though nobody has confirmed that he heard it. */
        TEARDOWN_ABANDONED,
        /** A connection with a server came up. */
        CONNECTION_OPENED,
        /** A connection with a server is gone. */
        CONNECTION_CLOSED,
        /** A connection with a server takes no new set-ups. */
        CONNECTION_RETIRED,
        /** A connection with a server did not come up. */
        CONNECT_FAILED,
        /** What is known of a server, or of a process behind its address, has changed. */
        SERVER_STATE,
        /** The list of servers, or a zone of it, was not confirmed for long, has expired, or is confirmed again. */
        SERVER_LIST;

        private final String text = name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    private final Consumer<String> log;
    private final Clock clock;
    private final Map<Event, Limit> limits = new EnumMap<>(Event.class);

    /** {@code log} takes the lines. */
    public EventLog(Consumer<String> log, Clock clock) {
        this.log = log;
        this.clock = clock;
    }

    /** One event; {@code fields} are put together only where the line is written. */
    public void write(Event event, Supplier<String> fields) {
        Limit limit = limits.computeIfAbsent(event, e -> new Limit());
        long nowUs = clock.nowUs();
        if (!limit.tokens.tryTake(1, nowUs)) {
            limit.leftOut++;
            return;
        }
        String leftOut = limit.leftOut == 0 ? "" : " left-out=" + limit.leftOut;
        limit.leftOut = 0;
        log.accept(event.text + " at=" + nowUs + " " + fields.get() + leftOut);
    }

    /** A call's id as callers and servers write it: 16 hex digits. */
    public static String id(long call) {
        return String.format("%016x", call);
    }

    private static final class Limit {
        private final TokenBucket tokens = new TokenBucket(BURST, PER_S);
        private long leftOut;
    }
}
