package grebewick.lab.faults;

/** What all parties together know of one call. Times are us of one clock, 0 stands for never. */
final class CallRecord {
    final long id;
    /** The gatekeeper that was asked. */
    final int gatekeeper;
    final long askedUs;
    int finalAnswers;
    int status;
    long answeredUs;
    long gaveUpUs;
    /** Caller was told that it is over. */
    long toldUs;
    /** The server that answered it last; -1: none did. */
    int server = -1;
    /** Its server ended it, or is gone. */
    long overUs;
    /** It was held by two servers at once. */
    boolean heldTwice;

    CallRecord(long id, int gatekeeper, long askedUs) {
        this.id = id;
        this.gatekeeper = gatekeeper;
        this.askedUs = askedUs;
    }

    boolean stood() {
        return status == 200;
    }
}
