package grebewick.discovery.transfer;

import static org.assertj.core.api.Assertions.assertThat;

import grebewick.config.Endpoint;
import grebewick.discovery.transfer.ClientAction.CloseConnection;
import grebewick.discovery.transfer.ClientAction.ForgetQuery;
import grebewick.discovery.transfer.ClientAction.Log;
import grebewick.discovery.transfer.ClientAction.OpenConnection;
import grebewick.discovery.transfer.ClientAction.Publish;
import grebewick.discovery.transfer.ClientAction.SendQuery;
import grebewick.discovery.transfer.ClientAction.SendTransfer;
import grebewick.discovery.transfer.ClientAction.ZoneChanged;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.LongConsumer;

/** One client in a {@link SimNetwork}; checks at each step what must always hold of it. */
final class SimClient {
    private final SimNetwork network;
    private final DiscoveryConfig config;
    private final ServerListClient client;
    private final ArrayDeque<ClientAction> actions = new ArrayDeque<>();
    private final Map<String, ZoneVersion> versions = new HashMap<>();
    private final Set<Long> open = new HashSet<>();
    private final Map<Long, Replica> connections = new HashMap<>();
    /** Connections that the replica closes at once; what is asked on them is lost. */
    private final Set<Long> refused = new HashSet<>();
    /** Of each transfer that is open, its connection. */
    private final Map<Long, Long> transfers = new HashMap<>();
    final List<String> log = new ArrayList<>();
    List<Endpoint> published;
    int publications;
    private long armedUs = Long.MAX_VALUE;
    private boolean isStopped;
    /** Fill of a leaking bucket of the client's budgets, and when it was looked at. */
    private double fill;
    private long countedBytes;
    private long countedUs;
    private double largestFill;

    SimClient(SimNetwork network, DiscoveryConfig config, List<Endpoint> known, long seed) {
        this.network = network;
        this.config = config;
        published = known;
        countedUs = network.clock.nowUs();
        client = new ServerListClient(config, known, new SplittableRandom(seed), network.clock.nowUs(), actions::add);
        step(now -> {});
    }

    ServerListClient client() {
        return client;
    }

    /** Follows another configuration. */
    void configure(DiscoveryConfig next) {
        step(now -> client.configure(next, now));
    }

    /** The process is gone. */
    void stop() {
        isStopped = true;
    }

    /** An answer has come, with its bytes. */
    void answered(long request, int bytes, TransferResponse response) {
        if (open.contains(request)) {
            step(now -> {
                received(now, request, bytes);
                client.answered(now, request, response);
            });
        }
    }

    /** What has come cannot be read, or a connection has failed. */
    void failed(long request, int bytes, TransferFailure failure) {
        if (open.contains(request)) {
            step(now -> {
                received(now, request, bytes);
                client.failed(now, request, failure);
            });
        }
    }

    private void received(long nowUs, long request, int bytes) {
        open.remove(request);
        if (transfers.remove(request) == null) {
            client.received(nowUs, request, bytes);
        } else {
            client.streamed(nowUs, bytes);
        }
    }

    /** A connection has ended by itself. */
    void disconnected(long connection) {
        if (end(connection) == null) {
            return;
        }
        transfers.entrySet().removeIf(each -> each.getValue() == connection && open.remove(each.getKey()));
        step(now -> client.disconnected(now, connection, TransferFailure.DISCONNECTED));
    }

    /** A connection is no more; gives its replica, or null: it is unknown. */
    private Replica end(long connection) {
        Replica replica = connections.remove(connection);
        if (replica != null && !refused.remove(connection)) {
            network.disconnect(replica);
        }
        return replica;
    }

    /** The numbers of its connections. */
    Set<Long> connections() {
        return Set.copyOf(connections.keySet());
    }

    /** The most bytes that were used above what the budgets' rates give, at any time. */
    double largestFill() {
        return largestFill;
    }

    private void step(LongConsumer tell) {
        if (isStopped) {
            return;
        }
        long nowUs = network.clock.nowUs();
        tell.accept(nowUs);
        client.advance(nowUs);
        for (ClientAction action = actions.poll(); action != null; action = actions.poll()) {
            perform(action);
        }
        count(nowUs);
        long next = client.nextUs(nowUs);
        if (next < armedUs) {
            armedUs = next;
            // What was armed for later stays and does nothing: to take it out would cost a search of all clients' timers.
            network.clock.after(next - nowUs, () -> wake(next));
        }
    }

    private void wake(long atUs) {
        if (atUs == armedUs) {
            armedUs = Long.MAX_VALUE;
            step(now -> {});
        }
    }

    private void count(long nowUs) {
        double perUs = (config.pollBytesPerSecond() + config.transferBytesPerSecond()) / 1e6;
        fill = Math.max(0, fill - (nowUs - countedUs) * perUs) + client.bytes() - countedBytes;
        countedUs = nowUs;
        countedBytes = client.bytes();
        largestFill = Math.max(largestFill, fill);
    }

    private void perform(ClientAction action) {
        if (action instanceof SendQuery query) {
            open.add(query.request());
            network.ask(this, query.request(), query.replica(), query.zone(), query.held(), false);
        } else if (action instanceof OpenConnection connection) {
            assertThat(connections.put(connection.connection(), connection.replica())).as("a new connection").isNull();
            if (!network.connect(this, connection.connection(), connection.replica())) {
                refused.add(connection.connection());
            }
        } else if (action instanceof SendTransfer transfer) {
            assertThat(connections.get(transfer.connection())).as("a connection to the replica").isEqualTo(transfer.replica());
            open.add(transfer.request());
            transfers.put(transfer.request(), transfer.connection());
            if (!refused.contains(transfer.connection())) {
                network.ask(this, transfer.request(), transfer.replica(), transfer.zone(), transfer.held(), true);
            }
        } else if (action instanceof CloseConnection connection) {
            assertThat(end(connection.connection())).as("a connection that is open").isNotNull();
            transfers.entrySet().removeIf(each -> each.getValue() == connection.connection() && open.remove(each.getKey()));
        } else if (action instanceof ForgetQuery query) {
            assertThat(open.remove(query.request())).as("a query that is open").isTrue();
        } else if (action instanceof ZoneChanged changed) {
            check(changed);
        } else if (action instanceof Publish list) {
            assertThat(list.servers()).as("what is published is another list").isNotEqualTo(published);
            published = list.servers();
            publications++;
        } else if (action instanceof Log line) {
            log.add(line.line());
        }
    }

    /** Versions only grow, and each content is what the primary wrote under that version. */
    private void check(ZoneChanged changed) {
        ZoneVersion version = changed.content().version();
        ZoneVersion before = versions.put(changed.zone(), version);
        assertThat(before == null || version.isAfter(before)).as("zone %s from %s to %s", changed.zone(), before, version)
            .isTrue();
        ZoneContent written = network.primary.at(changed.zone(), version);
        assertThat(written).as("zone %s at %s was written", changed.zone(), version).isNotNull();
        assertThat(changed.content().servers()).as("zone %s at %s", changed.zone(), version).isEqualTo(written.servers());
    }
}
