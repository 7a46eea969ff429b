package grebewick.discovery.transfer;

import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/**
 * What the parts of a client share, whatever the configuration.
 *
 * @param pending queries and transfers whose answers are still taken
 * @param connections for transfers
 * @param out takes what is to be done, at once and in order
 */
record ClientContext(PendingRequests pending, TransferConnections connections, ClientStatistics statistics,
                     RandomGenerator random, Consumer<ClientAction> out) {}
