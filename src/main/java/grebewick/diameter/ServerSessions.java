package grebewick.diameter;

import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The sessions at all servers, by the core's number of the call and by Session-Id. */
final class ServerSessions {
    private final Map<Long, ServerSession> byCall = new HashMap<>();
    private final Map<String, ServerSession> byId = new HashMap<>();

    /** Takes a session; it takes the place of an earlier one of the same call. */
    void add(ServerSession session) {
        byCall.put(session.call, session);
        byId.put(session.id, session);
    }

    /** Null where there is none. */
    ServerSession ofCall(long call) {
        return byCall.get(call);
    }

    /** Null where there is none. */
    ServerSession ofId(String id) {
        return byId.get(id);
    }

    /** Whether that session is the one of its call. */
    boolean holds(ServerSession session) {
        return byCall.get(session.call) == session;
    }

    /** Forgets a session; false: it was not the one of its call any more. */
    boolean remove(ServerSession session) {
        byId.remove(session.id, session);
        return byCall.remove(session.call, session);
    }

    /** Servers at which sessions are open. */
    Set<ServerPeer> serversWithOpenSessions() {
        Set<ServerPeer> servers = new LinkedHashSet<>();
        byCall.values().stream().filter(session -> session.stands).forEach(session -> servers.add(session.at));
        return servers;
    }

    /** The core's numbers of the calls whose sessions are at one server. */
    List<Long> callsAt(ServerPeer server) {
        return byCall.values().stream().filter(session -> session.at == server).map(session -> session.call).sorted().toList();
    }

    /** Forgets all that are at one server and under their Session-Id; gives these. */
    List<ServerSession> removeAllAt(ServerPeer server) {
        List<ServerSession> lost = byCall.values().stream().filter(session -> session.at == server)
            .sorted(Comparator.comparingLong(session -> session.call)).toList();
        lost.forEach(this::remove);
        return lost;
    }
}
