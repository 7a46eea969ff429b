package grebewick.lab.fleet;

/** The parts of a run, in their order. */
enum FleetPart {
    /** All gatekeepers start; always the first part. */
    START("start of all"),
    /** Nothing changes. */
    IDLE("no changes"),
    /** One server after another starts anew. */
    CHANGES("changes"),
    /** Many servers start anew at once. */
    BURST("burst"),
    /** A fifth of the servers is gone and back within seconds. */
    ZONE("a zone gone and back"),
    /** One control machine is killed while servers change, and comes back empty. */
    KILL("one machine killed and back empty"),
    /** Servers change in both regions while the machines of each do not hear the other's primary; then they meet. */
    SPLIT("regions split"),
    /** All gatekeepers start anew at once. */
    RESTART("restart of all");

    /** Starts of processes: control machines, then workers. */
    private static final int PREPARATION_S = 150;
    /** Start of a killed control machine. */
    private static final int MACHINE_START_S = 30;

    private final String title;

    FleetPart(String title) {
        this.title = title;
    }

    /** What it is called in tables. */
    String title() {
        return title;
    }

    /** Seconds that it takes at the most, each wait at its longest. */
    long mostSeconds(FleetOptions options) {
        long changesS = (options.changes * (long) options.everyMs + 999) / 1000;
        return options.patienceS + switch (this) {
            case START, BURST, RESTART -> 0;
            case IDLE -> options.idleS - options.patienceS;
            case CHANGES -> changesS;
            case ZONE -> options.goneS;
            case KILL -> changesS + options.patienceS + MACHINE_START_S;
            case SPLIT -> options.splitS;
        };
    }

    /** Seconds that one size's run takes at the most. */
    static long mostSecondsOfAll(FleetOptions options) {
        return PREPARATION_S + options.parts.stream().mapToLong(part -> part.mostSeconds(options)).sum();
    }
}
