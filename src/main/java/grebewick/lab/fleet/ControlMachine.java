package grebewick.lab.fleet;

import grebewick.config.Address;
import grebewick.core.Clock;
import grebewick.core.Timers;
import grebewick.discovery.replica.HistoryLimits;
import grebewick.discovery.replica.LimitSettings;
import grebewick.discovery.replica.ReplicaServer;
import grebewick.discovery.replica.ReplicaState;
import grebewick.discovery.replica.ServerLimits;
import grebewick.discovery.transfer.DiscoveryConfig;
import grebewick.discovery.transfer.DnsTransferClient;
import grebewick.discovery.transfer.Replica;
import grebewick.discovery.transfer.ZoneContent;
import grebewick.lab.Futures;
import grebewick.lab.measure.Traffic;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * One name server of a region with an event loop of its own: the primary, which is told its zones, or a replica, which follows
 * the primaries with the gatekeepers' own client.
 */
final class ControlMachine {
    private static final String LOOPBACK = "127.0.0.1";
    private static final HistoryLimits HISTORY = new HistoryLimits(4_096, 65_536);
    private static final long POLL_US = 1_000_000;
    private static final long TIMEOUT_US = 500_000;
    private static final long TRANSFER_US = 3_000_000;
    /** Bytes a second between a replica and its primary: some 60 zones of 280 at a time. */
    private static final long UPSTREAM_BYTES_PER_S = 4_000_000;
    private static final long MAX_TRANSFER_BYTES = 8 << 20;
    /** us. For answers that have begun. */
    private static final long FAREWELL_US = 1;
    /** Bytes of a query with the asker's SOA (89, docs/design/server-list-distribution.md). */
    private static final int QUERY_BYTES = 89;

    private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
    private final Clock clock = () -> System.currentTimeMillis() * 1000;
    private final Timers timers = (us, task) -> {
        long id = vertx.setTimer(Math.max(1, (us + 999) / 1000), fired -> task.run());
        return () -> vertx.cancelTimer(id);
    };
    private final ReplicaState state;
    private final ReplicaServer server;
    private final List<DnsTransferClient> upstreams = new ArrayList<>();

    /** A machine that holds nothing yet of these zones. */
    ControlMachine(List<String> zones) {
        state = new ReplicaState(HISTORY, LimitSettings.DEFAULT, clock.nowUs());
        state.serve(zones);
        server = new ReplicaServer(vertx, state, ServerLimits.DEFAULT, clock, timers, line -> {});
    }

    /** Listens on loopback, port 0 stands for any; gives the address. */
    Address listen(int port) throws Exception {
        return Futures.await(Futures.onLoop(vertx, () -> server.listen(new Address(LOOPBACK, port))));
    }

    /** Follows the zones of one primary from now on. */
    void follow(Address primary, List<String> zones) throws Exception {
        DiscoveryConfig config = new DiscoveryConfig("", "", List.of(new Replica(primary, "", "")), zones, POLL_US,
            TIMEOUT_US, TRANSFER_US, UPSTREAM_BYTES_PER_S, UPSTREAM_BYTES_PER_S, MAX_TRANSFER_BYTES);
        Futures.onLoop(vertx, () -> {
            DnsTransferClient upstream = new DnsTransferClient(vertx, clock, timers, new Random(), config, List.of(), list -> {},
                line -> {}).onZone(state::take);
            upstreams.add(upstream);
            upstream.start();
            return null;
        });
    }

    /** A primary's zones have these contents now. */
    void take(Map<String, ZoneContent> contents) throws Exception {
        Futures.onLoop(vertx, () -> {
            contents.forEach(state::take);
            return null;
        });
    }

    /** Zones that are held. */
    long held() throws Exception {
        return Futures.onLoop(vertx, state::held);
    }

    /** Queries and answers so far; read by other threads without a lock, so that it may be a moment old. */
    Traffic traffic() {
        var counters = state.counters();
        return new Traffic(counters.queries(), counters.queries() * QUERY_BYTES, counters.queries(), counters.bytes());
    }

    /** Queries that were refused as over the limits. */
    long refused() {
        return state.counters().refused();
    }

    /** Ends, as a process that is killed. */
    void kill() throws Exception {
        Futures.await(Futures.onLoop(vertx, () -> {
            upstreams.forEach(DnsTransferClient::close);
            return server.close(FAREWELL_US);
        }));
        Futures.await(vertx.close());
    }
}
