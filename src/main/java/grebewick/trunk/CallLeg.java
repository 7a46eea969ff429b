package grebewick.trunk;

import grebewick.core.Offer;
import grebewick.liveness.ProcessLease;

/** One call at one server. */
final class CallLeg {
    final long call;
    final int copy;
    final ServerConnections connections;
    Offer<byte[]> offer;
    /** The set-up; null once it stands. */
    TrunkMessage message;
    ServerConnection on;
    /** Where it stands; null: it does not. */
    ProcessLease process;
    long sentUs;
    /** The network has its bytes. */
    boolean sent;
    boolean stands;

    CallLeg(long call, int copy, ServerConnections connections, Offer<byte[]> offer, TrunkMessage message) {
        this.call = call;
        this.copy = copy;
        this.connections = connections;
        this.offer = offer;
        this.message = message;
    }

    /** Its server has answered: the set-up is not needed any more. */
    void stands() {
        stands = true;
        message = null;
        offer = offer.withoutDescription();
    }
}
