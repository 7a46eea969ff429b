package grebewick.discovery.transfer;

import grebewick.discovery.transfer.ClientAction.OpenConnection;
import grebewick.discovery.transfer.ClientAction.SendTransfer;
import grebewick.discovery.transfer.TransferResponse.Failed;
import grebewick.discovery.transfer.TransferResponse.TooLarge;
import grebewick.discovery.transfer.ZoneTask.Phase;
import java.util.Optional;

/** The transfers of a client's zones over TCP: when, of whom and over which connection. */
final class ZoneTransfers {
    /** us. Whole copies are spread over this: all clients want one at the same time when an epoch begins. */
    private static final long COPY_SPREAD_US = 1_000_000;
    /** Transfers in a row before the zone is polled again. */
    private static final int MAX_TRIES = 3;
    /** us. Bounds of the wait after a failed transfer of a zone. */
    private static final long RETRY_BASE_US = 250_000;
    private static final long RETRY_CAP_US = 2_000_000;

    private final DiscoveryConfig config;
    private final ClientContext context;
    private final ReplicaSelector selector;
    private final ZonePolls polls;
    private final TransferGate gate;
    private final Backoff backoff;

    /** Transfers as a configuration has them. */
    ZoneTransfers(DiscoveryConfig config, ReplicaSelector selector, ZonePolls polls, ClientContext context) {
        this.config = config;
        this.selector = selector;
        this.polls = polls;
        this.context = context;
        gate = new TransferGate(config.transferBytesPerSecond(), context.random());
        backoff = new Backoff(RETRY_BASE_US, RETRY_CAP_US, context.random());
    }

    /** Bounds and budget of the transfers. */
    TransferGate gate() {
        return gate;
    }

    /** Asks for a transfer, over a connection that is open if there is one. */
    void transfer(long nowUs, ZoneTask task) {
        task.replica = transferSource(nowUs, task);
        long connection = context.connections().to(task.replica).orElseGet(() -> open(nowUs, task.replica));
        task.begin(Phase.TRANSFERRING, nowUs);
        context.pending().add(task, true, nowUs, Long.MAX_VALUE);
        int before = context.connections().add(connection, task.request);
        // Those before it on the connection have their own time.
        task.dueUs = nowUs + (before + 1) * config.transferUs();
        gate.begun(nowUs);
        context.statistics().transferBegun();
        context.out().accept(new SendTransfer(task.request, connection, task.replica, task.zone(), task.follower.asked()));
    }

    /**
     * Which replica to ask for a transfer: the one that said it has a later version. A zone that is not held may come from any
     * that holds it, so that a start takes few connections: from one to which there is a connection.
     */
    private Replica transferSource(long nowUs, ZoneTask task) {
        boolean isTried = task.tried.contains(task.replica);
        if (isTried || task.follower.held().isEmpty()) {
            Optional<Replica> connected = context.connections()
                .replica(replica -> !task.tried.contains(replica) && selector.isAvailable(nowUs, replica));
            if (connected.isPresent()) {
                return connected.get();
            }
        }
        return isTried ? selector.next(nowUs, task.tried).orElseGet(() -> selector.any(nowUs, task.replica)) : task.replica;
    }

    private long open(long nowUs, Replica replica) {
        long connection = context.connections().open(replica);
        gate.connectionOpened(nowUs);
        context.statistics().connectionOpened();
        context.out().accept(new OpenConnection(connection, replica));
        return connection;
    }

    /** A transfer was answered: the time of those behind it runs from now on. */
    void answered(long nowUs, long request, TransferResponse response) {
        if (response instanceof Failed) {
            // Over its limits, or without the zone: others are asked, and a connection to it is not kept.
            context.connections().retire(request);
        }
        for (long behind : context.connections().answered(nowUs, request)) {
            ZoneTask task = context.pending().get(behind).task();
            task.dueUs = Math.min(task.dueUs, nowUs + config.transferUs());
        }
    }

    /** A transfer of the zone has failed: it is asked for again after a wait, or the zone polled again. */
    void retry(long nowUs, ZoneTask task) {
        task.transferFailures++;
        if (task.transferFailures % MAX_TRIES == 0) {
            polls.rest(nowUs, task);
            return;
        }
        task.phase = Phase.WAITING_FOR_TRANSFER;
        task.dueUs = nowUs + backoff.delayUs(task.transferFailures);
    }

    /** The replica that has the later version is asked first. */
    void await(long nowUs, ZoneTask task, TransferResponse response) {
        task.phase = Phase.WAITING_FOR_TRANSFER;
        task.request = 0;
        task.tried.clear();
        boolean isSequence = response instanceof TooLarge later
            && task.follower.asked().filter(held -> held.epoch() == later.version().epoch()).isPresent();
        task.dueUs = isSequence ? nowUs : nowUs + context.random().nextLong(COPY_SPREAD_US);
    }
}
