package grebewick.discovery.transfer;

import java.util.List;

/** What a replica answers to a {@link TransferRequest}. */
public sealed interface TransferResponse {
    /**
     * The replica has nothing later than what the query said is held.
     *
     * @param version of the replica: the same, or an earlier one where the replica is behind
     */
    record UpToDate(ZoneVersion version) implements TransferResponse {}

    /** The changes from the version held to the replica's, in order and without gaps; at least one. */
    record Incremental(List<ZoneChange> changes) implements TransferResponse {
        /** Copies the list; refuses one that is empty or has gaps. */
        public Incremental {
            changes = List.copyOf(changes);
            if (changes.isEmpty()) {
                throw new IllegalArgumentException("no changes");
            }
            for (int i = 1; i < changes.size(); i++) {
                if (!changes.get(i).from().equals(changes.get(i - 1).to())) {
                    throw new IllegalArgumentException("a gap before the change from " + changes.get(i).from());
                }
            }
        }

        /** The version that the changes lead to. */
        public ZoneVersion version() {
            return changes.get(changes.size() - 1).to();
        }
    }

    /** The whole zone. */
    record FullCopy(ZoneContent content) implements TransferResponse {}

    /** The replica has a later version, whose transfer does not fit a datagram: ask over TCP. */
    record TooLarge(ZoneVersion version) implements TransferResponse {}

    /** No transfer. */
    record Failed(FailureReason reason) implements TransferResponse {}
}
