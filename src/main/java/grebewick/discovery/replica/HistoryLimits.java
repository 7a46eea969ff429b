package grebewick.discovery.replica;

/**
 * How much of a zone's past is kept.
 *
 * @param changes at the most
 * @param bytes at the most, as the changes are encoded
 */
public record HistoryLimits(int changes, long bytes) {}
