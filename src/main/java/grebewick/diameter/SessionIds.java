package grebewick.diameter;

/** What a Session-Id says of its session (RFC 6733, section 8.8): it begins with the identity of the client that made it. */
final class SessionIds {
    private static final char SEPARATOR = ';';

    private SessionIds() {}

    /** The identity of the session's client; empty where the id is not of the RFC's form. */
    static String client(String sessionId) {
        int end = sessionId.indexOf(SEPARATOR);
        return end < 0 ? "" : sessionId.substring(0, end);
    }

    /** Whether a session may be one of that client; any client's where its id does not name one. */
    static boolean mayBeOf(String client, String sessionId) {
        String owner = client(sessionId);
        return owner.isEmpty() || owner.equalsIgnoreCase(client);
    }
}
