package grebewick.discovery.transfer;

import grebewick.config.Endpoint;
import java.util.List;

/**
 * The difference between two versions of a zone. A server that changed is in both lists, as it was and as it is.
 *
 * @param removed the servers to take out, as they were: RFC 1995 deletes whole records
 * @param added the servers to put in
 */
public record ZoneChange(ZoneVersion from, ZoneVersion to, List<Endpoint> removed, List<Endpoint> added) {
    /** Copies the lists; refuses a change that does not lead to a later version of the same epoch. */
    public ZoneChange {
        if (from.epoch() != to.epoch() || !to.isAfter(from)) {
            throw new IllegalArgumentException("no change leads from " + from + " to " + to);
        }
        removed = List.copyOf(removed);
        added = List.copyOf(added);
    }
}
