package grebewick.lab.faults;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;

/**
 * A drawn sequence of faults: the same for the same seed. Faults of servers follow one another with overlaps; each server is
 * struck once at the most.
 *
 * @param seed drawn from
 * @param gatekeepers processes
 * @param servers listed
 * @param events in the order of their time
 */
record SoakPlan(long seed, int gatekeepers, int servers, List<Event> events) {
    private static final int LEAST_GATEKEEPERS = 2;
    private static final int MOST_MORE_GATEKEEPERS = 2;
    private static final int SERVERS = 5;
    private static final int FIRST_MS = 5_000;
    private static final int SPREAD_MS = 9_000;
    private static final int LONGEST_CUT_MS = 6_000;
    private static final int LONGEST_DISCOVERY_MS = 8_000;
    private static final int LONGEST_AWAY_MS = 3_000;

    /** What strikes. */
    enum Kind {
        VANISH, VANISH_AND_REPLACE, DIE, CUT, HANG, RESETS, DISCOVERY_SILENT, GATEKEEPER_TERM, GATEKEEPER_KILL, CALLERS_AWAY;

        boolean isOfServer() {
            return ordinal() <= RESETS.ordinal();
        }
    }

    /** {@code target}: number of the server or gatekeeper; {@code forMs}: until it is over, where it ends. */
    record Event(long atMs, Kind kind, int target, long forMs) {}

    static SoakPlan draw(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        int gatekeepers = LEAST_GATEKEEPERS + random.nextInt(MOST_MORE_GATEKEEPERS + 1);
        List<Event> events = new ArrayList<>();
        int struck = 1 + random.nextInt(3);
        for (int server = 0; server < struck; server++) {
            Kind kind = Kind.values()[random.nextInt(Kind.RESETS.ordinal() + 1)];
            events.add(new Event(at(random), kind, server, 2_000 + random.nextInt(LONGEST_CUT_MS - 2_000 + 1)));
        }
        if (random.nextBoolean()) {
            events.add(new Event(at(random), Kind.DISCOVERY_SILENT, 0, 1_000 + random.nextInt(LONGEST_DISCOVERY_MS)));
        }
        if (random.nextInt(3) == 0) {
            Kind kind = random.nextInt(3) == 0 ? Kind.GATEKEEPER_KILL : Kind.GATEKEEPER_TERM;
            events.add(new Event(at(random), kind, random.nextInt(gatekeepers), 0));
        }
        if (random.nextInt(3) == 0) {
            events.add(new Event(at(random), Kind.CALLERS_AWAY, random.nextInt(gatekeepers),
                500 + random.nextInt(LONGEST_AWAY_MS - 500)));
        }
        events.sort(Comparator.comparingLong(Event::atMs));
        return new SoakPlan(seed, gatekeepers, SERVERS, List.copyOf(events));
    }

    private static long at(SplittableRandom random) {
        return FIRST_MS + random.nextInt(SPREAD_MS);
    }
}
