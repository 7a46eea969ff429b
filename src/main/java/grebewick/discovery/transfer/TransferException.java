package grebewick.discovery.transfer;

/** A transfer that cannot be used. Nothing of it was taken over. */
public final class TransferException extends Exception {
    private static final long serialVersionUID = 1L;

    /** What is wrong with it. */
    public enum Kind {
        /** No message, or no record as this protocol has them. */
        MALFORMED,
        /** The id of another query. */
        WRONG_ID,
        /** Another zone than the one asked for. */
        WRONG_ZONE,
        /** Records or versions in an order that makes no transfer. */
        WRONG_ORDER,
        /** More servers or bytes than the reader takes. */
        TOO_LONG,
        /** A change that does not fit the content held. */
        GAP
    }

    private final Kind kind;

    /** Makes one with its line. */
    public TransferException(Kind kind, String text) {
        super(text);
        this.kind = kind;
    }

    /** What is wrong. */
    public Kind kind() {
        return kind;
    }
}
