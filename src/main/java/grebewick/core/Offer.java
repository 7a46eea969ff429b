package grebewick.core;

/**
 * A caller's call as a front took it. {@code id}, by which its caller names it, and {@code description}, of the wire's own type,
 * go on to the servers as they are;
 * {@code leftUs} is how long the caller still waits.
 */
public record Offer<P>(long id, String band, String item, long leftUs, boolean isRetry, boolean reconnect,
                       double units, int farEnd, double hop, P description) {
    /** The same for when its description has gone on to a server and is not needed any more. */
    public Offer<P> withoutDescription() {
        return new Offer<>(id, band, item, leftUs, isRetry, reconnect, units, farEnd, hop, null);
    }
}
