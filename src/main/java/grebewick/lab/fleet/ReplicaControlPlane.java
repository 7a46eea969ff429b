package grebewick.lab.fleet;

import grebewick.config.Address;
import grebewick.config.Endpoint;
import grebewick.core.CallControl.ServerEntry;
import grebewick.core.CallControl.Stage;
import grebewick.discovery.transfer.ZoneContent;
import grebewick.discovery.transfer.ZoneVersion;
import grebewick.lab.StandInNames.Host;
import grebewick.lab.measure.Traffic;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** A primary of each region, and replicas of all of them; gatekeepers ask the replicas. */
final class ReplicaControlPlane implements ControlPlane {
    private static final int PATIENCE_S = 120;
    private static final double UNITS = 4;

    private final int replicas;
    private final List<ControlMachine> machines = new ArrayList<>();
    private final List<Address> addresses = new ArrayList<>();
    private final Map<String, ZoneContent> contents = new HashMap<>();
    private final Map<Integer, Traffic> before = new HashMap<>();
    private final long epoch = System.currentTimeMillis();
    private final List<ControlMachine> primaries = new ArrayList<>();
    private final List<Address> primaryAddresses = new ArrayList<>();
    private FleetPlan plan;

    /** So many replicas, which open with the first list. */
    ReplicaControlPlane(int replicas) {
        this.replicas = replicas;
    }

    @Override
    public List<Address> open(FleetPlan plan) throws Exception {
        this.plan = plan;
        for (int region = 0; region < plan.regions(); region++) {
            primaries.add(new ControlMachine(plan.zonesOfRegion(region)));
            primaryAddresses.add(primaries.get(region).listen(0));
        }
        for (int i = 0; i < replicas; i++) {
            machines.add(new ControlMachine(plan.zones()));
            addresses.add(machines.get(i).listen(0));
            followAll(machines.get(i));
        }
        return List.copyOf(addresses);
    }

    private void followAll(ControlMachine replica) throws Exception {
        for (int region = 0; region < plan.regions(); region++) {
            replica.follow(primaryAddresses.get(region), plan.zonesOfRegion(region));
        }
    }

    @Override
    public void publish(List<Host> hosts, FleetPlan plan) throws Exception {
        Map<String, List<Endpoint>> byZone = new HashMap<>();
        for (int place = 0; place < hosts.size(); place++) {
            byZone.computeIfAbsent(plan.zone(place), zone -> new ArrayList<>()).add(endpoint(hosts.get(place)));
        }
        Map<String, ZoneContent> changed = new HashMap<>();
        byZone.forEach((zone, servers) -> {
            ZoneContent held = contents.get(zone);
            ZoneVersion next = held == null ? new ZoneVersion(epoch, 1) : held.version().next();
            ZoneContent content = ZoneContent.of(next, servers);
            if (held == null || !held.servers().equals(content.servers())) {
                changed.put(zone, content);
            }
        });
        contents.putAll(changed);
        for (int region = 0; region < plan.regions(); region++) {
            Map<String, ZoneContent> own = new HashMap<>(changed);
            own.keySet().retainAll(plan.zonesOfRegion(region));
            primaries.get(region).take(own);
        }
    }

    private static Endpoint endpoint(Host host) {
        return new Endpoint(new ServerEntry(host.id(), host.group(), host.drains() ? Stage.CORDONED : Stage.HEALTHY,
            host.startedMs() * 1000, "std", host.zone(), UNITS), new Address("127.0.0.1", host.port()));
    }

    @Override
    public void awaitReady() throws Exception {
        long endNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(PATIENCE_S);
        for (ControlMachine machine : machines) {
            while (machine.held() < plan.zones().size()) {
                if (System.nanoTime() > endNs) {
                    throw new IOException("a replica holds " + machine.held() + " of " + plan.zones().size() + " zones");
                }
                Thread.sleep(100);
            }
        }
    }

    @Override
    public synchronized Traffic traffic(int machine) {
        return before.getOrDefault(machine, Traffic.NONE).plus(machines.get(machine).traffic());
    }

    @Override
    public void kill(int machine) throws Exception {
        machines.get(machine).kill();
    }

    @Override
    public void restart(int machine) throws Exception {
        ControlMachine next = new ControlMachine(plan.zones());
        synchronized (this) {
            before.put(machine, traffic(machine));
            machines.set(machine, next);
        }
        next.listen(addresses.get(machine).port());
        followAll(next);
    }

    @Override
    public void close() {
        try {
            for (ControlMachine machine : machines) {
                machine.kill();
            }
            for (ControlMachine primary : primaries) {
                primary.kill();
            }
        } catch (Exception e) {
            System.err.println("a control machine did not end: " + e.getMessage());
        }
    }
}
