package grebewick.discovery.replica;

import grebewick.discovery.transfer.TransferResponse;
import grebewick.discovery.transfer.TransferResponse.FullCopy;
import grebewick.discovery.transfer.TransferResponse.Incremental;
import grebewick.discovery.transfer.TransferResponse.TooLarge;
import grebewick.discovery.transfer.TransferResponse.UpToDate;
import grebewick.discovery.transfer.TransferSize;
import grebewick.discovery.transfer.ZoneChange;
import grebewick.discovery.transfer.ZoneContent;
import grebewick.discovery.transfer.ZoneVersion;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;

/**
 * The latest content of a zone and the changes that led to it, as far back as the limits allow. A version only ever grows;
 * with a new epoch the changes of the one before are dropped. Sizes are upper bounds of what is encoded.
 */
public final class ZoneJournal {
    private final String zone;
    private final HistoryLimits limits;
    /** By the version that a change starts from; without gaps, up to the current version. */
    private final TreeMap<ZoneVersion, ZoneChange> history = new TreeMap<>();
    private long historyBytes;
    private ZoneContent current;
    private int contentBytes;

    /** A journal that holds nothing yet. */
    public ZoneJournal(String zone, HistoryLimits limits) {
        this.zone = zone;
        this.limits = limits;
    }

    /** What is held; empty before the first content. */
    public Optional<ZoneContent> current() {
        return Optional.ofNullable(current);
    }

    /** Bytes of a whole copy; 0 before the first content. */
    public int contentBytes() {
        return contentBytes;
    }

    /** Bytes of the changes that are kept. */
    public long historyBytes() {
        return historyBytes;
    }

    /** Changes that are kept. */
    public int historyLength() {
        return history.size();
    }

    /** Takes a content over; false, and nothing is changed: it is no later than the one held. */
    public boolean take(ZoneContent next) {
        if (current != null && !next.version().isAfter(current.version())) {
            return false;
        }
        if (current != null && current.version().epoch() == next.version().epoch()) {
            remember(current.changeTo(next));
        } else {
            history.clear();
            historyBytes = 0;
        }
        current = next;
        contentBytes = TransferSize.ofCopy(zone, next);
        return true;
    }

    private void remember(ZoneChange change) {
        history.put(change.from(), change);
        historyBytes += TransferSize.of(zone, change);
        while (history.size() > limits.changes() || historyBytes > limits.bytes()) {
            historyBytes -= TransferSize.of(zone, history.pollFirstEntry().getValue());
        }
    }

    /**
     * Answers one that holds a version, or nothing. Where the changes fit they are given as they came, so that another
     * replica can keep each of them; else condensed; else, or where a whole copy is no larger, the whole zone. What does not
     * fit at all is {@link TooLarge}. A journal that holds nothing cannot answer.
     *
     * @param mostBytes of the answer
     */
    public TransferResponse answer(Optional<ZoneVersion> held, int mostBytes) {
        if (current == null) {
            throw new IllegalStateException("zone " + zone + " is not held yet");
        }
        if (held.isPresent() && !current.version().isAfter(held.get())) {
            return new UpToDate(current.version());
        }
        if (held.isPresent() && history.containsKey(held.get())) {
            Collection<ZoneChange> chain = history.tailMap(held.get()).values();
            int most = Math.min(mostBytes, contentBytes);
            if (fits(chain, most)) {
                return new Incremental(List.copyOf(chain));
            }
            ZoneChange condensed = ChangeChain.condense(chain);
            if (fits(List.of(condensed), most)) {
                return new Incremental(List.of(condensed));
            }
        }
        return contentBytes <= mostBytes ? new FullCopy(current) : new TooLarge(current.version());
    }

    private boolean fits(Collection<ZoneChange> chain, int mostBytes) {
        int bytes = TransferSize.ofFrame(zone);
        for (ZoneChange change : chain) {
            bytes += TransferSize.of(zone, change);
            if (bytes > mostBytes) {
                return false;
            }
        }
        return true;
    }
}
