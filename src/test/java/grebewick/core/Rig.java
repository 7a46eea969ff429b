package grebewick.core;

import grebewick.core.CallControl.*;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** One module under test with a clock, its reminders, and what it has sent. Nothing here decides. */
final class Rig {
    static final long SECOND = 1_000_000;
    final List<Action> actions = new ArrayList<>();
    final List<Remind> reminders = new ArrayList<>();
    final Map<Long, Integer> copies = new HashMap<>();
    final CallControl module;
    long nowUs;
    private long nextCall = 1;

    Rig(Settings settings, long seed, ServerEntry... list) {
        this(settings, seed, 1000 * SECOND, list);
    }

    /** One that starts at that moment. */
    Rig(Settings settings, long seed, long startUs, ServerEntry... list) {
        nowUs = startUs;
        module = new Logic(settings, seed);
        feed(new Fleet(Scope.PERSISTED, 1, List.of(list)));
    }

    static Settings settings() {
        return settings("pools", "push", "retryable", 4, 3.0, List.of("free", "size"));
    }

    static Settings settings(String shape, String registry, String effect, int replicas, double factor,
                             List<String> fields) {
        Grade a = new Grade("a", "all", effect, 2 * SECOND, 9 * SECOND, 0.25, true, 5 * SECOND, 1, 0);
        Grade b = new Grade("b", "zone", effect, 2 * SECOND, 9 * SECOND, 0.1, true, 5 * SECOND, 2, 0);
        return new Settings(new Blend(1, 0, 0, 0),
            new Bounds(4, true, SECOND / 2, 0, 0, 0, 1000, 2 * SECOND, false, false, true, false, 1),
            new Clients(false), "x",
            new FamilyInfo("off", false, -1, List.of(), List.of(List.of(0, 1, 2), List.of(0, 1, 2)),
                SECOND / 5, 0, true, shape, List.of()),
            new Fees(0, 0, 0, 0, 0, 0, 0, 0, 0, 0), List.of(), List.of(a, b), 0, 0.1, 5000, List.of(), registry,
            replicas, new Report(fields, "inline"),
            new Rules(20_000, 10 * SECOND, 10 * SECOND, 0.3, SECOND, SECOND, factor), 0, List.of("t"), "off",
            "request", "z", List.of("z"));
    }

    static ServerEntry up(String id, int place) {
        return new ServerEntry(id, place, Stage.HEALTHY, 0, "m", "z" + place, 1);
    }

    static ServerEntry at(String id, int place, Stage stage, long startedAtUs) {
        return new ServerEntry(id, place, stage, startedAtUs, "m", "z" + place, 1);
    }

    /** Feeds one event; returns what it led to, reminders and log lines apart. */
    List<Action> feed(Event event) {
        List<Action> got = new ArrayList<>();
        module.handle(nowUs, event, action -> {
            if (action instanceof Remind r) {
                reminders.add(r);
            } else if (!(action instanceof Trace)) {
                got.add(action);
                actions.add(action);
            }
        });
        return got;
    }

    /** Lets time pass, reminders coming due in order. */
    List<Action> pass(long us) {
        List<Action> got = new ArrayList<>();
        long end = nowUs + us;
        while (true) {
            Remind next = null;
            for (Remind r : reminders) {
                next = r.momentUs() <= end && (next == null || r.momentUs() < next.momentUs()) ? r : next;
            }
            if (next == null) {
                nowUs = end;
                return got;
            }
            reminders.remove(next);
            nowUs = Math.max(nowUs, next.momentUs());
            got.addAll(feed(new Due(next.name())));
        }
    }

    Call call(int farEnd) {
        return call(farEnd, "a", "", nowUs + 3 * SECOND);
    }

    Call call(int farEnd, String band, String item, long dropDeadUs) {
        return new Call(nextCall++, dropDeadUs, false, false, false, 1, false, 0, "", -1, item, farEnd, band);
    }

    List<Action> offer(int farEnd) {
        return feed(call(farEnd));
    }

    /** Offers calls until {@code open} set-ups went to the server; gives the attempts. */
    List<Attempt> open(String server, int farEnd, int open) {
        List<Attempt> got = new ArrayList<>();
        for (int i = 0; i < open; i++) {
            got.add(attempt(offer(farEnd), server));
        }
        return got;
    }

    static Attempt attempt(List<Action> got, String server) {
        for (Action action : got) {
            if (action instanceof Attempt a && (server == null || a.server().equals(server))) {
                return a;
            }
        }
        throw new AssertionError("no attempt at " + server + " in " + got);
    }

    List<Action> stands(Attempt a) {
        return feed(new Started(a.call(), copy(a), a.server(), 0));
    }

    List<Action> ends(Attempt a, State state, long why) {
        return feed(new Result(a.call(), copy(a), state, state == State.OK, a.server(), 0, why, List.of()));
    }

    /** Number of this attempt among those of its call. */
    int copy(Attempt a) {
        int n = 0;
        for (Action action : actions) {
            if (action == a) {
                return n;
            }
            n += action instanceof Attempt other && other.call() == a.call() ? 1 : 0;
        }
        return n;
    }

    long attempts(String server) {
        return actions.stream().filter(x -> x instanceof Attempt a && a.server().equals(server)).count();
    }

    long finals(long call) {
        return actions.stream().filter(x -> x instanceof Refuse r && r.call() == call
            || x instanceof Surrender s && s.call() == call).count();
    }

    /** Ends the first interval, in which control is on at the floor, without an overload outcome. */
    Rig settled() {
        pass(6 * SECOND);
        return this;
    }
}
