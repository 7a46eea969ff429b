package grebewick.discovery.replica;

/**
 * What a replica has answered since its start.
 *
 * @param queries that could be read
 * @param malformed queries that could not
 * @param bytes of answers that were sent, without their headers of IP, UDP and TCP
 * @param upToDate answers that nothing has changed
 * @param incremental answers of changes
 * @param wholeCopies answers of a whole zone
 * @param tooLarge answers to come by TCP
 * @param refused answers beyond the limits
 * @param failed answers for zones that are not held
 */
public record ReplicaCounters(long queries, long malformed, long bytes, long upToDate, long incremental, long wholeCopies,
                              long tooLarge, long refused, long failed) {
    @Override
    public String toString() {
        return queries + " queries, " + malformed + " malformed, " + bytes + " bytes, " + upToDate + " up to date, " + incremental
            + " incremental, " + wholeCopies + " whole copies, " + tooLarge + " too large, " + refused + " refused, " + failed
            + " failed";
    }
}
