package grebewick.lab.fleet;

import grebewick.config.Address;
import grebewick.config.Endpoint;
import grebewick.core.Clock;
import grebewick.core.Timers;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.List;
import java.util.function.Consumer;

/** A gatekeeper's client of the list of servers. */
public interface ServerListSource {
    /** Starts asking. */
    void start();

    /** Asks no more. */
    Future<Void> close();

    /** Makes the clients of one kind of distribution. */
    interface Factory {
        /**
         * A client that does not ask yet, on the event loop of the caller.
         *
         * @param controlMachines where lists are to be had
         * @param zones of the services that this gatekeeper calls, for those who can ask for less than the whole list
         * @param seed of the client's own randomness
         * @param news takes each newer list, whole
         */
        ServerListSource create(Vertx vertx, Clock clock, Timers timers, List<Address> controlMachines, List<String> zones,
                                long seed, Consumer<List<Endpoint>> news, Consumer<String> log);
    }
}
