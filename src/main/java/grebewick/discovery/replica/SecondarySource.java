package grebewick.discovery.replica;

import grebewick.core.Clock;
import grebewick.core.Timers;
import grebewick.discovery.transfer.DiscoveryConfig;
import grebewick.discovery.transfer.DnsTransferClient;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/** Follows the zones at other replicas, as a gatekeeper does, and tells each content that is later than the one before. */
final class SecondarySource implements ZoneSource {
    private final Vertx vertx;
    private final Supplier<DiscoveryConfig> reader;
    private final DnsTransferClient client;
    private DiscoveryConfig config;
    private Listener listener;

    /**
     * A source that follows nothing yet.
     *
     * @param reader reads the configuration anew, on another thread; may throw a {@code ConfigurationException}
     */
    SecondarySource(Vertx vertx, Clock clock, Timers timers, RandomGenerator random, DiscoveryConfig config,
                    Supplier<DiscoveryConfig> reader, Consumer<String> log) {
        this.vertx = vertx;
        this.reader = reader;
        this.config = config;
        client = new DnsTransferClient(vertx, clock, timers, random, config, List.of(), list -> {}, log)
            .onZone((zone, content) -> listener.news(zone, content));
    }

    @Override
    public void start(Listener to) {
        listener = to;
        listener.serve(new LinkedHashSet<>(config.zones()));
        client.start();
    }

    @Override
    public Future<Void> reread() {
        return vertx.executeBlocking(reader::get).onSuccess(next -> {
            config = next;
            listener.serve(new LinkedHashSet<>(next.zones()));
            client.configure(next);
        }).mapEmpty();
    }

    /** Queries and transfers that wait for the network. */
    int requestsOut() {
        return client.client().requestsOut();
    }

    @Override
    public Future<Void> close() {
        return client.close();
    }
}
