package grebewick.core;

/** Why this gatekeeper ends a call that stood, without a word of its server on the call itself. */
public enum Interruption {
    /** The list of servers does not have its server any more, or says that it has started anew since. */
    GONE_FROM_LIST,
    /** Nothing listens at its server's address, and no connection with it is left: the process is gone. */
    CONNECTION_REFUSED,
    /** Its server's process has shown no life for so long that it counts as vanished. */
    SERVER_SILENT
}
