package grebewick.core;

/** Port to the servers. What comes back is reported to the {@link Gatekeeper} by call, copy and server. */
public interface Servers<P> {
    /** Send a set-up; the gatekeeper itself gives it up after {@code waitUs}. */
    void setUp(long call, int copy, String server, Offer<P> offer, long waitUs);

    /** Give up a set-up that is out; what it may still bring is to be released. */
    void giveUp(long call, int copy, String server);

    /**
     * Whether a server may not have heard yet that an earlier attempt of the call was given up. Once it has, the core is told by
     * {@link Gatekeeper#giveUpHeard}; until then no other attempt of the call is sent.
     */
    default boolean isGiveUpUnheard(long call) {
        return false;
    }

    /** Whether the set-up of a call is at its server, and nothing can give it up there: it runs although its caller is lost. */
    default boolean outlivesCaller(long call) {
        return false;
    }

    /** The readiness of some servers has run out: set-ups that have not left for them are ended. */
    default void takeBackUnsent() {}

    /** Release a call that stands. */
    void release(long call, String server);

    /** Ask for a report. */
    void probe(String server);

    /** Close connections without work. */
    void closeIdle(String server);
}
