package grebewick;

/** What the event loop has done since the start: messages from callers and from servers, and ends of calls told. */
record Work(long fromCallers, long fromServers, long endsTold) {
    static final Work NONE = new Work(0, 0, 0);

    Work since(Work before) {
        return new Work(fromCallers - before.fromCallers, fromServers - before.fromServers, endsTold - before.endsTold);
    }

    @Override
    public String toString() {
        return fromCallers + " messages from callers, " + fromServers + " from servers, " + endsTold + " ends told";
    }
}
