package grebewick.diameter;

import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * Requests by their key, Origin-Host and End-to-End Identifier, so that a repeat is told from a new one (RFC
 * 6733, section 3): those
 * in hand, and the latest answers, in bounded memory.
 */
final class AnsweredRequests {
    /** Above either the eldest answers are forgotten. */
    static final int MOST_ANSWERS = 5_000;
    static final int MOST_BYTES = 2 * 1024 * 1024;

    private final Set<String> inHand = new HashSet<>();
    private final Map<String, DiameterMessage> answers = new LinkedHashMap<>();
    private long bytes;

    void taken(String key) {
        inHand.add(key);
    }

    void answered(String key, DiameterMessage answer) {
        forget(key);
        answers.put(key, answer);
        bytes += weight(key, answer);
        Iterator<Map.Entry<String, DiameterMessage>> eldest = answers.entrySet().iterator();
        while (answers.size() > MOST_ANSWERS || bytes > MOST_BYTES) {
            Map.Entry<String, DiameterMessage> entry = eldest.next();
            bytes -= weight(entry.getKey(), entry.getValue());
            eldest.remove();
        }
    }

    void forget(String key) {
        inHand.remove(key);
        DiameterMessage given = answers.remove(key);
        if (given != null) {
            bytes -= weight(key, given);
        }
    }

    boolean isInHand(String key) {
        return inHand.contains(key);
    }

    /** The answer that was given; null: there is none, or it is forgotten. */
    DiameterMessage answer(String key) {
        return answers.get(key);
    }

    private static int weight(String key, DiameterMessage answer) {
        return 2 * key.length() + answer.weight();
    }
}
