package grebewick.discovery.replica;

/**
 * What a replica spends on its clients at the most.
 *
 * @param transfers over TCP at a time
 * @param copyBytesPerSecond of whole copies begun in a second; a second's worth may come at once
 * @param queriesPerSecond that are answered; a second's worth may come at once
 */
public record LimitSettings(int transfers, long copyBytesPerSecond, long queriesPerSecond) {
    /** For a control machine: 8 MB a second is a fifteenth of a Gigabit link. */
    public static final LimitSettings DEFAULT = new LimitSettings(64, 8_000_000, 10_000);
}
