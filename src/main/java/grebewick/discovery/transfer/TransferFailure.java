package grebewick.discovery.transfer;

/** Why a query or a transfer came to nothing, as the asker sees it. */
public enum TransferFailure {
    /** No answer in time, or not all of it. */
    TIMEOUT,
    /** The connection was refused, closed or reset. */
    DISCONNECTED,
    /** The replica is over its limits. */
    REFUSED,
    /** Another response code, such as that of a replica that does not hold the zone. */
    ERROR_CODE,
    /** What came cannot be read, or is of another zone or query. */
    MALFORMED,
    /** The replica holds an older version than the client. */
    BEHIND;

    /** The failure that a response code stands for. */
    static TransferFailure of(FailureReason reason) {
        return reason == FailureReason.REFUSED ? REFUSED : ERROR_CODE;
    }
}
