package grebewick.lab.fleet;

import grebewick.config.Address;
import grebewick.lab.StandInNames.Host;
import grebewick.lab.measure.Traffic;
import java.io.IOException;
import java.util.List;

/** The control machines that a fleet of hollow gatekeepers asks, on loopback ports of this process. */
public interface ControlPlane extends AutoCloseable {
    /** Opens their ports; gives one address each. */
    List<Address> open(FleetPlan plan) throws Exception;

    /** The list of servers changes. */
    void publish(List<Host> hosts, FleetPlan plan) throws Exception;

    /** Waits until all machines have the first list. */
    void awaitReady() throws Exception;

    /** What one machine has taken and sent; any thread may ask. */
    Traffic traffic(int machine);

    /** One machine ends without a word. */
    void kill(int machine) throws Exception;

    /** It starts again at the same address, with nothing kept from before. */
    void restart(int machine) throws Exception;

    @Override
    void close() throws IOException;
}
