package grebewick.core;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The calls that wait, have an attempt open or stand, by number: nothing is kept of any other. */
final class CallTable<P> {
    private final Map<Long, CallState<P>> calls = new HashMap<>();
    private long nextId = 1;
    private int unanswered;

    /** The number of the next call, each given once; above 0. */
    long nextId() {
        return nextId++;
    }

    /** Takes a call that wants its answer. */
    void add(CallState<P> call) {
        unanswered++;
        calls.put(call.id, call);
    }

    /** Null where the call is over or there was none. */
    CallState<P> find(long id) {
        return calls.get(id);
    }

    /** The call is over. */
    void remove(CallState<P> call) {
        calls.remove(call.id);
    }

    /** A call that wanted its answer gets it now. */
    void answered(CallState<P> call) {
        call.answered = true;
        unanswered--;
    }

    /** Calls that still want their answer. */
    int unanswered() {
        return unanswered;
    }

    int size() {
        return calls.size();
    }

    /** The numbers of all calls, as they are now. */
    List<Long> ids() {
        return List.copyOf(calls.keySet());
    }

    /** Calls that stood at a server before that moment, the eldest number first. */
    List<CallState<P>> standingAt(String server, long beforeUs) {
        List<CallState<P>> standing = new ArrayList<>();
        for (CallState<P> call : calls.values()) {
            if (server.equals(call.standsAt) && call.stoodUs < beforeUs) {
                standing.add(call);
            }
        }
        standing.sort(Comparator.comparingLong(call -> call.id));
        return standing;
    }
}
