package grebewick.discovery.transfer;

import grebewick.discovery.transfer.TransferResponse.Failed;
import grebewick.discovery.transfer.TransferResponse.FullCopy;
import grebewick.discovery.transfer.TransferResponse.Incremental;
import grebewick.discovery.transfer.TransferResponse.TooLarge;
import grebewick.discovery.transfer.TransferResponse.UpToDate;
import java.util.List;
import java.util.Optional;

/**
 * The state of one zone and what may change it: whole answers to a later version, and nothing else. Answers may come late,
 * twice, in another order or from a replica that is behind.
 */
public final class ZoneFollower {
    /** What an answer came to. */
    public enum Outcome {
        /** The content is another now. */
        APPLIED,
        /** It says that the content is current. */
        CURRENT,
        /** It is older than the content: ignored. */
        BEHIND,
        /** There is a later version that this answer does not lead to: a transfer over TCP. */
        NEEDS_TRANSFER,
        /** It cannot be right: its changes do not fit the content. A whole copy is wanted. */
        NEEDS_COPY
    }

    private final String zone;
    private ZoneContent content;
    private boolean copyWanted;

    /** A zone of which nothing is held. */
    public ZoneFollower(String zone) {
        this.zone = zone;
    }

    /** The zone's name. */
    public String zone() {
        return zone;
    }

    /** What is held; empty: nothing. */
    public Optional<ZoneContent> content() {
        return Optional.ofNullable(content);
    }

    /** The version held. */
    public Optional<ZoneVersion> held() {
        return content().map(ZoneContent::version);
    }

    /** The version that a query should say is held: none where only a whole copy helps. */
    public Optional<ZoneVersion> asked() {
        return copyWanted ? Optional.empty() : held();
    }

    /** Takes what a replica answered; {@link Failed} is not for it. */
    public Outcome accept(TransferResponse response) {
        if (response instanceof UpToDate upToDate) {
            return compare(upToDate.version());
        }
        if (response instanceof TooLarge tooLarge) {
            return compare(tooLarge.version());
        }
        if (response instanceof FullCopy copy) {
            return accept(copy.content());
        }
        if (response instanceof Incremental incremental) {
            return accept(incremental);
        }
        throw new IllegalArgumentException("no transfer: " + response);
    }

    private Outcome compare(ZoneVersion theirs) {
        if (content == null || theirs.isAfter(content.version())) {
            return Outcome.NEEDS_TRANSFER;
        }
        return theirs.equals(content.version()) ? Outcome.CURRENT : Outcome.BEHIND;
    }

    private Outcome accept(ZoneContent copy) {
        Outcome outcome = compare(copy.version());
        if (outcome != Outcome.NEEDS_TRANSFER) {
            return outcome;
        }
        return take(copy);
    }

    private Outcome accept(Incremental incremental) {
        Outcome outcome = compare(incremental.version());
        if (outcome != Outcome.NEEDS_TRANSFER) {
            return outcome;
        }
        if (content == null) {
            return wantCopy();
        }
        List<ZoneChange> rest = incremental.changes();
        // What was asked for before a later state came: the first changes are in it already.
        while (!rest.isEmpty() && !rest.get(0).from().equals(content.version())) {
            rest = rest.subList(1, rest.size());
        }
        return rest.isEmpty() ? wantCopy() : apply(rest);
    }

    /** All of them or none. */
    private Outcome apply(List<ZoneChange> changes) {
        ZoneContent after = content;
        try {
            for (ZoneChange change : changes) {
                after = after.apply(change);
            }
        } catch (TransferException e) {
            return wantCopy();
        }
        return take(after);
    }

    private Outcome take(ZoneContent after) {
        content = after;
        copyWanted = false;
        return Outcome.APPLIED;
    }

    private Outcome wantCopy() {
        copyWanted = true;
        return Outcome.NEEDS_COPY;
    }
}
