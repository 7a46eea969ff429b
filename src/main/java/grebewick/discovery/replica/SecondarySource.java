package grebewick.discovery.replica;

import grebewick.config.Endpoint;
import grebewick.core.Clock;
import grebewick.core.Timers;
import grebewick.discovery.transfer.DiscoveryConfig;
import grebewick.discovery.transfer.DnsTransferClient;
import grebewick.discovery.transfer.ZoneContent;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/**
 * Follows zones at other replicas, as a gatekeeper does, and tells each content that is later than the one before. It has a
 * client for each group of upstreams, such as the primary of each region.
 */
final class SecondarySource implements ZoneSource {
    private final Vertx vertx;
    private final Supplier<List<DiscoveryConfig>> reader;
    private final List<DnsTransferClient> clients = new ArrayList<>();
    private List<DiscoveryConfig> configs;
    private Listener listener;

    /**
     * A source that follows nothing yet.
     *
     * @param configs one for each client
     * @param reader reads as many configurations anew, on another thread; may throw a {@code ConfigurationException}
     */
    SecondarySource(Vertx vertx, Clock clock, Timers timers, RandomGenerator random, List<DiscoveryConfig> configs,
                    Supplier<List<DiscoveryConfig>> reader, Consumer<String> log) {
        this.vertx = vertx;
        this.reader = reader;
        this.configs = configs;
        for (DiscoveryConfig config : configs) {
            clients.add(new DnsTransferClient(vertx, clock, timers, random, config, List.of(), new Confirmations(), log)
                .onZone((zone, content) -> listener.news(zone, content)));
        }
    }

    /** Passes on what upstreams confirm. */
    private final class Confirmations implements DnsTransferClient.Listener {
        @Override
        public void listed(List<Endpoint> servers) {}

        @Override
        public void confirmed(String zone, long askedUs, ZoneContent content) {
            listener.confirmed(zone, askedUs);
        }
    }

    @Override
    public void start(Listener to) {
        listener = to;
        listener.serve(zones());
        clients.forEach(DnsTransferClient::start);
    }

    private Set<String> zones() {
        Set<String> zones = new LinkedHashSet<>();
        configs.forEach(config -> zones.addAll(config.zones()));
        return zones;
    }

    @Override
    public Future<Void> reread() {
        return vertx.executeBlocking(reader::get).onSuccess(this::configure).mapEmpty();
    }

    private void configure(List<DiscoveryConfig> next) {
        configs = next;
        listener.serve(zones());
        for (int i = 0; i < clients.size(); i++) {
            clients.get(i).configure(next.get(i));
        }
    }

    /** Queries and transfers that wait for the network. */
    int requestsOut() {
        return clients.stream().mapToInt(client -> client.client().requestsOut()).sum();
    }

    @Override
    public Future<Void> close() {
        return Future.join(clients.stream().map(DnsTransferClient::close).toList()).mapEmpty();
    }
}
