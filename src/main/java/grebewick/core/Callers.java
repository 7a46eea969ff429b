package grebewick.core;

/** Port to the side that offers calls. Exactly one of the first three is used for a call that is not hung up. */
public interface Callers<P> {
    /** The call stands, with the description that the server gave. */
    void stands(long call, P description);

    /** Refused; the caller may come back after {@code comeBackUs} (0: no advice). */
    void refused(long call, long comeBackUs);

    /** Failed. */
    void failed(long call);

    /** A call that stood is over. */
    void released(long call, Ending ending);
}
