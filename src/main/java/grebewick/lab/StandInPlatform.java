package grebewick.lab;

import io.vertx.core.Vertx;
import java.util.function.LongConsumer;

/**
 * What a gatekeeper needs around it: a name service and the servers that it lists, on the event loop of one Vert.x, and the
 * configuration of a gatekeeper between them.
 *
 * @param config of a gatekeeper at a port that is free
 */
record StandInPlatform(StandInNames names, StandInFleet fleet, GatekeeperConfig config) {

    /**
     * The servers of a platform, and what its gatekeepers may use.
     *
     * @param listed servers in the list
     * @param answerMs from a set-up to its answer; 0: at once
     * @param holdMs from the answer to the release
     * @param lines calls at once of each process of servers
     * @param peers other gatekeepers in the file
     * @param sockets descriptors of a gatekeeper
     */
    record Size(int listed, long answerMs, long holdMs, int lines, int peers, int sockets) {}

    /**
     * Opens the ports, with the list published.
     *
     * @param ended takes the id of each call that a server ends
     */
    static StandInPlatform open(Vertx vertx, Size size, LongConsumer ended) throws Exception {
        StandInNames names = new StandInNames(vertx);
        int namesPort = Futures.await(names.listen());
        StandInFleet fleet = new StandInFleet(vertx, size.listed, size.answerMs, size.holdMs, size.lines, ended);
        Futures.onLoop(vertx, () -> {
            names.list(fleet.hosts());
            return null;
        });
        return new StandInPlatform(names, fleet,
            new GatekeeperConfig(GatekeeperProcess.freePort(), namesPort, fleet.hosts(), size.peers, size.sockets));
    }
}
