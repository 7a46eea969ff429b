package grebewick.diameter;

/** One session at one server: asked for, or open. */
final class ServerSession {
    /** The core's number of the call, and of its attempt. */
    final long call;
    final int copy;
    final ServerPeer at;
    /** Its Session-Id. */
    final String id;
    /** Where its request was written. */
    Connection on;
    /** The network has its request. */
    boolean sent;
    /** It is open: its server has said so. */
    boolean stands;

    ServerSession(long call, int copy, ServerPeer at, String id) {
        this.call = call;
        this.copy = copy;
        this.at = at;
        this.id = id;
    }
}
