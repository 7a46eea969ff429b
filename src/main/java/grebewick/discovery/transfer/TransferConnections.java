package grebewick.discovery.transfer;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Which transfers go over which connection, as RFC 7766 has it: queries to a replica share one connection, pipelined, and it
 * is kept for a short time for those that follow. Decides only; whoever asks opens and closes the sockets. A query is on one
 * connection at the most, and a connection that ends gives back all queries that were not answered.
 */
final class TransferConnections {
    /** us. A connection without a query is closed after this; well below the 5 s after which a replica closes it. */
    static final long IDLE_US = 1_000_000;

    private static final class Connection {
        private final Replica replica;
        /** Without an answer yet, in the order in which they were asked. */
        private final Set<Long> requests = new LinkedHashSet<>();
        private boolean takesQueries = true;
        private long idleSinceUs;

        private Connection(Replica replica) {
            this.replica = replica;
        }
    }

    private final Map<Long, Connection> open = new LinkedHashMap<>();
    private long last;

    /** The connection to a replica that takes one more query; empty: there is none. */
    OptionalLong to(Replica replica) {
        return open.entrySet().stream()
            .filter(each -> each.getValue().takesQueries && each.getValue().replica.equals(replica))
            .mapToLong(Map.Entry::getKey).findFirst();
    }

    /** A replica to which there is a connection that takes queries, the oldest first. */
    Optional<Replica> replica(Predicate<Replica> isWanted) {
        return open.values().stream().filter(each -> each.takesQueries).map(each -> each.replica).filter(isWanted).findFirst();
    }

    /** Numbers a new connection; {@link #add} follows at once. */
    long open(Replica replica) {
        open.put(++last, new Connection(replica));
        return last;
    }

    /** Puts a query on a connection; gives how many are before it. */
    int add(long connection, long request) {
        Set<Long> requests = open.get(connection).requests;
        requests.add(request);
        return requests.size() - 1;
    }

    /** The connection that a query without an answer is on. */
    OptionalLong of(long request) {
        return open.entrySet().stream().filter(each -> each.getValue().requests.contains(request))
            .mapToLong(Map.Entry::getKey).findFirst();
    }

    /** A query was answered, in turn or not; gives those that are still on its connection. */
    List<Long> answered(long nowUs, long request) {
        Connection connection = open.get(of(request).orElseThrow());
        connection.requests.remove(request);
        connection.idleSinceUs = nowUs;
        return List.copyOf(connection.requests);
    }

    /** The connection of this query takes no more queries; it is closed once those that are on it are answered. */
    void retire(long request) {
        open.get(of(request).orElseThrow()).takesQueries = false;
    }

    /** A connection has ended or is to be closed; gives the queries that were not answered, in their order. */
    List<Long> end(long connection) {
        Connection ended = open.remove(connection);
        return ended == null ? List.of() : List.copyOf(ended.requests);
    }

    /** Ends those that have had no query for long enough; gives their numbers. */
    List<Long> endIdle(long nowUs) {
        return endIf(connection -> closesAtUs(connection) <= nowUs);
    }

    /** Ends all; gives their numbers. */
    List<Long> endAll() {
        return endIf(connection -> true);
    }

    /** us. When {@link #endIdle} has something to do; {@link Long#MAX_VALUE}: not before an answer. */
    long nextUs() {
        return open.values().stream().mapToLong(TransferConnections::closesAtUs).min().orElse(Long.MAX_VALUE);
    }

    private List<Long> endIf(Predicate<Connection> isOver) {
        List<Long> ended = new ArrayList<>();
        Iterator<Map.Entry<Long, Connection>> each = open.entrySet().iterator();
        while (each.hasNext()) {
            Map.Entry<Long, Connection> entry = each.next();
            if (isOver.test(entry.getValue())) {
                ended.add(entry.getKey());
                each.remove();
            }
        }
        return ended;
    }

    private static long closesAtUs(Connection connection) {
        if (!connection.requests.isEmpty()) {
            return Long.MAX_VALUE;
        }
        return connection.takesQueries ? connection.idleSinceUs + IDLE_US : connection.idleSinceUs;
    }
}
