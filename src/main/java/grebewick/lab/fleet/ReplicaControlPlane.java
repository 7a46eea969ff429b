package grebewick.lab.fleet;

import grebewick.config.Address;
import grebewick.discovery.transfer.TransferCodec;
import grebewick.discovery.transfer.TransferRequest;
import grebewick.discovery.transfer.ZoneVersion;
import grebewick.lab.StandInNames.Host;
import grebewick.lab.measure.Traffic;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/** A primary of each region, and replicas of all of them, each a process of its own; gatekeepers ask the replicas. */
final class ReplicaControlPlane implements ControlPlane {
    private static final Address ANY_PORT = new Address("127.0.0.1", 0);
    private static final int PATIENCE_S = 120;
    private static final int LOOK_AGAIN_MS = 100;
    /** Bytes of a query with the asker's version. */
    private static final int QUERY_BYTES = TransferCodec.encodeQuery(new TransferRequest(0, "s112.east.fleet.local.",
        Optional.of(new ZoneVersion(System.currentTimeMillis(), 1)))).length;

    /** What a machine's processes before the present one have used. */
    private record Before(Traffic traffic, long cpuNs) {
        private static final Before NOTHING = new Before(Traffic.NONE, 0);
    }

    private final int replicaCount;
    private final List<String> options;
    private final List<ControlProcess> primaries = new ArrayList<>();
    private final List<ControlProcess> replicas = new ArrayList<>();
    private final List<Address> primaryAddresses = new ArrayList<>();
    private final List<Address> addresses = new ArrayList<>();
    private final Map<Integer, Before> before = new HashMap<>();
    private Map<Integer, Host> published = Map.of();
    private FleetPlan plan;
    private ControlFiles files;

    /**
     * Machines that are not started yet.
     *
     * @param options of their JVMs
     */
    ReplicaControlPlane(int replicas, List<String> options) {
        this.replicaCount = replicas;
        this.options = options;
    }

    @Override
    public List<Address> open(FleetPlan thePlan, Map<Integer, Host> hosts) throws Exception {
        plan = thePlan;
        files = new ControlFiles(plan);
        published = Map.copyOf(hosts);
        for (int region = 0; region < plan.regions(); region++) {
            files.writeZones(region, hosts);
            primaries.add(new ControlProcess(options, files.writePrimary(region)));
        }
        for (ControlProcess primary : primaries) {
            primaryAddresses.add(primary.awaitAddress());
        }
        // One after another: so many JVMs that start at once on one machine hold each other up for over 10 s.
        for (int i = 0; i < replicaCount; i++) {
            replicas.add(new ControlProcess(options, files.writeReplica(i, ANY_PORT, primaryAddresses, false)));
            addresses.add(replicas.get(i).awaitAddress());
        }
        return List.copyOf(addresses);
    }

    @Override
    public void awaitReady() throws Exception {
        long endNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(PATIENCE_S);
        int zones = plan.zones().size();
        for (ControlProcess replica : replicas) {
            while (replica.counters().held() < zones) {
                if (System.nanoTime() > endNs) {
                    throw new IOException("a replica holds " + replica.counters().held() + " of " + zones + " zones");
                }
                Thread.sleep(LOOK_AGAIN_MS);
            }
        }
    }

    @Override
    public void publish(Map<Integer, Host> hosts) throws Exception {
        for (int region = 0; region < plan.regions(); region++) {
            if (!ofRegion(region, hosts).equals(ofRegion(region, published))) {
                files.writeZones(region, hosts);
                primaries.get(region).reload();
            }
        }
        published = Map.copyOf(hosts);
    }

    private Map<Integer, Host> ofRegion(int region, Map<Integer, Host> hosts) {
        Map<Integer, Host> own = new HashMap<>(hosts);
        own.keySet().removeIf(place -> plan.regionOfServer(place) != region);
        return own;
    }

    @Override
    public synchronized Traffic traffic(int machine) {
        return before.getOrDefault(machine, Before.NOTHING).traffic.plus(traffic(replicas.get(machine)));
    }

    private static Traffic traffic(ControlProcess process) {
        ReplicaLogLine counters = process.counters();
        return new Traffic(counters.queries(), counters.queries() * QUERY_BYTES, counters.queries(), counters.bytes());
    }

    @Override
    public List<MachineUse> uses() throws IOException {
        List<MachineUse> uses = new ArrayList<>();
        for (ControlProcess primary : primaries) {
            uses.add(new MachineUse(true, primary.cpuNs(), primary.residentKb(), traffic(primary).messages()));
        }
        for (int i = 0; i < replicas.size(); i++) {
            ControlProcess replica = replicas.get(i);
            long cpuNs = before.getOrDefault(i, Before.NOTHING).cpuNs + replica.cpuNs();
            uses.add(new MachineUse(false, cpuNs, replica.residentKb(), traffic(i).messages()));
        }
        return uses;
    }

    @Override
    public void kill(int machine) throws Exception {
        replicas.get(machine).kill();
    }

    @Override
    public void restart(int machine) throws Exception {
        Path file = files.writeReplica(machine, addresses.get(machine), primaryAddresses, false);
        ControlProcess next = new ControlProcess(options, file);
        ControlProcess last = replicas.get(machine);
        long cpuNs = before.getOrDefault(machine, Before.NOTHING).cpuNs + last.cpuNs();
        synchronized (this) {
            before.put(machine, new Before(traffic(machine), cpuNs));
            replicas.set(machine, next);
        }
        next.awaitAddress();
    }

    @Override
    public boolean hasReplicas() {
        return true;
    }

    @Override
    public void split() throws Exception {
        configureReplicas(true);
    }

    @Override
    public void meet() throws Exception {
        configureReplicas(false);
    }

    private void configureReplicas(boolean isSplit) throws Exception {
        for (int i = 0; i < replicas.size(); i++) {
            files.writeReplica(i, addresses.get(i), primaryAddresses, isSplit);
            replicas.get(i).reload();
        }
    }

    @Override
    public void close() throws IOException {
        List<ControlProcess> all = new ArrayList<>(primaries);
        all.addAll(replicas);
        all.forEach(ControlProcess::end);
        try {
            for (ControlProcess process : all) {
                process.awaitEnd();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        if (files != null) {
            files.delete();
        }
    }
}
