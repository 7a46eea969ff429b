package grebewick.discovery.transfer;

import java.util.Comparator;

/**
 * A version of a zone. Versions of a later epoch are later whatever their serial; the epoch grows whenever numbering starts
 * anew.
 *
 * @param epoch 1 or more
 * @param serial the serial of the SOA record: 32 bits, unsigned, never wrapping
 */
public record ZoneVersion(long epoch, long serial) implements Comparable<ZoneVersion> {
    /** The highest serial. */
    public static final long MAX_SERIAL = 0xffff_ffffL;

    private static final Comparator<ZoneVersion> ORDER = Comparator.comparingLong(ZoneVersion::epoch)
        .thenComparingLong(ZoneVersion::serial);

    /** Refuses an epoch under 1 and a serial out of range. */
    public ZoneVersion {
        if (epoch < 1 || serial < 0 || serial > MAX_SERIAL) {
            throw new IllegalArgumentException("no version: epoch " + epoch + ", serial " + serial);
        }
    }

    @Override
    public int compareTo(ZoneVersion other) {
        return ORDER.compare(this, other);
    }

    /** Whether this is a later version than the other. */
    public boolean isAfter(ZoneVersion other) {
        return compareTo(other) > 0;
    }

    /** The version after this one; a new epoch once serials are used up. */
    public ZoneVersion next() {
        return serial == MAX_SERIAL ? new ZoneVersion(epoch + 1, 1) : new ZoneVersion(epoch, serial + 1);
    }

    @Override
    public String toString() {
        return epoch + "/" + serial;
    }
}
