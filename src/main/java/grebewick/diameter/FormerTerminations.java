package grebewick.diameter;

import grebewick.core.ByteBudget;
import grebewick.core.Clock;
import grebewick.core.EventLog;
import grebewick.core.Timers;
import grebewick.diameter.SessionTeardowns.Cause;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongConsumer;

/**
 * Sessions that stood before this process started and that their clients end (STR). Which server has one is not known: all that
 * it may be at are told, those that are away when they are back, and the client has its answer from theirs.
 */
final class FormerTerminations implements SessionTeardowns.Listener {
    /** Bytes of memory that sessions may take until their servers are told; beyond it their clients are refused. */
    static final int MOST_BYTES = 8 * 1024 * 1024;
    /** Bytes of an STR beside its Session-Id, about. */
    private static final int STR_WEIGHT = 512;

    private final ByteBudget budget = new ByteBudget(MOST_BYTES);
    private final Timers timers;
    private final long answerUs;
    private final SessionTeardowns teardowns;
    private final Map<String, Termination> bySession = new HashMap<>();

    /** {@code answerUs}: after which a client is answered, whatever servers are yet to be told. */
    FormerTerminations(Identity me, long answerUs, Clock clock, Timers timers, EventLog eventLog) {
        this.timers = timers;
        this.answerUs = answerUs;
        teardowns = new SessionTeardowns(me, clock, timers, eventLog, this);
    }

    void start() {
        teardowns.start();
    }

    /**
     * Its client ends a session that is at one of these servers, or at none.
     *
     * @param first which one the client has named; null: none
     * @param result takes the code for the client
     */
    void terminate(String sessionId, ServerPeer first, Collection<ServerPeer> servers, LongConsumer result) {
        Termination termination = bySession.get(sessionId);
        int weight = (STR_WEIGHT + 2 * sessionId.length()) * (1 + servers.size());
        if (termination == null && !budget.tryTake(weight)) {
            result.accept(DiameterException.UNABLE_TO_DELIVER);
            return;
        }
        if (termination == null) {
            termination = begin(sessionId, weight, first, servers);
        }
        termination.result.await(result, timers, answerUs);
    }

    private Termination begin(String sessionId, int weight, ServerPeer first, Collection<ServerPeer> servers) {
        Termination termination = new Termination(weight);
        bySession.put(sessionId, termination);
        if (first == null) {
            ask(sessionId, termination, servers);
        } else {
            termination.others.addAll(servers);
            termination.others.remove(first);
            ask(sessionId, termination, List.of(first));
        }
        return termination;
    }

    private void ask(String sessionId, Termination termination, Collection<ServerPeer> servers) {
        List<ServerSession> sessions = servers.stream().map(server -> ServerSession.ofFormerProcess(server, sessionId)).toList();
        termination.unanswered.addAll(sessions);
        sessions.forEach(session -> teardowns.terminate(session, Cause.LOGOUT));
    }

    @Override
    public void answered(ServerSession session, long result) {
        Termination termination = bySession.get(session.id);
        if (termination == null || !termination.unanswered.remove(session)) {
            return;
        }
        if (result == DiameterMessage.SUCCESS) {
            // It was there: the others do not have it.
            teardowns.forgetAll(session.id);
            end(session.id, result);
        } else if (termination.unanswered.isEmpty() && !termination.others.isEmpty()) {
            List<ServerPeer> others = List.copyOf(termination.others);
            termination.others.clear();
            ask(session.id, termination, others);
        } else if (termination.unanswered.isEmpty()) {
            end(session.id, termination.isUntold ? DiameterException.UNABLE_TO_DELIVER : DiameterException.UNKNOWN_SESSION_ID);
        }
    }

    @Override
    public void abandoned(ServerSession session) {
        Termination termination = bySession.get(session.id);
        if (termination != null) {
            termination.isUntold = true;
            answered(session, DiameterException.UNABLE_TO_DELIVER);
        }
    }

    private void end(String sessionId, long result) {
        Termination termination = bySession.remove(sessionId);
        budget.give(termination.weight);
        termination.result.tell(result);
    }

    /** Who waits is answered now: this process ends. */
    void answerAll() {
        for (Termination termination : List.copyOf(bySession.values())) {
            termination.result.tell(DiameterException.UNABLE_TO_DELIVER);
        }
    }

    /** Clients that wait for their answer. */
    int pending() {
        return (int) bySession.values().stream().filter(termination -> termination.result.isAwaited()).count();
    }

    /** A connection to a server can be written to. */
    void opened(Connection on) {
        teardowns.opened(on);
    }

    /** A connection to a server has ended. */
    void lost(Connection on) {
        teardowns.lost(on);
    }

    /** A server has lost its sessions, and what it was to be told of them is told. */
    void restarted(ServerPeer server) {
        teardowns.forgetAllAt(server);
        for (Termination termination : List.copyOf(bySession.values())) {
            for (ServerSession session : List.copyOf(termination.unanswered)) {
                if (session.at == server) {
                    answered(session, DiameterException.UNKNOWN_SESSION_ID);
                }
            }
        }
    }

    /** One session's end, and the servers that have not answered yet. */
    private static final class Termination {
        /** Bytes of the budget that it has. */
        final int weight;
        final List<ServerSession> unanswered = new ArrayList<>();
        /** Servers that are asked if those before do not have it. */
        final List<ServerPeer> others = new ArrayList<>();
        /** What its client's requests wait for. */
        final AwaitedResult result = new AwaitedResult();
        /** A server could not be told. */
        boolean isUntold;

        Termination(int weight) {
            this.weight = weight;
        }
    }
}
