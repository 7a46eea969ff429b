package grebewick.diameter;

import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The latest sessions that this process has had and that are over: what is said of any other that it does not know concerns one
 * from before its start.
 */
final class EndedSessions {
    /** Above either the eldest are forgotten. */
    static final int MOST = 4_096;
    static final int MOST_CHARACTERS = 512 * 1024;

    private final Set<String> ids = new LinkedHashSet<>();
    private int characters;

    void add(String sessionId) {
        characters += ids.remove(sessionId) ? 0 : sessionId.length();
        ids.add(sessionId);
        Iterator<String> eldest = ids.iterator();
        while (ids.size() > MOST || characters > MOST_CHARACTERS) {
            characters -= eldest.next().length();
            eldest.remove();
        }
    }

    int size() {
        return ids.size();
    }

    boolean has(String sessionId) {
        return ids.contains(sessionId);
    }
}
