package grebewick.diameter;

import java.util.function.LongConsumer;

/** The servers as the clients' side sees them: who is told that a client ends its session. */
interface SessionServers {
    /** Whether the server of a standing session could be told of its end now. */
    boolean canRelease(long call);

    /** Ends a session that stands, for its client; {@code result} takes the code for the client once the server has answered. */
    void terminate(long call, LongConsumer result);

    /**
     * Ends a session which this process has not set up, for its client: at the server named, if there is one and it has it, or at
     * whichever has it. {@code result} takes the code for the client.
     */
    void terminateFormerSession(String sessionId, String host, LongConsumer result);

    /** Whether clients may still repeat what they have asked a process before this one. */
    boolean mayRepeatFormerRequests();

    /**
     * A request that its client has repeated was refused: what a process before this one may have opened for it is ended,
     * wherever that is.
     */
    void endRefusedSession(String sessionId);
}
