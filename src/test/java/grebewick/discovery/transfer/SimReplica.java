package grebewick.discovery.transfer;

import grebewick.discovery.transfer.TransferResponse.Failed;
import grebewick.discovery.transfer.TransferResponse.FullCopy;
import grebewick.discovery.transfer.TransferResponse.Incremental;
import grebewick.discovery.transfer.TransferResponse.TooLarge;
import grebewick.discovery.transfer.TransferResponse.UpToDate;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** A replica: copies of the zones, which it refreshes when told to, and the faults that a test sets. */
final class SimReplica {
    /** What it does with queries. */
    enum Mode { WELL, DEAD, SLOW, CUT_SHORT, GARBAGE, OTHER_ZONE, REFUSING }

    final Replica replica;
    private final SimPrimary primary;
    private final Map<String, ZoneContent> held = new HashMap<>();
    Mode mode = Mode.WELL;
    /** It no longer hears of changes, and goes on answering. */
    boolean isCutOff;
    /** A zone of which it hears no more. */
    private String isolated;
    /** Transfers that it still takes; negative: all. */
    int transfersLeft = -1;
    /** Connections that it keeps at a time; one more is closed at once. */
    int mostConnections = Integer.MAX_VALUE;
    int connections;
    long connectionsRefused;
    /** Datagrams that came, transfers that were taken and refused, and bytes that it sent. */
    long queries;
    long transfers;
    long refusals;
    long bytes;

    SimReplica(Replica replica, SimPrimary primary) {
        this.replica = replica;
        this.primary = primary;
    }

    /** Takes over what the primary has now. */
    void refresh() {
        if (!isCutOff) {
            primary.zones().stream().filter(zone -> !zone.equals(isolated))
                .forEach(zone -> held.put(zone, primary.content(zone)));
        }
    }

    /** From now on hears of no change of that zone; null: of all changes again. */
    void isolate(String zone) {
        isolated = zone;
    }

    /** Restarts with nothing, or with an old state where it is cut off from the primary. */
    void restartWith(String zone, ZoneContent old) {
        held.clear();
        if (old != null) {
            held.put(zone, old);
        }
    }

    /** Whether it keeps a new connection. */
    boolean accept() {
        if (connections >= mostConnections) {
            connectionsRefused++;
            return false;
        }
        connections++;
        return true;
    }

    /** What it answers, before any fault. */
    TransferResponse answer(TransferRequest request, boolean isTransfer) {
        ZoneContent content = held.get(request.zone());
        if (content == null) {
            return new Failed(FailureReason.SERVFAIL);
        }
        if (mode == Mode.REFUSING || isTransfer && transfersLeft == 0) {
            refusals++;
            return new Failed(FailureReason.REFUSED);
        }
        transfersLeft -= isTransfer && transfersLeft > 0 ? 1 : 0;
        if (request.held().isPresent() && !content.version().isAfter(request.held().get())) {
            return new UpToDate(content.version());
        }
        List<ZoneChange> changes = request.held().map(from -> primary.changes(request.zone(), from, content.version()))
            .orElse(List.of());
        boolean isChain = !changes.isEmpty() && changes.get(0).from().equals(request.held().orElseThrow());
        TransferResponse whole = isChain ? new Incremental(changes) : new FullCopy(content);
        if (!isTransfer && size(request.zone(), whole) > TransferCodec.MAX_DATAGRAM) {
            return new TooLarge(content.version());
        }
        return whole;
    }

    /** Bytes of an answer at the most. */
    static int size(String zone, TransferResponse response) {
        int frame = TransferSize.ofFrame(zone);
        if (response instanceof Incremental incremental) {
            return frame + incremental.changes().stream().mapToInt(change -> TransferSize.of(zone, change)).sum();
        }
        return response instanceof FullCopy copy ? frame + TransferSize.ofServers(zone, copy.content().servers().values())
            : frame;
    }
}
