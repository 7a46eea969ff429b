package grebewick.lab.faults;

import grebewick.lab.faults.FaultProxy.OldConnections;

/** What happens to servers while calls stand on them, and what callers are to be told. */
enum VanishingFault {
    /** Machines vanish, discovery goes on listing them. */
    VANISH(true, true),
    /** The same, and discovery has been silent for 1.5 s. */
    VANISH_DISCOVERY_SILENT(true, false),
    /** Machines vanish; 2 s later the connections are reset, and other processes listen at the addresses. */
    REPLACED_WITH_RESETS(true, false),
    /** Machines vanish; 2 s later other processes listen there, old connections are reset when they are written to. */
    REPLACED_RESET_WHEN_WRITTEN_TO(true, false),
    /** Machines vanish; 2 s later other processes listen there, old connections stay silent whatever is written. */
    REPLACED_OLD_SILENT(true, true),
    /** Processes die with resets. */
    DIE(true, false),
    /** Processes hang for 4 s, then die with resets. */
    HANG_THEN_DIE(true, false),
    /** Machines vanish while no caller is connected; callers are back after 3 s. */
    VANISH_WITHOUT_CALLERS(true, false),
    /** Processes die while no caller is connected; callers are back after 3 s. */
    DIE_WITHOUT_CALLERS(true, false),
    /** The network is cut for 6 s and comes back: the calls still stand. */
    CUT_FOR_6_S(false, false),
    /** Processes hang for 6 s and go on: the calls still stand. */
    HANG_FOR_6_S(false, true),
    /** All connections with running processes are reset at once, and again 1 s later: the calls still stand. */
    RESETS(false, true),
    /** The list drops the servers while set-ups are out there; these are answered once that was read, then machines vanish. */
    UNLISTED_THEN_VANISH(true, true),
    /** The same, and then the processes die with resets. */
    UNLISTED_THEN_DIE(true, true),
    /** The same, and then the processes hang for good. */
    UNLISTED_THEN_HANG(true, true),
    /** The same, and then the processes go on with their calls. */
    UNLISTED(true, true),
    /** The same, and then other processes under new names have the addresses; the old connections are reset. */
    UNLISTED_THEN_REPLACED(true, true);

    /** Whether the calls on these servers are over with the fault. */
    final boolean endsCalls;
    final boolean discoveryAnswers;

    VanishingFault(boolean endsCalls, boolean discoveryAnswers) {
        this.endsCalls = endsCalls;
        this.discoveryAnswers = discoveryAnswers;
    }

    /** Whether callers are away when it strikes. */
    boolean withoutCallers() {
        return this == VANISH_WITHOUT_CALLERS || this == DIE_WITHOUT_CALLERS;
    }

    /** Whether the list drops the servers while set-ups are out there. */
    boolean isUnlisted() {
        return compareTo(UNLISTED_THEN_VANISH) >= 0;
    }

    /** What becomes of the old connections where other processes take the addresses over; null: none do. */
    OldConnections replacement() {
        return switch (this) {
            case REPLACED_WITH_RESETS, UNLISTED_THEN_REPLACED -> OldConnections.RESET;
            case REPLACED_RESET_WHEN_WRITTEN_TO -> OldConnections.RESET_WHEN_WRITTEN_TO;
            case REPLACED_OLD_SILENT -> OldConnections.SILENT;
            default -> null;
        };
    }
}
