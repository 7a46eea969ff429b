package grebewick.trunk;

import grebewick.config.Address;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetSocket;
import java.util.function.Consumer;

/**
 * Shows that a server's address can be reached, where tests of servers are forbidden: by one connection more. Its client gives
 * up soon, so that the next try after a cut comes soon.
 */
final class AddressCheck {
    /** ms. Longer than a way there and back within a region and to the next. */
    static final int CONNECT_MS = 200;

    private final NetClient client;
    private final Quota quota;
    private final Consumer<NetSocket> cameUp;
    private boolean connecting;

    /** {@code cameUp} takes each connection, for which the quota has been taken. */
    AddressCheck(NetClient client, Quota quota, Consumer<NetSocket> cameUp) {
        this.client = client;
        this.quota = quota;
        this.cameUp = cameUp;
    }

    /** Tries once, unless a try is under way. */
    void open(Address address) {
        if (connecting || !quota.take(true)) {
            return;
        }
        connecting = true;
        client.connect(address.socket()).onComplete(done -> {
            connecting = false;
            if (done.succeeded()) {
                cameUp.accept(done.result());
            } else {
                quota.give();
            }
        });
    }
}
