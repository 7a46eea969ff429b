package grebewick.trunk;

import grebewick.config.Endpoint;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;

/**
 * The connections with all servers, by the server's id: of those that the list has, and of those that it has dropped, until
 * the last of their connections is closed. Whoever looks at all connections in turn sees both.
 */
final class ServerRegistry {
    private final Function<Endpoint, ServerConnections> maker;
    private final Map<String, ServerConnections> listed = new TreeMap<>();
    private final Map<String, ServerConnections> departed = new TreeMap<>();

    /** No server is known yet; {@code maker} makes what a new one needs. */
    ServerRegistry(Function<Endpoint, ServerConnections> maker) {
        this.maker = maker;
    }

    /** Of a server that the list has; null: it does not. */
    ServerConnections find(String id) {
        return listed.get(id);
    }

    /** Of all servers, listed or not. */
    List<ServerConnections> all() {
        List<ServerConnections> all = new ArrayList<>(listed.values());
        all.addAll(departed.values());
        return all;
    }

    /** Drops from the list whatever is not named; gives these. */
    List<ServerConnections> unlistAllBut(Set<String> ids) {
        List<ServerConnections> gone = listed.values().stream().filter(server -> !ids.contains(server.id)).toList();
        for (ServerConnections server : gone) {
            listed.remove(server.id);
            departed.put(server.id, server);
            server.unlist();
        }
        return gone;
    }

    /** The list has a server that it did not have. One that was dropped a moment ago is back with its connections. */
    ServerConnections list(Endpoint endpoint) {
        String id = endpoint.entry().server();
        ServerConnections server = departed.remove(id);
        if (server == null) {
            server = maker.apply(endpoint);
        } else {
            server.relist();
        }
        listed.put(id, server);
        return server;
    }

    /** Looks after all connections, and forgets dropped servers that none is left with. */
    void sweep(long nowUs) {
        all().forEach(server -> server.sweep(nowUs));
        departed.values().removeIf(ServerConnections::isClosed);
    }
}
