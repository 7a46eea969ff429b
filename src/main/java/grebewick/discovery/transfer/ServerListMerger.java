package grebewick.discovery.transfer;

import grebewick.config.Endpoint;
import grebewick.core.CallControl.Stage;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** One list out of several zones, in the order of ids. */
final class ServerListMerger {
    private ServerListMerger() {}

    /** The list; a server that is in several zones is as {@link #later} says. */
    static List<Endpoint> merge(Collection<? extends Collection<Endpoint>> zones) {
        Map<String, Endpoint> servers = new TreeMap<>();
        for (Collection<Endpoint> zone : zones) {
            zone.forEach(server -> servers.merge(server.entry().server(), server, ServerListMerger::later));
        }
        return List.copyOf(servers.values());
    }

    /** The later start counts; of one start the drain, which is never undone. */
    private static Endpoint later(Endpoint one, Endpoint other) {
        long startedUs = one.entry().startedAtUs();
        long otherStartedUs = other.entry().startedAtUs();
        if (startedUs != otherStartedUs) {
            return startedUs > otherStartedUs ? one : other;
        }
        return other.entry().stage() == Stage.HEALTHY ? one : other;
    }
}
