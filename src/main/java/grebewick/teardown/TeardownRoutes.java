package grebewick.teardown;

/**
 * Port to the connections that an end may be told on.
 *
 * @param <K> what names an end, such as a call's or a session's id
 * @param <M> the message that tells it
 * @param <W> a connection; compared by identity
 */
public interface TeardownRoutes<K, M, W> {
    /** Where the end is most likely to be heard, {@code but} left out (null: none left out); null: nowhere now. */
    W best(K key, W but);

    /** How likely it is that the right party listens there; more is better, negative: it is closed. */
    int rank(W way);

    /** Writes the message. {@code again}: it went out before, and may arrive twice. */
    void write(K key, M message, W way, boolean again);

    /** The end is forgotten, and nobody has confirmed it; {@code tries}: how often it was written. */
    void abandoned(K key, Abandonment why, int tries);
}
