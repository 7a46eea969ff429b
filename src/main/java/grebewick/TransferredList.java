package grebewick;

import grebewick.config.Endpoint;
import grebewick.core.Gatekeeper;
import grebewick.core.ListConfirmation;
import grebewick.discovery.transfer.DnsTransferClient;
import grebewick.discovery.transfer.ZoneContent;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;

/** Passes on to a gatekeeper's core what replicas say of the zones that it follows. Loaded where zones are followed alone. */
final class TransferredList implements DnsTransferClient.Listener {
    private final Gatekeeper<?> core;
    private final Consumer<List<Endpoint>> lists;

    /** The client that a listener of that core is handed to; {@code lists} takes each list of all servers. */
    static DnsTransferClient follow(Gatekeeper<?> core, Consumer<List<Endpoint>> lists,
                                    Function<DnsTransferClient.Listener, DnsTransferClient> client) {
        return client.apply(new TransferredList(core, lists));
    }

    private TransferredList(Gatekeeper<?> core, Consumer<List<Endpoint>> lists) {
        this.core = core;
        this.lists = lists;
    }

    @Override
    public void listed(List<Endpoint> servers) {
        lists.accept(servers);
    }

    @Override
    public void confirmed(String zone, long askedUs, ZoneContent content) {
        core.confirmed(new ListConfirmation(zone, askedUs, content.servers().keySet()));
    }

    @Override
    public void followed(Set<String> zones) {
        core.zonesFollowed(zones);
    }
}
