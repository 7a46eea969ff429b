package grebewick.core;

import grebewick.core.CallControl.Bounds;
import grebewick.core.CallControl.Fleet;
import grebewick.core.CallControl.Scope;
import grebewick.core.CallControl.ServerEntry;
import grebewick.core.CallControl.Stage;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/** The rules that an attempt has to keep, whatever the module has decided. Knows the stage last told of each server. */
final class AttemptRules {
    private final Bounds bounds;
    private final ListLeases leases;
    private final Map<String, Stage> stages = new HashMap<>();

    /** {@code leases}: for how long what the list says holds. */
    AttemptRules(Bounds bounds, ListLeases leases) {
        this.bounds = bounds;
        this.leases = leases;
    }

    /** News of the list. */
    void update(Fleet news) {
        if (news.scope() != Scope.PARTIAL && news.scope() != Scope.ERROR) {
            stages.clear();
        }
        for (ServerEntry entry : news.entries()) {
            stages.put(entry.server(), entry.stage());
        }
        leases.listChanged();
    }

    /** Whether the list has a server, draining or not. */
    boolean isListed(String server) {
        Stage stage = stages.get(server);
        return stage != null && stage != Stage.DEREGISTERED;
    }

    /** Whether a server is listed as taking new calls, and that still holds. */
    boolean isReady(String server, long nowUs) {
        return stages.get(server) == Stage.HEALTHY && leases.isValid(server, nowUs);
    }

    /** The servers of the list. */
    Set<String> listed() {
        return stages.keySet();
    }

    /** Why attempt {@code copy} of a call may not be made at that server, or null. */
    String violation(CallState<?> call, int copy, String server, long nowUs) {
        Stage stage = stages.get(server);
        if (call.answered) {
            return "call " + call.id + " is answered";
        } else if (call.attempt != null) {
            return "call " + call.id + " has an attempt out";
        } else if (copy - call.takenBack >= bounds.attemptsCap()) {
            return "call " + call.id + " has no attempts left";
        } else if (nowUs < call.notBeforeUs) {
            return "call " + call.id + " awaits its release";
        } else if (stage == null) {
            return server + " is not listed";
        } else if (stage != Stage.HEALTHY) {
            return server + " drains or is gone";
        } else if (!leases.isValid(server, nowUs)) {
            return server + " was not confirmed to be ready for too long";
        }
        return nowUs >= call.dropDeadUs ? "call " + call.id + " is past its time" : null;
    }
}
