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
    /** Its caller left before its answer and its deadline. */
    long leftUs;
    /** Caller was told that it is over. */
    long toldUs;
    /** The server that answered it last; -1: none did. */
    int server = -1;
    /** Its server ended it, or is gone. */
    long overUs;
    /** Its server wrote a release, and nothing has struck that server. */
    long releasedUs;
    /** From when its gatekeeper may end it though its server holds it: the list has dropped that server. */
    long mayEndFromUs;
    /** It was held by two servers at once. */
    boolean heldTwice;
    /** A set-up of it reached a server long after the list had told that this drains or is gone. */
    boolean sentToGone;
    /** A set-up of it reached a server long after its caller had left. */
    boolean sentAfterLeave;

    CallRecord(long id, int gatekeeper, long askedUs) {
        this.id = id;
        this.gatekeeper = gatekeeper;
        this.askedUs = askedUs;
    }

    boolean stood() {
        return status == 200;
    }
}
