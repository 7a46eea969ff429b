package grebewick.core;

/**
 * A caller's call as a front took it. {@code id} and {@code description} go on to the servers as they are;
 * {@code leftUs} is how long the caller still waits.
 */
public record Offer(long id, String band, String item, long leftUs, boolean isRetry, boolean reconnect,
                    double units, int farEnd, double hop, byte[] description) { }
