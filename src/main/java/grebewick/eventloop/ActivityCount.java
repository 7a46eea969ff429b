package grebewick.eventloop;

/** What the event loop has done since the start: messages from callers and from servers, and ends of calls told. */
public record ActivityCount(long fromCallers, long fromServers, long endsTold) {
    /** Nothing done yet. */
    public static final ActivityCount NONE = new ActivityCount(0, 0, 0);

    /** The sum of both. */
    public ActivityCount and(ActivityCount other) {
        return new ActivityCount(fromCallers + other.fromCallers, fromServers + other.fromServers, endsTold + other.endsTold);
    }

    /** What was done since an earlier count. */
    public ActivityCount since(ActivityCount before) {
        return new ActivityCount(fromCallers - before.fromCallers, fromServers - before.fromServers, endsTold - before.endsTold);
    }

    @Override
    public String toString() {
        return fromCallers + " messages from callers, " + fromServers + " from servers, " + endsTold + " ends told";
    }
}
