package grebewick.discovery.replica;

import grebewick.config.Endpoint;
import grebewick.discovery.transfer.ZoneChange;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Condenses a chain of changes (RFC 1995, section 5): of each server only its first and its last state count. */
final class ChangeChain {
    private ChangeChain() {}

    /** The one change that does what a chain without gaps does. */
    static ZoneChange condense(Collection<ZoneChange> chain) {
        Map<String, Difference> differences = new LinkedHashMap<>();
        ZoneChange first = null;
        ZoneChange last = null;
        for (ZoneChange change : chain) {
            first = first == null ? change : first;
            last = change;
            for (Endpoint server : change.removed()) {
                differences.computeIfAbsent(server.entry().server(), id -> new Difference(server)).after = null;
            }
            for (Endpoint server : change.added()) {
                differences.computeIfAbsent(server.entry().server(), id -> new Difference(null)).after = server;
            }
        }
        if (first == null) {
            throw new IllegalArgumentException("no changes");
        }
        List<Endpoint> removed = new ArrayList<>();
        List<Endpoint> added = new ArrayList<>();
        for (Difference difference : differences.values()) {
            difference.tell(removed, added);
        }
        return new ZoneChange(first.from(), last.to(), removed, added);
    }

    /** What became of one server; null: not there. */
    private static final class Difference {
        private final Endpoint before;
        private Endpoint after;

        Difference(Endpoint before) {
            this.before = before;
        }

        void tell(List<Endpoint> removed, List<Endpoint> added) {
            if (before != null && !before.equals(after)) {
                removed.add(before);
            }
            if (after != null && !after.equals(before)) {
                added.add(after);
            }
        }
    }
}
