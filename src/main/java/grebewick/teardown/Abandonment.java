package grebewick.teardown;

/** Why an end is forgotten that nobody has confirmed. */
public enum Abandonment {
    /** It was written as often as its policy allows. */
    NO_ANSWER,
    /** No connection came up on which it could be told. */
    NO_CONNECTION,
    /** It had to make room for others. */
    NO_ROOM
}
