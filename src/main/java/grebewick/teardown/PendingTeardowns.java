package grebewick.teardown;

import java.util.ArrayList;
import java.util.Collection;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/**
 * The ends of calls that are yet to be told (teardown: BYE, ASR, STR). An end is {@linkplain #owe entered} once,
 * written by {@link #work}, and leaves when it is {@linkplain #told confirmed} or its policy says so. Not thread safe:
 * one event loop drives it. Times are microseconds of one monotonic clock, handed in.
 *
 * <pre>
 *   owe -> READY -> work: written -> SENT (tries left) or SPENT
 *                   work: no way  -> STRANDED -> found -> READY
 *   SENT  -> due: READY, on another way
 *   SENT, SPENT -> lost, denied, found (likelier) -> READY
 *   any   -> told; SPENT, STRANDED -> due: forgotten
 * </pre>
 *
 * <p>Every step costs as much as the ends that it moves, and none looks through all that are held.
 */
public final class PendingTeardowns<K, M, W> {
    /** Refusals by those who do not know the call after which no other is asked. */
    private static final int MOST_DENIED = 3;

    private enum State { READY, STRANDED, SENT, SPENT }

    private final RetryPolicy policy;
    private final TeardownRoutes<K, M, W> ways;
    private final Map<K, Entry<K, M, W>> all = new HashMap<>();
    /** Each in the order in which its ends came there, so that what is due comes first. */
    private final Map<State, LinkedHashMap<K, Entry<K, M, W>>> by = new EnumMap<>(State.class);
    private final Map<W, Set<Entry<K, M, W>>> on = new IdentityHashMap<>();
    private long told;
    private long again;
    private long unheard;
    private long lapsed;
    private long dropped;

    /** Nothing is pending at first. */
    public PendingTeardowns(RetryPolicy policy, TeardownRoutes<K, M, W> ways) {
        this.policy = policy;
        this.ways = ways;
        for (State state : State.values()) {
            by.put(state, new LinkedHashMap<>());
        }
    }

    /** Enters an end, to be told on {@code first} if that is still open (null: wherever is best). Once a key. */
    public void owe(K key, M message, W first, long nowUs) {
        if (all.containsKey(key)) {
            return;
        }
        if (all.size() >= policy.most()) {
            drop();
        }
        Entry<K, M, W> e = new Entry<>(key, message);
        all.put(key, e);
        e.way = first;
        e.sinceUs = nowUs;
        e.state = State.READY;
        by.get(State.READY).put(key, e);
    }

    /** Least useful first: what was written most often has most likely arrived; what waits longest matters least. */
    private void drop() {
        for (State state : List.of(State.SPENT, State.SENT, State.STRANDED, State.READY)) {
            Iterator<Entry<K, M, W>> eldest = by.get(state).values().iterator();
            if (eldest.hasNext()) {
                abandon(eldest.next(), Abandonment.NO_ROOM);
                dropped++;
                return;
            }
        }
    }

    /** Writes the eldest that are ready, {@code most} of them; true: more are ready. */
    public boolean work(long nowUs, int most) {
        LinkedHashMap<K, Entry<K, M, W>> ready = by.get(State.READY);
        for (int i = 0; i < most && !ready.isEmpty(); i++) {
            Entry<K, M, W> e = ready.values().iterator().next();
            W way = e.way != null && ways.rank(e.way) >= 0 ? e.way : ways.best(e.key, e.not);
            if (way == null) {
                leave(e);
                move(e, State.STRANDED);
                continue;
            }
            leave(e);
            e.way = way;
            on.computeIfAbsent(way, w -> new LinkedHashSet<>()).add(e);
            again += e.tries > 0 ? 1 : 0;
            e.tries++;
            e.sentUs = nowUs;
            // First the state: the write may bring its answer, or the way's loss, before it returns.
            move(e, e.tries < policy.tries() ? State.SENT : State.SPENT);
            ways.write(e.key, e.message, way, e.tries > 1);
        }
        return !ready.isEmpty();
    }

    /** The other side has heard it, wherever it said so; false: no such end is owed. */
    public boolean told(K key) {
        Entry<K, M, W> e = all.get(key);
        if (e == null) {
            return false;
        }
        told++;
        forget(e);
        return true;
    }

    /** Whether an end was entered and is neither confirmed nor forgotten. */
    public boolean owes(K key) {
        return all.containsKey(key);
    }

    /** Whether an end is entered and was not written since it was entered. */
    public boolean isUnwritten(K key) {
        Entry<K, M, W> e = all.get(key);
        return e != null && e.tries == 0;
    }

    /** Who listens at {@code by} does not know the call: another one is told, if it was told there last. */
    public void denied(K key, W by) {
        Entry<K, M, W> e = all.get(key);
        if (e != null && e.way == by && e.state != State.READY && ++e.denied < MOST_DENIED) {
            ready(e, null);
            e.not = by;
        }
    }

    /** A way is closed: what was told there and not confirmed is told elsewhere. */
    public void lost(W way) {
        for (Entry<K, M, W> e : at(way)) {
            ready(e, null);
        }
    }

    /** A way has come up, or become likelier: what has none goes there, and what was told on a less likely one. */
    public void found(W way) {
        for (Entry<K, M, W> e : List.copyOf(by.get(State.STRANDED).values())) {
            ready(e, null);
        }
        int rank = ways.rank(way);
        for (W other : List.copyOf(on.keySet())) {
            if (other != way && ways.rank(other) < rank) {
                for (Entry<K, M, W> e : at(other)) {
                    ready(e, way);
                }
            }
        }
    }

    /** Time has passed: what had no answer gets ready again, what was kept long enough is forgotten. */
    public void due(long nowUs) {
        for (Entry<K, M, W> e : first(State.SENT, e -> nowUs - e.sentUs >= policy.resendUs())) {
            W other = ways.best(e.key, e.way);
            ready(e, other == null ? e.way : other);
        }
        for (Entry<K, M, W> e : first(State.SPENT, e -> nowUs - e.sentUs >= policy.heardUs())) {
            unheard++;
            abandon(e, Abandonment.NO_ANSWER);
        }
        for (Entry<K, M, W> e : first(State.STRANDED, e -> nowUs - e.sinceUs >= policy.keptUs())) {
            lapsed++;
            abandon(e, Abandonment.NO_CONNECTION);
        }
    }

    /** Nobody is left who would want to hear these. */
    public void forgetIf(Predicate<K> which) {
        for (Entry<K, M, W> e : List.copyOf(all.values())) {
            if (which.test(e.key)) {
                forget(e);
            }
        }
    }

    /** The figures. */
    public TeardownCounts counts() {
        return new TeardownCounts(told, again, unheard, lapsed, dropped,
            by.get(State.READY).size() + by.get(State.STRANDED).size(),
            by.get(State.SENT).size(), by.get(State.SPENT).size());
    }

    /** Ends that are to be written at the next {@link #work}. */
    public int ready() {
        return by.get(State.READY).size();
    }

    private List<Entry<K, M, W>> at(W way) {
        Collection<Entry<K, M, W>> there = on.get(way);
        return there == null ? List.of() : List.copyOf(there);
    }

    private List<Entry<K, M, W>> first(State state, Predicate<Entry<K, M, W>> due) {
        List<Entry<K, M, W>> found = new ArrayList<>();
        for (Entry<K, M, W> e : by.get(state).values()) {
            if (!due.test(e)) {
                break;
            }
            found.add(e);
        }
        return found;
    }

    private void ready(Entry<K, M, W> e, W way) {
        leave(e);
        e.way = way;
        e.not = null;
        move(e, State.READY);
    }

    private void move(Entry<K, M, W> e, State to) {
        by.get(e.state).remove(e.key);
        e.state = to;
        by.get(to).put(e.key, e);
    }

    private void leave(Entry<K, M, W> e) {
        Set<Entry<K, M, W>> there = e.way == null ? null : on.get(e.way);
        if (there != null && there.remove(e) && there.isEmpty()) {
            on.remove(e.way);
        }
    }

    private void abandon(Entry<K, M, W> e, Abandonment why) {
        forget(e);
        ways.abandoned(e.key, why, e.tries);
    }

    private void forget(Entry<K, M, W> e) {
        leave(e);
        by.get(e.state).remove(e.key);
        all.remove(e.key);
    }

    private static final class Entry<K, M, W> {
        final K key;
        final M message;
        State state;
        W way;
        /** Who has just said that it does not know the call. */
        W not;
        long sinceUs;
        long sentUs;
        int tries;
        int denied;

        Entry(K key, M message) {
            this.key = key;
            this.message = message;
        }
    }
}
