package grebewick.discovery.replica;

import grebewick.discovery.transfer.FailureReason;
import grebewick.discovery.transfer.TransferCodec;
import grebewick.discovery.transfer.TransferRequest;
import grebewick.discovery.transfer.TransferResponse;
import grebewick.discovery.transfer.TransferResponse.Failed;
import grebewick.discovery.transfer.TransferResponse.FullCopy;
import grebewick.discovery.transfer.TransferResponse.Incremental;
import grebewick.discovery.transfer.TransferResponse.TooLarge;
import grebewick.discovery.transfer.TransferResponse.UpToDate;
import grebewick.discovery.transfer.ZoneContent;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * All zones of a replica, its limits and its counters. A zone that is served and not held yet is {@code SERVFAIL}, so that
 * clients ask another replica; one that is not served is {@code NOTAUTH}. What was held of a zone is kept when it is no longer
 * served, so that no older version follows when it is served again. For one thread.
 */
public final class ReplicaState {
    /** What an answer travels in. */
    public enum Transport {
        /** One datagram of {@link TransferCodec#MAX_DATAGRAM} bytes. */
        DATAGRAM,
        /** A TCP stream; {@link ReplicaState#transferEnded} follows where {@link ReplicaState#isTransfer} says so. */
        STREAM
    }

    private final HistoryLimits history;
    private final TransferLimits limits;
    private final Map<String, ZoneJournal> journals = new HashMap<>();
    /** us. By zone: as of when its source last confirmed it; of zones known at first hand: none. */
    private final Map<String, Long> confirmedUs = new HashMap<>();
    private Set<String> served = Set.of();
    private long queries;
    private long malformed;
    private long bytes;
    private long upToDate;
    private long incremental;
    private long wholeCopies;
    private long tooLarge;
    private long refused;
    private long failed;

    /** A state that serves no zone yet. */
    public ReplicaState(HistoryLimits history, LimitSettings settings) {
        this.history = history;
        this.limits = new TransferLimits(settings);
    }

    /** From now on serves these zones and no others. */
    public void serve(Collection<String> zones) {
        served = new LinkedHashSet<>(zones);
        served.forEach(zone -> journals.computeIfAbsent(zone, name -> new ZoneJournal(name, history)));
    }

    /** The zones that are served. */
    public Set<String> served() {
        return Set.copyOf(served);
    }

    /** Takes a content over; false: the zone is not served, or the content is no later than the one held. */
    public boolean take(String zone, ZoneContent content) {
        return served.contains(zone) && journals.get(zone).take(content);
    }

    /** What is held of a zone was its latest then, as its source says. */
    public void confirmed(String zone, long asOfUs) {
        confirmedUs.merge(zone, asOfUs, Math::max);
    }

    /** us. How old this replica's own word on a zone is; 0: it knows the zone at first hand. */
    public long ageUs(String zone, long nowUs) {
        return confirmedUs.containsKey(zone) ? Math.max(1, nowUs - confirmedUs.get(zone)) : 0;
    }

    /** What is held of a zone that is served. */
    public Optional<ZoneContent> content(String zone) {
        return served.contains(zone) ? journals.get(zone).current() : Optional.empty();
    }

    /** Zones that are served and held. */
    public long held() {
        return served.stream().filter(zone -> journals.get(zone).current().isPresent()).count();
    }

    /** Bytes of all histories, as they are encoded. */
    public long historyBytes() {
        return journals.values().stream().mapToLong(ZoneJournal::historyBytes).sum();
    }

    /** Answers a query, within the limits. */
    public TransferResponse answer(TransferRequest request, Transport transport, long nowUs) {
        queries++;
        TransferResponse response = decide(request, transport, nowUs);
        count(response);
        return response;
    }

    private TransferResponse decide(TransferRequest request, Transport transport, long nowUs) {
        if (!limits.takeQuery(nowUs)) {
            return new Failed(FailureReason.REFUSED);
        }
        if (!served.contains(request.zone())) {
            return new Failed(FailureReason.NOTAUTH);
        }
        ZoneJournal journal = journals.get(request.zone());
        if (journal.current().isEmpty()) {
            return new Failed(FailureReason.SERVFAIL);
        }
        int mostBytes = transport == Transport.STREAM ? Integer.MAX_VALUE
            : confirmedUs.containsKey(request.zone()) ? TransferCodec.MAX_DATAGRAM_WITH_AGE : TransferCodec.MAX_DATAGRAM;
        TransferResponse response = journal.answer(request.held(), mostBytes);
        return isWithinLimits(response, journal, transport, nowUs) ? response : new Failed(FailureReason.REFUSED);
    }

    private boolean isWithinLimits(TransferResponse response, ZoneJournal journal, Transport transport, long nowUs) {
        int copyBytes = response instanceof FullCopy ? journal.contentBytes() : 0;
        if (transport == Transport.STREAM && isTransfer(response)) {
            return limits.beginTransfer(copyBytes, nowUs);
        }
        return copyBytes == 0 || limits.takeCopy(copyBytes, nowUs);
    }

    /** Whether an answer over a stream counts as a transfer until it has ended. */
    public static boolean isTransfer(TransferResponse response) {
        return response instanceof FullCopy || response instanceof Incremental;
    }

    /** A transfer over a stream has ended, whole or not. */
    public void transferEnded() {
        limits.endTransfer();
    }

    /** Transfers over streams that have begun and not ended. */
    public int transfers() {
        return limits.transfers();
    }

    /** Whether what could not be read is told so; it counts as a query. */
    public boolean malformed(long nowUs) {
        malformed++;
        return limits.takeQuery(nowUs);
    }

    /** So many bytes were sent. */
    public void sent(long count) {
        bytes += count;
    }

    private void count(TransferResponse response) {
        if (response instanceof UpToDate) {
            upToDate++;
        } else if (response instanceof Incremental) {
            incremental++;
        } else if (response instanceof FullCopy) {
            wholeCopies++;
        } else if (response instanceof TooLarge) {
            tooLarge++;
        } else if (response instanceof Failed failure && failure.reason() == FailureReason.REFUSED) {
            refused++;
        } else {
            failed++;
        }
    }

    /** What was counted so far. */
    public ReplicaCounters counters() {
        return new ReplicaCounters(queries, malformed, bytes, upToDate, incremental, wholeCopies, tooLarge, refused, failed);
    }
}
