package grebewick.discovery.transfer;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Queries and transfers whose answers are still taken, by number. */
final class PendingRequests {
    /**
     * One of them.
     *
     * @param askedUs when it was sent, or a little earlier
     * @param forgetUs when no answer to it is taken any more
     */
    record Pending(long request, ZoneTask task, Replica replica, boolean isTransfer, long askedUs, long forgetUs) {
        /** Whether the zone's task waits for it; false: something else was asked since. */
        boolean isAwaited() {
            return task.request == request;
        }
    }

    private final Map<Long, Pending> byNumber = new LinkedHashMap<>();
    private long last;
    /** us. None is to be forgotten before this; it may be earlier than the first that is. */
    private long forgetsFromUs = Long.MAX_VALUE;

    /** Numbers what the task is about to ask of its replica. */
    void add(ZoneTask task, boolean isTransfer, long nowUs, long forgetUs) {
        task.request = ++last;
        forgetsFromUs = Math.min(forgetsFromUs, forgetUs);
        byNumber.put(last, new Pending(last, task, task.replica, isTransfer, nowUs, forgetUs));
    }

    /** Null: unknown, or forgotten. */
    Pending get(long request) {
        return byNumber.get(request);
    }

    /** Takes it out; null as in {@link #get}. */
    Pending remove(long request) {
        return byNumber.remove(request);
    }

    /** Takes out those whose time is over. */
    List<Pending> removeForgotten(long nowUs) {
        if (nowUs < forgetsFromUs) {
            return List.of();
        }
        forgetsFromUs = Long.MAX_VALUE;
        List<Pending> forgotten = new ArrayList<>();
        Iterator<Pending> each = byNumber.values().iterator();
        while (each.hasNext()) {
            Pending pending = each.next();
            if (pending.forgetUs <= nowUs) {
                forgotten.add(pending);
                each.remove();
            } else {
                forgetsFromUs = Math.min(forgetsFromUs, pending.forgetUs);
            }
        }
        return forgotten;
    }

    /** Takes out all. */
    List<Pending> removeAll() {
        List<Pending> all = List.copyOf(byNumber.values());
        byNumber.clear();
        return all;
    }
}
