package grebewick.core;

import java.util.Set;

/** For how long one part of the list holds as it was confirmed last. Times are microseconds of the core's clock. */
final class ListLease {
    /** How it stands. */
    enum State {
        CONFIRMED,
        /** Half of its term has passed. */
        QUIET,
        EXPIRED,
        /** It had expired, and holds again since an answer that came late. */
        RENEWED_LATE
    }

    private final long termUs;
    private long askedUs;
    private Set<String> servers = Set.of();
    private State state = State.CONFIRMED;

    /** A lease that ends so long after the question that was answered last. */
    ListLease(long termUs, long askedUs) {
        this.termUs = termUs;
        this.askedUs = askedUs;
    }

    /** Renews it from a question on; answers may come out of turn, and the latest question counts. */
    void renew(long questionUs) {
        askedUs = Math.max(askedUs, questionUs);
    }

    /** The servers that lean on it; of the whole list: empty. */
    Set<String> servers() {
        return servers;
    }

    /** From now on these lean on it. */
    void cover(Set<String> listed) {
        servers = Set.copyOf(listed);
    }

    boolean isValid(long nowUs) {
        return nowUs < endUs();
    }

    /** us. When it ends unless it is renewed. */
    long endUs() {
        return askedUs + termUs;
    }

    /** us. When the question was sent whose answer renewed it last. */
    long askedUs() {
        return askedUs;
    }

    State state() {
        return state;
    }

    /** Brings the state up to date; true: it is one that operators have not been told of. */
    boolean advance(long nowUs) {
        State before = state;
        state = stateAt(nowUs);
        return state != before && !(before == State.RENEWED_LATE && state == State.CONFIRMED);
    }

    private State stateAt(long nowUs) {
        if (!isValid(nowUs)) {
            return State.EXPIRED;
        }
        if (nowUs < quietUs()) {
            return State.CONFIRMED;
        }
        return state == State.EXPIRED || state == State.RENEWED_LATE ? State.RENEWED_LATE : State.QUIET;
    }

    /** us. When the state changes next unless it is renewed; {@link Long#MAX_VALUE}: never. */
    long dueUs() {
        return switch (state) {
            case CONFIRMED -> quietUs();
            case QUIET, RENEWED_LATE -> endUs();
            case EXPIRED -> Long.MAX_VALUE;
        };
    }

    private long quietUs() {
        return askedUs + termUs / 2;
    }
}
