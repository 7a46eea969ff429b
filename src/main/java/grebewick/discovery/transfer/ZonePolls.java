package grebewick.discovery.transfer;

import grebewick.discovery.transfer.ClientAction.SendQuery;
import grebewick.discovery.transfer.ZoneTask.Phase;
import java.util.Optional;

/** The polls of a client's zones: when, of whom, and within which budgets of bytes and retries. */
final class ZonePolls {
    /** us. First polls are spread over this. */
    private static final long START_SPREAD_US = 1_000_000;
    /** us. Between polls of a zone whose lease has to be renewed, at the least, where the interval is longer. */
    private static final long PRESSING_GAP_US = 2_000_000;

    private final DiscoveryConfig config;
    private final ClientContext context;
    private final ReplicaSelector selector;
    private final PollSchedule schedule;
    private final ByteBudget budget;
    private final RetryBudget retries;

    /** Polls as a configuration has them. */
    ZonePolls(DiscoveryConfig config, ReplicaSelector selector, ClientContext context) {
        this.config = config;
        this.selector = selector;
        this.context = context;
        schedule = new PollSchedule(config.zones().size(), config.pollUs(), config.pollBytesPerSecond(), context.random());
        budget = new ByteBudget(config.pollBytesPerSecond(), config.pollBytesPerSecond());
        retries = new RetryBudget(config.zones().size());
    }

    /** us. Between two polls of a zone that is held, on the average. */
    long heldIntervalUs() {
        return schedule.heldIntervalUs();
    }

    /** The zone is polled for the first time, soon. */
    void begin(long nowUs, ZoneTask task) {
        task.restAt(schedule.firstUs(nowUs, Math.min(START_SPREAD_US, schedule.intervalUs())));
    }

    /** The zone's round is over: it waits for its next poll, with a long interval until its lease has to be renewed. */
    void rest(long nowUs, ZoneTask task) {
        long pressingUs = Math.max(task.pressingUs(), nowUs + PRESSING_GAP_US);
        task.restAt(Math.min(schedule.nextUs(nowUs, task.isHeld()), pressingUs));
    }

    boolean isOpen(long nowUs) {
        return budget.isOpen(nowUs);
    }

    /** us. The moment from which something may be sent. */
    long opensAtUs(long nowUs) {
        return budget.opensAtUs(nowUs);
    }

    void received(long nowUs, int bytes) {
        budget.spend(nowUs, bytes + ServerListClient.DATAGRAM_HEADERS);
    }

    long bytes() {
        return budget.used();
    }

    /** Asks a replica for news of the zone, the first of a round or one that was not tried in it; or the round is over. */
    void poll(long nowUs, ZoneTask task) {
        Optional<Replica> replica = task.tried.isEmpty() ? Optional.of(first(nowUs, task)) : retry(nowUs, task);
        if (replica.isEmpty()) {
            rest(nowUs, task);
            return;
        }
        task.replica = replica.get();
        task.begin(Phase.POLLING, nowUs + config.timeoutUs());
        context.pending().add(task, false, nowUs, task.dueUs + ServerListClient.LATE_US);
        budget.spend(nowUs, ServerListClient.QUERY_BYTES);
        context.statistics().querySent();
        context.out().accept(new SendQuery(task.request, task.replica, task.zone(), task.follower.asked()));
    }

    /** In turn, as a replica that is near may be cut off from its source and not say so. */
    private Replica first(long nowUs, ZoneTask task) {
        retries.polled(nowUs);
        task.beganNearest = !task.beganNearest;
        return task.beganNearest ? selector.nearest(nowUs) : selector.any(nowUs, task.replica);
    }

    private Optional<Replica> retry(long nowUs, ZoneTask task) {
        Optional<Replica> next = selector.next(nowUs, task.tried);
        if (next.isPresent() && !retries.take(nowUs)) {
            context.statistics().retryHeldBack();
            return Optional.empty();
        }
        return next;
    }
}
