package grebewick.discovery.transfer;

import grebewick.config.Endpoint;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The list of all servers, put together from the zones. Servers known from the configuration stay in it until every zone was
 * received, but for those that a zone has named since: the zones alone say what becomes of these.
 */
final class ServerListPublisher {
    /** us. Between two lists at the least: a burst of changes is put together once, not once for each. */
    static final long LEAST_GAP_US = 100_000;

    private final Map<String, Endpoint> known = new LinkedHashMap<>();
    private List<Endpoint> published = List.of();
    private boolean isChanged;
    private long notBeforeUs = Long.MIN_VALUE;

    ServerListPublisher(Collection<Endpoint> known) {
        known.forEach(server -> this.known.put(server.entry().server(), server));
        published = ServerListMerger.merge(List.of(known));
    }

    /** A zone has that content now. */
    void changed(ZoneContent content) {
        known.keySet().removeAll(content.servers().keySet());
        isChanged = true;
    }

    /** The zones that are followed are others now. */
    void zonesChanged() {
        isChanged = true;
    }

    /** us. When there is something to publish; {@link Long#MAX_VALUE}: nothing. */
    long dueUs() {
        return isChanged ? notBeforeUs : Long.MAX_VALUE;
    }

    /** The list, if it is due and another than the one before. */
    Optional<List<Endpoint>> publish(long nowUs, Collection<ZoneTask> zones) {
        if (nowUs < dueUs()) {
            return Optional.empty();
        }
        isChanged = false;
        List<Collection<Endpoint>> parts = new ArrayList<>();
        boolean isComplete = true;
        for (ZoneTask task : zones) {
            Optional<ZoneContent> content = task.follower.content();
            content.ifPresent(held -> parts.add(held.servers().values()));
            isComplete &= content.isPresent();
        }
        if (isComplete) {
            known.clear();
        }
        parts.add(known.values());
        List<Endpoint> list = ServerListMerger.merge(parts);
        if (list.equals(published)) {
            return Optional.empty();
        }
        published = list;
        notBeforeUs = nowUs + LEAST_GAP_US;
        return Optional.of(list);
    }
}
