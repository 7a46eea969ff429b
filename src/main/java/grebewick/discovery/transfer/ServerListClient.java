package grebewick.discovery.transfer;

import grebewick.config.Endpoint;
import grebewick.discovery.transfer.ClientAction.CloseConnection;
import grebewick.discovery.transfer.ClientAction.ForgetQuery;
import grebewick.discovery.transfer.ClientAction.Log;
import grebewick.discovery.transfer.ClientAction.OpenConnection;
import grebewick.discovery.transfer.ClientAction.Publish;
import grebewick.discovery.transfer.ClientAction.SendQuery;
import grebewick.discovery.transfer.ClientAction.SendTransfer;
import grebewick.discovery.transfer.ClientAction.ZoneChanged;
import grebewick.discovery.transfer.PendingRequests.Pending;
import grebewick.discovery.transfer.TransferResponse.Failed;
import grebewick.discovery.transfer.TransferResponse.TooLarge;
import grebewick.discovery.transfer.ZoneFollower.Outcome;
import grebewick.discovery.transfer.ZoneTask.Phase;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/**
 * Follows the zones of a configuration and publishes the list of servers. Decides only: time, randomness, answers and
 * failures go in, actions come out. Call {@link #advance} at {@link #nextUs} and after whatever else was called.
 */
public final class ServerListClient {
    /** Bytes of the headers of IPv4 and UDP. */
    static final int DATAGRAM_HEADERS = 28;
    /** Bytes of a query with its headers, counted when it is sent. */
    static final int QUERY_BYTES = PollSchedule.POLL_BYTES / 2;
    /** us. After its timeout, an answer to a query is still taken if it brings something later. */
    static final long LATE_US = 5_000_000;
    /** us. First polls are spread over this. */
    private static final long START_SPREAD_US = 1_000_000;
    /** us. Whole copies are spread over this: all clients want one at the same time when an epoch begins. */
    private static final long COPY_SPREAD_US = 1_000_000;
    /** Transfers in a row before the zone is polled again. */
    private static final int MAX_TRANSFER_TRIES = 3;
    /** us. Bounds of the wait after a failed transfer of a zone. */
    private static final long TRANSFER_RETRY_BASE_US = 250_000;
    private static final long TRANSFER_RETRY_CAP_US = 2_000_000;

    /** Failures in a row after which a replica is named in the log, once until it answers. */
    private static final int FAILURES_LOGGED = 3;

    private final RandomGenerator random;
    private final Consumer<ClientAction> out;
    private final Map<String, ZoneTask> tasks = new LinkedHashMap<>();
    private final PendingRequests pending = new PendingRequests();
    private final TransferConnections connections = new TransferConnections();
    private final ServerListPublisher publisher;
    private final AgeMonitor age = new AgeMonitor();
    private final ClientStatistics statistics = new ClientStatistics();
    private final Backoff transferBackoff;
    private DiscoveryConfig config;
    private ReplicaSelector selector;
    private PollSchedule schedule;
    private ByteBudget polls;
    private RetryBudget retries;
    private TransferGate transfers;

    /** A client that published {@code known} before; actions are handed to {@code out} at once, in order. */
    public ServerListClient(DiscoveryConfig config, Collection<Endpoint> known, RandomGenerator random, long nowUs,
                            Consumer<ClientAction> out) {
        this.random = random;
        this.out = out;
        publisher = new ServerListPublisher(known);
        transferBackoff = new Backoff(TRANSFER_RETRY_BASE_US, TRANSFER_RETRY_CAP_US, random);
        configure(config, nowUs);
    }

    /** From now on follows another configuration; what is held of zones that stay, stays. */
    public void configure(DiscoveryConfig next, long nowUs) {
        config = next;
        selector = new ReplicaSelector(next.replicas(), next.region(), next.zone(), random);
        schedule = new PollSchedule(next.zones().size(), next.pollUs(), next.pollBytesPerSecond(), random);
        polls = new ByteBudget(next.pollBytesPerSecond(), next.pollBytesPerSecond());
        retries = new RetryBudget(next.zones().size(), nowUs);
        transfers = new TransferGate(next.transferBytesPerSecond(), random);
        pending.removeAll().forEach(this::abandon);
        connections.endAll().forEach(this::close);
        tasks.keySet().retainAll(next.zones());
        for (String zone : next.zones()) {
            tasks.computeIfAbsent(zone, name -> new ZoneTask(name, nowUs))
                .restAt(schedule.firstUs(nowUs, Math.min(START_SPREAD_US, schedule.intervalUs())));
        }
        publisher.zonesChanged();
        out.accept(new Log("server list: follows " + tasks.size() + " zones at " + next.replicas().size()
            + " replicas, each zone polled every " + schedule.intervalUs() / 1_000 + " ms"));
    }

    /** Does all that is due. */
    public void advance(long nowUs) {
        endOverdue(nowUs);
        for (ZoneTask task : due(nowUs, Phase.IDLE)) {
            if (!polls.isOpen(nowUs)) {
                break;
            }
            poll(nowUs, task);
        }
        for (ZoneTask task : due(nowUs, Phase.WAITING_FOR_TRANSFER)) {
            if (!transfers.isOpen(nowUs)) {
                break;
            }
            transfer(nowUs, task);
        }
        publisher.publish(nowUs, tasks.values()).ifPresent(list -> {
            statistics.published();
            out.accept(new Publish(list));
        });
        connections.endIdle(nowUs).forEach(this::close);
        ZoneTask oldest = oldest();
        age.check(oldest.zone(), nowUs - oldest.confirmedUs).ifPresent(line -> out.accept(new Log(line)));
    }

    /** us. When {@link #advance} is due next. */
    public long nextUs(long nowUs) {
        long next = Math.min(publisher.dueUs(), oldest().confirmedUs + age.thresholdUs());
        next = Math.min(next, connections.nextUs());
        long pollsOpenUs = polls.opensAtUs(nowUs);
        long transfersOpenUs = transfers.opensAtUs(nowUs);
        for (ZoneTask task : tasks.values()) {
            next = Math.min(next, switch (task.phase) {
                case IDLE -> Math.max(task.dueUs, pollsOpenUs);
                case WAITING_FOR_TRANSFER -> Math.max(task.dueUs, transfersOpenUs);
                case POLLING, TRANSFERRING -> task.dueUs;
            });
        }
        return Math.max(next, nowUs + 1);
    }

    /** Bytes of a datagram that came; before what it came to. */
    public void received(long nowUs, int bytes) {
        polls.spend(nowUs, bytes + DATAGRAM_HEADERS);
    }

    /** Bytes that came over a connection; before what they came to. */
    public void streamed(long nowUs, int bytes) {
        transfers.received(nowUs, bytes);
    }

    /** A whole answer to a request. */
    public void answered(long nowUs, long request, TransferResponse response) {
        Pending from = take(request);
        if (from == null) {
            return;
        }
        if (from.isTransfer()) {
            streamGoesOn(nowUs, request, response);
        }
        if (response instanceof Failed failed) {
            if (from.isAwaited()) {
                failed(nowUs, from, TransferFailure.of(failed.reason()));
            }
            return;
        }
        ZoneTask task = from.task();
        Outcome outcome = task.follower.accept(response);
        if (outcome == Outcome.APPLIED) {
            applied(nowUs, task, response);
        }
        if (from.isAwaited()) {
            concluded(nowUs, from, response, outcome);
        } else {
            statistics.cameLate();
        }
    }

    /** A request came to nothing. If it is a transfer, nothing more is wanted of its connection. */
    public void failed(long nowUs, long request, TransferFailure failure) {
        Pending from = pending.get(request);
        if (from == null) {
            return;
        }
        if (from.isTransfer()) {
            endConnection(nowUs, connections.of(request).orElseThrow(), request, failure);
            return;
        }
        take(request);
        if (from.isAwaited()) {
            failed(nowUs, from, failure);
        }
    }

    /** A connection has ended by itself, could not be opened, or brought what can be no answer. */
    public void disconnected(long nowUs, long connection, TransferFailure failure) {
        List<Long> requests = connections.end(connection);
        if (!requests.isEmpty()) {
            endTransfers(nowUs, requests, requests.get(0), failure);
        }
    }

    /** us. How long ago the zone that was confirmed longest ago was last confirmed. */
    public long ageUs(long nowUs) {
        return nowUs - oldest().confirmedUs;
    }

    /** The version held of a zone. */
    public Optional<ZoneVersion> held(String zone) {
        return Optional.ofNullable(tasks.get(zone)).flatMap(task -> task.follower.held());
    }

    /** Queries and transfers that are out and not overdue. */
    public int requestsOut() {
        return (int) tasks.values().stream().filter(task -> task.request != 0).count();
    }

    /** Counts since the start. */
    public ClientStatistics statistics() {
        return statistics;
    }

    /** Bytes sent and received by UDP and over TCP, since the configuration was read. */
    public long bytes() {
        return polls.used() + transfers.bytes();
    }

    private List<ZoneTask> due(long nowUs, Phase phase) {
        return tasks.values().stream().filter(task -> task.phase == phase && task.dueUs <= nowUs)
            // News of a zone that is held comes before a zone that is not.
            .sorted(Comparator.comparing((ZoneTask task) -> phase == Phase.WAITING_FOR_TRANSFER && task.follower.held().isEmpty())
                .thenComparing(task -> task.dueUs))
            .toList();
    }

    private void poll(long nowUs, ZoneTask task) {
        if (task.tried.isEmpty()) {
            // In turn, as a replica that is near may be cut off from its source and not say so.
            task.beganNearest = !task.beganNearest;
            task.replica = task.beganNearest ? selector.nearest(nowUs) : selector.any(nowUs, task.replica);
            retries.polled();
        } else {
            Optional<Replica> next = retrySource(nowUs, task);
            if (next.isEmpty()) {
                task.restAt(schedule.nextUs(nowUs));
                return;
            }
            task.replica = next.get();
        }
        task.begin(Phase.POLLING, nowUs + config.timeoutUs());
        pending.add(task, false, task.dueUs + LATE_US);
        polls.spend(nowUs, QUERY_BYTES);
        statistics.querySent();
        out.accept(new SendQuery(task.request, task.replica, task.zone(), task.follower.asked()));
    }

    /** Which replica to ask at once in place of those tried; empty: the zone waits for its next poll. */
    private Optional<Replica> retrySource(long nowUs, ZoneTask task) {
        Optional<Replica> next = selector.next(nowUs, task.tried);
        if (next.isPresent() && !retries.take(nowUs)) {
            statistics.retryHeldBack();
            return Optional.empty();
        }
        return next;
    }

    private void transfer(long nowUs, ZoneTask task) {
        task.replica = transferSource(nowUs, task);
        long connection = connections.to(task.replica).orElseGet(() -> open(nowUs, task.replica));
        task.begin(Phase.TRANSFERRING, nowUs);
        pending.add(task, true, Long.MAX_VALUE);
        int before = connections.add(connection, task.request);
        // Those before it on the connection have their own time.
        task.dueUs = nowUs + (before + 1) * config.transferUs();
        transfers.begun(nowUs);
        statistics.transferBegun();
        out.accept(new SendTransfer(task.request, connection, task.replica, task.zone(), task.follower.asked()));
    }

    /**
     * Which replica to ask for a transfer: the one that said it has a later version. A zone that is not held may come from any
     * that holds it, so that a start takes few connections: from one to which there is a connection.
     */
    private Replica transferSource(long nowUs, ZoneTask task) {
        boolean isTried = task.tried.contains(task.replica);
        if (isTried || task.follower.held().isEmpty()) {
            Optional<Replica> connected = connections
                .replica(replica -> !task.tried.contains(replica) && selector.isAvailable(nowUs, replica));
            if (connected.isPresent()) {
                return connected.get();
            }
        }
        return isTried ? selector.next(nowUs, task.tried).orElseGet(() -> selector.any(nowUs, task.replica)) : task.replica;
    }

    private long open(long nowUs, Replica replica) {
        long connection = connections.open(replica);
        transfers.connectionOpened(nowUs);
        statistics.connectionOpened();
        out.accept(new OpenConnection(connection, replica));
        return connection;
    }

    /** A transfer was answered: the time of those behind it runs from now on. */
    private void streamGoesOn(long nowUs, long request, TransferResponse response) {
        if (response instanceof Failed) {
            // Over its limits, or without the zone: others are asked, and a connection to it is not kept.
            connections.retire(request);
        }
        for (long behind : connections.answered(nowUs, request)) {
            ZoneTask task = pending.get(behind).task();
            task.dueUs = Math.min(task.dueUs, nowUs + config.transferUs());
        }
    }

    private void endConnection(long nowUs, long connection, long culprit, TransferFailure failure) {
        close(connection);
        endTransfers(nowUs, connections.end(connection), culprit, failure);
    }

    /** All transfers of a connection come to nothing, and each is asked for again; the replica is blamed once. */
    private void endTransfers(long nowUs, List<Long> requests, long culprit, TransferFailure failure) {
        for (long request : requests) {
            Pending from = take(request);
            if (request == culprit) {
                failed(nowUs, from, failure);
            } else {
                from.task().request = 0;
                statistics.failed(TransferFailure.DISCONNECTED);
                retryTransfer(nowUs, from.task());
            }
        }
    }

    private Pending take(long request) {
        Pending from = pending.remove(request);
        if (from != null && from.isTransfer()) {
            transfers.ended();
        }
        return from;
    }

    private void close(long connection) {
        out.accept(new CloseConnection(connection));
    }

    private void abandon(Pending each) {
        if (!each.isTransfer()) {
            out.accept(new ForgetQuery(each.request()));
        }
    }

    private void endOverdue(long nowUs) {
        for (ZoneTask task : tasks.values()) {
            if (task.dueUs > nowUs) {
                continue;
            }
            if (task.phase == Phase.TRANSFERRING) {
                failed(nowUs, task.request, TransferFailure.TIMEOUT);
            } else if (task.phase == Phase.POLLING) {
                // Stays pending: its answer may still come, and be the first with something later.
                failed(nowUs, pending.get(task.request), TransferFailure.TIMEOUT);
            }
        }
        pending.removeForgotten(nowUs).forEach(this::abandon);
    }

    private void applied(long nowUs, ZoneTask task, TransferResponse response) {
        ZoneContent content = task.follower.content().orElseThrow();
        task.confirmedUs = nowUs;
        statistics.applied(response);
        publisher.changed(content);
        out.accept(new ZoneChanged(task.zone(), content));
    }

    /** What the zone waited for has come. */
    private void concluded(long nowUs, Pending from, TransferResponse response, Outcome outcome) {
        ZoneTask task = from.task();
        switch (outcome) {
            case APPLIED, CURRENT -> {
                succeeded(from.replica());
                if (from.isTransfer()) {
                    transfers.succeeded();
                }
                task.confirmedUs = nowUs;
                task.transferFailures = 0;
                task.restAt(schedule.nextUs(nowUs));
            }
            case BEHIND -> failed(nowUs, from, TransferFailure.BEHIND);
            case NEEDS_TRANSFER -> {
                if (from.isTransfer()) {
                    failed(nowUs, from, TransferFailure.MALFORMED);
                } else {
                    succeeded(from.replica());
                    awaitTransfer(nowUs, task, response);
                }
            }
            case NEEDS_COPY -> {
                statistics.gapFound();
                blame(nowUs, from.replica(), "changes that do not fit");
                awaitTransfer(nowUs, task, response);
                task.tried.add(from.replica());
            }
            default -> throw new IllegalStateException("no outcome: " + outcome);
        }
    }

    private void failed(long nowUs, Pending from, TransferFailure failure) {
        ZoneTask task = from.task();
        task.request = 0;
        statistics.failed(failure);
        if (from.isTransfer() && failure == TransferFailure.REFUSED) {
            // Over its limits for transfers; it still answers polls.
            transfers.refused(nowUs);
        } else {
            blame(nowUs, from.replica(), failure.name());
        }
        if (from.isTransfer()) {
            retryTransfer(nowUs, task);
        } else if (failure == TransferFailure.BEHIND && ++task.behind > 1) {
            // What is held is later than what two replicas have: nothing is lost by waiting.
            task.restAt(schedule.nextUs(nowUs));
        } else {
            task.phase = Phase.IDLE;
            task.dueUs = nowUs;
        }
    }

    private void succeeded(Replica replica) {
        if (selector.succeeded(replica) >= FAILURES_LOGGED) {
            out.accept(new Log("server list: replica " + replica + " answers again"));
        }
    }

    private void blame(long nowUs, Replica replica, String failure) {
        if (selector.failed(nowUs, replica) == FAILURES_LOGGED) {
            out.accept(
                new Log("server list: replica " + replica + " failed " + FAILURES_LOGGED + " times in a row, now: " + failure));
        }
    }

    private void retryTransfer(long nowUs, ZoneTask task) {
        task.transferFailures++;
        if (task.transferFailures % MAX_TRANSFER_TRIES == 0) {
            task.restAt(schedule.nextUs(nowUs));
            return;
        }
        task.phase = Phase.WAITING_FOR_TRANSFER;
        task.dueUs = nowUs + transferBackoff.delayUs(task.transferFailures);
    }

    /** The replica that has the later version is asked first. */
    private void awaitTransfer(long nowUs, ZoneTask task, TransferResponse response) {
        task.phase = Phase.WAITING_FOR_TRANSFER;
        task.request = 0;
        task.tried.clear();
        boolean isSequence = response instanceof TooLarge later
            && task.follower.asked().filter(held -> held.epoch() == later.version().epoch()).isPresent();
        task.dueUs = isSequence ? nowUs : nowUs + random.nextLong(COPY_SPREAD_US);
    }

    private ZoneTask oldest() {
        return tasks.values().stream().min(Comparator.comparingLong(task -> task.confirmedUs)).orElseThrow();
    }
}
