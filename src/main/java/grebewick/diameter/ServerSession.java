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
    /** Its client says that it may have asked for it before. */
    boolean isRepeated;
    /** Its request was handed to that connection. */
    boolean isAsked;
    /** The network has its request. */
    boolean sent;
    /** Its connection was lost before its answer came. */
    boolean isLost;
    /** It is open: its server has said so. */
    boolean stands;
    /** An earlier request for it, given up since, has opened it at this server: an answer without success leaves it open. */
    boolean isOpenedByEarlierRequest;

    ServerSession(long call, int copy, ServerPeer at, String id) {
        this.call = call;
        this.copy = copy;
        this.at = at;
        this.id = id;
    }

    /** One that may stand at a server from before this process started: it is no call of the core's. */
    static ServerSession ofFormerProcess(ServerPeer at, String id) {
        return new ServerSession(0, 0, at, id);
    }

    /** Whether another request was for the same session at the same server. */
    boolean isSameAs(ServerSession other) {
        return at == other.at && id.equals(other.id);
    }
}
