package grebewick.discovery.transfer;

import grebewick.discovery.transfer.ClientAction.Log;
import java.util.function.Consumer;

/** Which replicas answer as they should: tells the {@link ReplicaSelector}, and the log where one fails for longer. */
final class ReplicaHealth {
    /** Failures in a row after which a replica is named in the log, once until it answers. */
    private static final int FAILURES_LOGGED = 3;

    private final ReplicaSelector selector;
    private final Consumer<ClientAction> out;

    ReplicaHealth(ReplicaSelector selector, Consumer<ClientAction> out) {
        this.selector = selector;
        this.out = out;
    }

    /** It answered as it should. */
    void succeeded(Replica replica) {
        if (selector.succeeded(replica) >= FAILURES_LOGGED) {
            out.accept(new Log("server list: replica " + replica + " answers again"));
        }
    }

    /** It did not. */
    void failed(long nowUs, Replica replica, String failure) {
        if (selector.failed(nowUs, replica) == FAILURES_LOGGED) {
            out.accept(
                new Log("server list: replica " + replica + " failed " + FAILURES_LOGGED + " times in a row, now: " + failure));
        }
    }
}
