package grebewick.lab.fleet;

import grebewick.config.Address;
import grebewick.lab.StandInNames.Host;
import grebewick.lab.measure.Traffic;
import java.io.IOException;
import java.util.List;
import java.util.Map;

/** The control machines that a fleet of hollow gatekeepers asks, on loopback ports. */
public interface ControlPlane extends AutoCloseable {
    /** Starts them with a first list, by place; gives the addresses of those that gatekeepers ask. */
    List<Address> open(FleetPlan plan, Map<Integer, Host> hosts) throws Exception;

    /** Waits until all machines have the first list. */
    void awaitReady() throws Exception;

    /** The list of servers changes. */
    void publish(Map<Integer, Host> hosts) throws Exception;

    /** What one machine that gatekeepers ask has taken and sent; any thread may ask. */
    Traffic traffic(int machine);

    /** What each machine has used, where they have processes of their own; otherwise empty. */
    List<MachineUse> uses() throws IOException;

    /** One machine ends without a word. */
    void kill(int machine) throws Exception;

    /** It starts again at the same address, with nothing kept from before. */
    void restart(int machine) throws Exception;

    /** Whether there are several machines that follow primaries; without, nothing can be {@link #split}. */
    boolean hasReplicas();

    /** From now on the machines of a region do not hear the other's primary. */
    void split() throws Exception;

    /** From now on they do again. */
    void meet() throws Exception;

    @Override
    void close() throws IOException;
}
