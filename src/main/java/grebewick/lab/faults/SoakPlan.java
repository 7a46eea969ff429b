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
 * @param servers listed at the start
 * @param deadlineMs how long callers wait, and the longest deadline of the deployment
 * @param answerMs from a set-up to its answer
 * @param events in the order of their time
 */
record SoakPlan(long seed, int gatekeepers, int servers, long deadlineMs, long answerMs, List<Event> events) {
    private static final int LEAST_GATEKEEPERS = 2;
    private static final int MOST_MORE_GATEKEEPERS = 2;
    private static final int SERVERS = 6;
    private static final int MOST_STRUCK = 4;
    private static final int FIRST_MS = 5_000;
    private static final int SPREAD_MS = 9_000;
    private static final int LEAST_FAULT_MS = 2_000;
    private static final int LONGEST_CUT_MS = 6_000;
    /** ms. A drain lasts for longer than it may go unheeded. */
    private static final int MORE_DRAIN_MS = 2_000;
    private static final int LONGEST_DISCOVERY_MS = 8_000;
    private static final int LONGEST_AWAY_MS = 3_000;
    private static final int CROWD_MS = 2_000;
    private static final long[] DEADLINES_MS = {1_000, 2_000, 3_000};
    private static final long[] ANSWERS_MS = {20, 20, 150, 300};

    /** What strikes. */
    enum Kind {
        /** Its machine vanishes, and the list goes on naming it. */
        VANISH,
        /** The same, and 2 s later another process has its address. */
        VANISH_AND_REPLACE,
        /** Its process dies with resets. */
        DIE,
        /** The same, another process has its address, and the list tells of the start later. */
        RESTART,
        /** The list drops it, it answers for a while and vanishes; another server comes in its place. */
        UNLIST,
        /** The list drops it and is back with it a moment later, as it was. */
        UNLIST_AND_BACK,
        /** It drains, then leaves the list and ends; another server comes in its place. */
        DRAIN,
        /** Nothing passes between it and the gatekeepers for a while. */
        CUT,
        /** It hangs for a while. */
        HANG,
        /** All its connections are reset. */
        RESETS,
        /** The name service answers nobody for a while. */
        DISCOVERY_SILENT,
        /** One gatekeeper is given several configurations at once, each of which moves the name service. */
        RELOADS,
        /** One gatekeeper is told to end, killed at the earliest, and started again. */
        GATEKEEPER_TERM,
        /** All are, one after another, each with a series of signals. */
        ROLLING_TERM,
        /** One is killed and started again. */
        GATEKEEPER_KILL,
        /** One gatekeeper's callers close their connections, and come back. */
        CALLERS_AWAY,
        /** Many more callers come to all of them for a while. */
        CROWD;

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
        int struck = 1 + random.nextInt(MOST_STRUCK);
        for (int server = 0; server < struck; server++) {
            Kind kind = Kind.values()[random.nextInt(Kind.RESETS.ordinal() + 1)];
            long atMs = at(random);
            long forMs = LEAST_FAULT_MS + random.nextInt(LONGEST_CUT_MS - LEAST_FAULT_MS + 1);
            events.add(new Event(atMs, kind, server, kind == Kind.DRAIN ? forMs + MORE_DRAIN_MS : forMs));
        }
        if (random.nextBoolean()) {
            events.add(new Event(at(random), Kind.DISCOVERY_SILENT, 0, 1_000 + random.nextInt(LONGEST_DISCOVERY_MS)));
        }
        int gatekeeper = random.nextInt(gatekeepers);
        switch (random.nextInt(4)) {
            case 0 -> events.add(new Event(at(random), Kind.GATEKEEPER_TERM, gatekeeper, 0));
            case 1 -> events.add(new Event(FIRST_MS, Kind.ROLLING_TERM, 0, 0));
            case 2 -> events.add(new Event(at(random), Kind.GATEKEEPER_KILL, gatekeeper, 0));
            default -> {}
        }
        if (random.nextInt(3) == 0) {
            events.add(new Event(at(random), Kind.RELOADS, random.nextInt(gatekeepers), 0));
        }
        if (random.nextInt(3) == 0) {
            events.add(new Event(at(random), Kind.CALLERS_AWAY, random.nextInt(gatekeepers),
                500 + random.nextInt(LONGEST_AWAY_MS - 500)));
        }
        if (random.nextInt(3) == 0) {
            events.add(new Event(at(random), Kind.CROWD, 0, CROWD_MS));
        }
        events.sort(Comparator.comparingLong(Event::atMs));
        return new SoakPlan(seed, gatekeepers, SERVERS, DEADLINES_MS[random.nextInt(DEADLINES_MS.length)],
            ANSWERS_MS[random.nextInt(ANSWERS_MS.length)], List.copyOf(events));
    }

    private static long at(SplittableRandom random) {
        return FIRST_MS + random.nextInt(SPREAD_MS);
    }
}
