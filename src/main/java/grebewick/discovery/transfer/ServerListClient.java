package grebewick.discovery.transfer;

import grebewick.config.Endpoint;
import grebewick.discovery.transfer.ClientAction.CloseConnection;
import grebewick.discovery.transfer.ClientAction.ForgetQuery;
import grebewick.discovery.transfer.ClientAction.Log;
import grebewick.discovery.transfer.ClientAction.Publish;
import grebewick.discovery.transfer.ClientAction.ZoneChanged;
import grebewick.discovery.transfer.ClientAction.ZoneConfirmed;
import grebewick.discovery.transfer.ClientAction.ZonesFollowed;
import grebewick.discovery.transfer.PendingRequests.Pending;
import grebewick.discovery.transfer.TransferResponse.Failed;
import grebewick.discovery.transfer.ZoneFollower.Outcome;
import grebewick.discovery.transfer.ZoneTask.Phase;
import java.util.ArrayList;
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

    private static final Comparator<ZoneTask> BY_DUE_TIME = Comparator.comparingLong(task -> task.dueUs);
    /** News of a zone that is held comes before a zone that is not. */
    private static final Comparator<ZoneTask> HELD_FIRST = Comparator
        .comparing((ZoneTask task) -> task.follower.held().isEmpty()).thenComparing(BY_DUE_TIME);

    private final Consumer<ClientAction> out;
    private final Map<String, ZoneTask> tasks = new LinkedHashMap<>();
    private final PendingRequests pending = new PendingRequests();
    private final TransferConnections connections = new TransferConnections();
    private final ServerListPublisher publisher;
    private final AgeMonitor age = new AgeMonitor();
    private final ClientStatistics statistics = new ClientStatistics();
    private final ClientContext context;
    private ReplicaHealth health;
    private ZonePolls polls;
    private ZoneTransfers transfers;

    /** A client that published {@code known} before; actions are handed to {@code out} at once, in order. */
    public ServerListClient(DiscoveryConfig config, Collection<Endpoint> known, RandomGenerator random, long nowUs,
                            Consumer<ClientAction> out) {
        this.out = out;
        context = new ClientContext(pending, connections, statistics, random, out);
        publisher = new ServerListPublisher(known);
        configure(config, nowUs);
    }

    /** From now on follows another configuration; what is held of zones that stay, stays. */
    public void configure(DiscoveryConfig next, long nowUs) {
        ReplicaSelector selector = new ReplicaSelector(next.replicas(), next.region(), next.zone(), context.random());
        health = new ReplicaHealth(selector, out);
        polls = new ZonePolls(next, selector, context);
        transfers = new ZoneTransfers(next, selector, polls, context);
        pending.removeAll().forEach(this::abandon);
        connections.endAll().forEach(this::close);
        tasks.keySet().retainAll(next.zones());
        for (String zone : next.zones()) {
            polls.begin(nowUs, tasks.computeIfAbsent(zone, name -> new ZoneTask(name, nowUs)));
        }
        publisher.zonesChanged();
        out.accept(new ZonesFollowed(tasks.keySet()));
        out.accept(new Log("server list: follows " + tasks.size() + " zones at " + next.replicas().size()
            + " replicas, each zone polled every " + polls.heldIntervalUs() / 1_000 + " ms"));
    }

    /** Does all that is due. */
    public void advance(long nowUs) {
        endOverdue(nowUs);
        for (ZoneTask task : due(nowUs, Phase.IDLE)) {
            if (polls.isOpen(nowUs) || nowUs >= task.pressingUs()) {
                polls.poll(nowUs, task);
            }
        }
        for (ZoneTask task : due(nowUs, Phase.WAITING_FOR_TRANSFER)) {
            if (!transfers.gate().isOpen(nowUs)) {
                break;
            }
            transfers.transfer(nowUs, task);
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
        long transfersOpenUs = transfers.gate().opensAtUs(nowUs);
        for (ZoneTask task : tasks.values()) {
            next = Math.min(next, switch (task.phase) {
                case IDLE -> Math.max(task.dueUs, Math.min(pollsOpenUs, task.pressingUs()));
                case WAITING_FOR_TRANSFER -> Math.max(task.dueUs, transfersOpenUs);
                case POLLING, TRANSFERRING -> task.dueUs;
            });
        }
        return Math.max(next, nowUs + 1);
    }

    /**
     * Bytes of a datagram that came for a request; before what it came to. A whole copy is paid from what transfers have left,
     * and only else from what polls have: a start of many small zones would wait for that alone.
     */
    public void received(long nowUs, long request, int bytes) {
        Pending from = pending.get(request);
        boolean isCopy = from != null && from.task().follower.asked().isEmpty();
        if (isCopy && transfers.gate().hasBytes(nowUs)) {
            transfers.gate().received(nowUs, bytes + DATAGRAM_HEADERS);
        } else {
            polls.received(nowUs, bytes);
        }
    }

    /** Bytes that came over a connection; before what they came to. */
    public void streamed(long nowUs, int bytes) {
        transfers.gate().received(nowUs, bytes);
    }

    /** A whole answer to a request, of who knows the zone at first hand. */
    public void answered(long nowUs, long request, TransferResponse response) {
        answered(nowUs, request, response, 0);
    }

    /**
     * A whole answer to a request.
     *
     * @param sourceAgeUs us. How old the replica's own word on the zone was
     */
    public void answered(long nowUs, long request, TransferResponse response, long sourceAgeUs) {
        Pending from = take(request);
        if (from == null) {
            return;
        }
        if (from.isTransfer()) {
            transfers.answered(nowUs, request, response);
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
            applied(task, response);
        }
        if (outcome == Outcome.APPLIED || outcome == Outcome.CURRENT) {
            confirmed(task, from.askedUs() - sourceAgeUs);
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
        return polls.bytes() + transfers.gate().bytes();
    }

    private List<ZoneTask> due(long nowUs, Phase phase) {
        // A loop: this runs with each answer over all zones, hundreds of them at a replica, and mostly finds none.
        List<ZoneTask> due = new ArrayList<>();
        for (ZoneTask task : tasks.values()) {
            if (task.phase == phase && task.dueUs <= nowUs) {
                due.add(task);
            }
        }
        due.sort(phase == Phase.WAITING_FOR_TRANSFER ? HELD_FIRST : BY_DUE_TIME);
        return due;
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
                transfers.retry(nowUs, from.task());
            }
        }
    }

    private Pending take(long request) {
        Pending from = pending.remove(request);
        if (from != null && from.isTransfer()) {
            transfers.gate().ended();
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

    /** As of the question, less the age of the replica's own word: what came after that may not be in the answer. */
    private void confirmed(ZoneTask task, long askedUs) {
        task.confirmedUs = Math.max(task.confirmedUs, askedUs);
        out.accept(new ZoneConfirmed(task.zone(), askedUs, task.follower.content().orElseThrow()));
    }

    private void applied(ZoneTask task, TransferResponse response) {
        ZoneContent content = task.follower.content().orElseThrow();
        statistics.applied(response);
        publisher.changed(content);
        out.accept(new ZoneChanged(task.zone(), content));
    }

    /** What the zone waited for has come. */
    private void concluded(long nowUs, Pending from, TransferResponse response, Outcome outcome) {
        ZoneTask task = from.task();
        switch (outcome) {
            case APPLIED, CURRENT -> {
                health.succeeded(from.replica());
                if (from.isTransfer()) {
                    transfers.gate().succeeded();
                }
                task.transferFailures = 0;
                polls.rest(nowUs, task);
            }
            case BEHIND -> failed(nowUs, from, TransferFailure.BEHIND);
            case NEEDS_TRANSFER -> {
                if (from.isTransfer()) {
                    failed(nowUs, from, TransferFailure.MALFORMED);
                } else {
                    health.succeeded(from.replica());
                    transfers.await(nowUs, task, response);
                }
            }
            case NEEDS_COPY -> {
                statistics.gapFound();
                health.failed(nowUs, from.replica(), "changes that do not fit");
                transfers.await(nowUs, task, response);
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
            transfers.gate().refused(nowUs);
        } else {
            health.failed(nowUs, from.replica(), failure.name());
        }
        if (from.isTransfer()) {
            transfers.retry(nowUs, task);
        } else if (failure == TransferFailure.BEHIND && ++task.behind > 1) {
            // What is held is later than what two replicas have: nothing is lost by waiting.
            polls.rest(nowUs, task);
        } else {
            task.phase = Phase.IDLE;
            task.dueUs = nowUs;
        }
    }

    private ZoneTask oldest() {
        ZoneTask oldest = null;
        for (ZoneTask task : tasks.values()) {
            if (oldest == null || task.confirmedUs < oldest.confirmedUs) {
                oldest = task;
            }
        }
        return oldest;
    }
}
