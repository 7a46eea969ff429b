package grebewick.diameter;

import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The latest sessions that this process has had and that are over: what is said of any other that it does not know concerns one
 * from before its start.
 */
final class EndedSessions {
    /** Above it the eldest is forgotten. */
    static final int MOST = 4_096;

    private final Set<String> ids = new LinkedHashSet<>();

    void add(String sessionId) {
        ids.remove(sessionId);
        ids.add(sessionId);
        if (ids.size() > MOST) {
            Iterator<String> eldest = ids.iterator();
            eldest.next();
            eldest.remove();
        }
    }

    boolean has(String sessionId) {
        return ids.contains(sessionId);
    }
}
