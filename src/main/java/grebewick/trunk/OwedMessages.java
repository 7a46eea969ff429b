package grebewick.trunk;

import grebewick.liveness.ProcessLease;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.function.Consumer;
import java.util.function.LongPredicate;

/** Messages to one server that wait for a connection to come up, the eldest first. */
final class OwedMessages {
    /** Above it nothing more is taken. */
    private static final int MOST = 10_000;

    private record Owed(TrunkMessage message, ProcessLease process) {
        boolean isFor(ServerConnection connection) {
            return process == null || process.current() == connection.process.current();
        }
    }

    private final Queue<Owed> owed = new ArrayDeque<>();

    /** {@code process}: which one it is for; null: whichever comes. */
    void add(TrunkMessage message, ProcessLease process) {
        if (owed.size() < MOST) {
            owed.add(new Owed(message, process));
        }
    }

    /**
     * A connection has come up: what is for its process goes to {@code write}, and the rest is forgotten. So is the release of an
     * earlier attempt, where a later one is out: it would end that. {@code isOut} knows by call.
     */
    void flush(ServerConnection connection, LongPredicate isOut, Consumer<TrunkMessage> write) {
        for (Owed next = owed.poll(); next != null; next = owed.poll()) {
            TrunkMessage message = next.message;
            boolean endsLaterAttempt = message.type() == TrunkMessage.RELEASE && isOut.test(message.call());
            if (next.isFor(connection) && !endsLaterAttempt) {
                write.accept(message);
            }
        }
    }

    void clear() {
        owed.clear();
    }

    int size() {
        return owed.size();
    }
}
