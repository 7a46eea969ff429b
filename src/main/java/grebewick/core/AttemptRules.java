package grebewick.core;

import grebewick.core.CallControl.Bounds;
import grebewick.core.CallControl.Fleet;
import grebewick.core.CallControl.Scope;
import grebewick.core.CallControl.ServerEntry;
import grebewick.core.CallControl.Stage;
import java.util.HashMap;
import java.util.Map;

/** The rules that an attempt has to keep, whatever the module has decided. Knows the stage last told of each server. */
final class AttemptRules {
    private final Bounds bounds;
    private final Map<String, Stage> stages = new HashMap<>();

    AttemptRules(Bounds bounds) {
        this.bounds = bounds;
    }

    /** News of the list. */
    void update(Fleet news) {
        if (news.scope() != Scope.PARTIAL && news.scope() != Scope.ERROR) {
            stages.clear();
        }
        for (ServerEntry entry : news.entries()) {
            stages.put(entry.server(), entry.stage());
        }
    }

    /** Whether the list has a server, draining or not. */
    boolean isListed(String server) {
        Stage stage = stages.get(server);
        return stage != null && stage != Stage.DEREGISTERED;
    }

    /** Whether a server is listed and takes new calls. */
    boolean isHealthy(String server) {
        return stages.get(server) == Stage.HEALTHY;
    }

    /** Why attempt {@code copy} of a call may not be made at that server, or null. */
    String violation(CallState<?> call, int copy, String server, long nowUs) {
        Stage stage = stages.get(server);
        if (call.answered) {
            return "call " + call.id + " is answered";
        } else if (call.attempt != null) {
            return "call " + call.id + " has an attempt out";
        } else if (copy >= bounds.attemptsCap()) {
            return "call " + call.id + " has no attempts left";
        } else if (nowUs < call.notBeforeUs) {
            return "call " + call.id + " awaits its release";
        } else if (stage == null) {
            return server + " is not listed";
        } else if (stage != Stage.HEALTHY) {
            return server + " drains or is gone";
        }
        return nowUs >= call.dropDeadUs ? "call " + call.id + " is past its time" : null;
    }
}
