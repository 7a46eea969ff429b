package grebewick.lab.fleet;

import grebewick.config.Address;
import grebewick.config.Endpoint;
import grebewick.core.Clock;
import grebewick.core.Timers;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Supplier;

/** A gatekeeper's client of the list of servers. */
public interface ServerListSource {
    /** Starts asking. */
    void start();

    /** Asks no more. */
    Future<Void> close();

    /** A client that is started and closed so. */
    static ServerListSource of(Runnable start, Supplier<Future<Void>> close) {
        return new ServerListSource() {
            @Override
            public void start() {
                start.run();
            }

            @Override
            public Future<Void> close() {
                return close.get();
            }
        };
    }

    /**
     * What a client is to ask for, and where.
     *
     * @param plan says which zones the gatekeeper follows, and the regions
     * @param gatekeeper its number
     * @param controlMachines where lists are to be had, by number
     * @param seed of the client's own randomness
     */
    record Task(FleetPlan plan, int gatekeeper, List<Address> controlMachines, long seed) {}

    /** Makes the clients of one kind of distribution. */
    interface Factory {
        /**
         * A client that does not ask yet, on the event loop of the caller.
         *
         * @param news takes each newer list, whole
         */
        ServerListSource create(Vertx vertx, Clock clock, Timers timers, Task task, Consumer<List<Endpoint>> news,
                                Consumer<String> log);
    }
}
