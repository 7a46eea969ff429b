package grebewick.core;

import grebewick.core.EventLog.Event;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * For how long servers count as ready: what the list says of a server holds for a term from the last question whose answer
 * confirmed it. Silence of a source is no news: a drain may have begun that could not be told. Off until something is
 * confirmed for the first time, as where no list is asked for. Times are microseconds of the core's clock.
 */
final class ListLeases {
    /** us. What a source has to tell counts as told so long after it happened, whether it was heard or not. */
    static final long TOLD_US = 7_000_000;
    private static final long US_PER_MS = 1_000;

    private final long termUs;
    private final EventLog log;
    /** Null: off. Covers each server that no zone lists. */
    private ListLease wholeList;
    private final Map<String, ListLease> zones = new TreeMap<>();
    /** By server: the zones that list it. */
    private final Map<String, List<ListLease>> zonesOf = new HashMap<>();
    private long dueUs = Long.MAX_VALUE;

    /** Leases that end once a drain that was not heard has had its grace. */
    ListLeases(long drainGraceUs, EventLog log) {
        termUs = TOLD_US + drainGraceUs;
        this.log = log;
    }

    /** What was confirmed holds for a term from its question on. */
    void confirm(ListConfirmation confirmation) {
        ListLease lease = lease(confirmation);
        lease.renew(confirmation.askedUs());
        if (lease.state() != ListLease.State.CONFIRMED) {
            dueUs = Long.MIN_VALUE;
        }
    }

    private ListLease lease(ListConfirmation confirmation) {
        if (!confirmation.zone().equals(ListConfirmation.WHOLE_LIST)) {
            ListLease lease = zones.computeIfAbsent(confirmation.zone(), zone -> newLease(confirmation));
            cover(lease, confirmation.servers());
            return lease;
        }
        if (wholeList == null) {
            wholeList = newLease(confirmation);
        }
        return wholeList;
    }

    private ListLease newLease(ListConfirmation first) {
        dueUs = Long.MIN_VALUE;
        return new ListLease(termUs, first.askedUs());
    }

    /** The zone lists these servers now. */
    private void cover(ListLease zone, Set<String> servers) {
        if (servers.equals(zone.servers())) {
            return;
        }
        zone.servers().forEach(server -> zonesOf.computeIfPresent(server, (id, leases) -> without(leases, zone)));
        servers.forEach(server -> zonesOf.computeIfAbsent(server, id -> new ArrayList<>()).add(zone));
        zone.cover(servers);
        listChanged();
    }

    /** Null: none is left. */
    private static List<ListLease> without(List<ListLease> leases, ListLease zone) {
        leases.remove(zone);
        return leases.isEmpty() ? null : leases;
    }

    /** The zones that are asked for from now on: nothing depends on others any more. */
    void retainZones(Collection<String> followed) {
        zones.forEach((name, lease) -> {
            if (!followed.contains(name)) {
                cover(lease, Set.of());
            }
        });
        zones.keySet().retainAll(followed);
        listChanged();
    }

    /** Other servers are listed than at the last check. */
    void listChanged() {
        if (wholeList != null) {
            dueUs = Long.MIN_VALUE;
        }
    }

    /** Whether what the list says of a server still holds. In several zones, each of them has to be confirmed. */
    boolean isValid(String server, long nowUs) {
        if (wholeList == null) {
            return true;
        }
        for (ListLease lease : zonesOf.getOrDefault(server, List.of(wholeList))) {
            if (!lease.isValid(nowUs)) {
                return false;
            }
        }
        return true;
    }

    /** us. When {@link #check} is due; {@link Long#MAX_VALUE}: never. */
    long dueUs() {
        return dueUs;
    }

    /** The servers, of those listed, whose readiness has run out; logs what has changed. */
    Set<String> check(long nowUs, Set<String> listed) {
        dueUs = Long.MAX_VALUE;
        Set<String> expired = new HashSet<>();
        boolean needsWholeList = false;
        for (String server : listed) {
            needsWholeList |= !zonesOf.containsKey(server);
            if (!isValid(server, nowUs)) {
                expired.add(server);
            }
        }
        if (wholeList != null && needsWholeList) {
            advance("servers=all-others", wholeList, nowUs);
        }
        zones.forEach((name, lease) -> advance("zone=" + name, lease, nowUs));
        return expired;
    }

    private void advance(String what, ListLease lease, long nowUs) {
        if (lease.advance(nowUs)) {
            log.write(Event.SERVER_LIST, () -> what + " state=" + text(lease.state()) + " confirmed-at=" + lease.askedUs()
                + " quiet-ms=" + (nowUs - lease.askedUs()) / US_PER_MS + " left-ms=" + (lease.endUs() - nowUs) / US_PER_MS);
        }
        dueUs = Math.min(dueUs, lease.dueUs());
    }

    private static String text(ListLease.State state) {
        return switch (state) {
            case CONFIRMED, RENEWED_LATE -> "confirmed";
            case QUIET -> "unconfirmed";
            case EXPIRED -> "expired";
        };
    }
}
