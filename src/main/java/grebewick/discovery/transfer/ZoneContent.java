package grebewick.discovery.transfer;

import grebewick.config.Endpoint;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * All servers of a zone at one version; never changes.
 *
 * @param servers by id
 */
public record ZoneContent(ZoneVersion version, Map<String, Endpoint> servers) {
    /** Copies the map. */
    public ZoneContent {
        servers = Collections.unmodifiableMap(new LinkedHashMap<>(servers));
    }

    /** A content of these servers; refuses an id that is there twice. */
    public static ZoneContent of(ZoneVersion version, Collection<Endpoint> servers) {
        Map<String, Endpoint> byId = new LinkedHashMap<>();
        for (Endpoint server : servers) {
            if (byId.put(server.entry().server(), server) != null) {
                throw new IllegalArgumentException("server " + server.entry().server() + " is there twice");
            }
        }
        return new ZoneContent(version, byId);
    }

    /**
     * The content after a change.
     *
     * @throws TransferException {@link TransferException.Kind#GAP}: the change is from another version, or does not fit
     */
    public ZoneContent apply(ZoneChange change) throws TransferException {
        if (!change.from().equals(version)) {
            throw gap("a change from " + change.from() + " to a zone at " + version);
        }
        Map<String, Endpoint> after = new LinkedHashMap<>(servers);
        for (Endpoint server : change.removed()) {
            if (after.remove(server.entry().server()) == null) {
                throw gap("server " + server.entry().server() + " is to be removed and is not there");
            }
        }
        for (Endpoint server : change.added()) {
            if (after.put(server.entry().server(), server) != null) {
                throw gap("server " + server.entry().server() + " is to be added and is there already");
            }
        }
        return new ZoneContent(change.to(), after);
    }

    /** The change that leads from this content to a later one of the same epoch. */
    public ZoneChange changeTo(ZoneContent later) {
        List<Endpoint> removed = new ArrayList<>();
        List<Endpoint> added = new ArrayList<>();
        servers.forEach((id, server) -> {
            if (!server.equals(later.servers.get(id))) {
                removed.add(server);
            }
        });
        later.servers.forEach((id, server) -> {
            if (!server.equals(servers.get(id))) {
                added.add(server);
            }
        });
        return new ZoneChange(version, later.version, removed, added);
    }

    private static TransferException gap(String text) {
        return new TransferException(TransferException.Kind.GAP, text);
    }
}
