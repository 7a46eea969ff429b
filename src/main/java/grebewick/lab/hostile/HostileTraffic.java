package grebewick.lab.hostile;

/** What hostile clients do. */
enum HostileTraffic {
    /** Nothing: for comparison. */
    NONE,
    /** Hundreds of clients write a large request byte by byte. */
    SLOW_WRITERS,
    /** Hundreds of clients stop half way through a large request. */
    HALF_REQUESTS,
    /** Hundreds of clients send large requests of very many short fields. */
    MANY_FIELDS,
    /** One client sends tests at full speed and reads nothing. */
    TESTS_UNREAD,
    /** One client sends tests at full speed and reads the answers. */
    TESTS,
    /** One client ends calls that nobody knows, under ever new names, at full speed. */
    UNKNOWN_ENDS,
    /** One client asks unsound things under ever new names at full speed. */
    UNSOUND,
    /** One client asks sound things under ever new names at full speed. */
    SOUND_FLOOD,
    /** A client writes 300 requests and closes; the same come again 50 ms later on another connection. */
    LEAVES_AND_REPEATS;

    boolean isFlood() {
        return this == TESTS_UNREAD || this == TESTS || this == UNKNOWN_ENDS || this == UNSOUND || this == SOUND_FLOOD;
    }
}
