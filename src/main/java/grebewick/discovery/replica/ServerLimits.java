package grebewick.discovery.replica;

/**
 * What a replica holds of its clients' connections at the most.
 *
 * @param connections over TCP at a time; one more is closed at once
 * @param idleUs without a query, or within one, until a connection is closed
 * @param stalledUs without a byte taken of an answer until a connection is closed
 * @param answerUs for a whole answer until a connection is closed
 */
public record ServerLimits(int connections, long idleUs, long stalledUs, long answerUs) {
    /** Clients keep a connection for 1 s without a query, and read at once. */
    public static final ServerLimits DEFAULT = new ServerLimits(256, 5_000_000, 3_000_000, 30_000_000);

    /** These, with another number of connections. */
    ServerLimits withConnections(int number) {
        return new ServerLimits(number, idleUs, stalledUs, answerUs);
    }
}
