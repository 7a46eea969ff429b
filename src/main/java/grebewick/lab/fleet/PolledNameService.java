package grebewick.lab.fleet;

import grebewick.config.Address;
import grebewick.lab.Futures;
import grebewick.lab.StandInNames;
import grebewick.lab.StandInNames.Host;
import grebewick.lab.measure.Traffic;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.util.List;
import java.util.Map;

/** One stand-in name service, as the platform has one. */
final class PolledNameService implements ControlPlane {
    private static final String LOOPBACK = "127.0.0.1";

    private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
    private StandInNames names = new StandInNames(vertx);
    private Traffic before = Traffic.NONE;
    private List<Host> hosts = List.of();
    private int port;

    @Override
    public List<Address> open(FleetPlan plan, Map<Integer, Host> first) throws Exception {
        port = Futures.await(names.listen());
        publish(first);
        return List.of(new Address(LOOPBACK, port));
    }

    @Override
    public void publish(Map<Integer, Host> now) throws Exception {
        hosts = List.copyOf(now.values());
        Futures.onLoop(vertx, () -> {
            names.list(hosts);
            return null;
        });
    }

    @Override
    public void awaitReady() {
        // It is told the list, and asks nobody.
    }

    @Override
    public synchronized Traffic traffic(int machine) {
        return before.plus(names.traffic());
    }

    @Override
    public void kill(int machine) throws Exception {
        Futures.await(names.close());
    }

    @Override
    public void restart(int machine) throws Exception {
        StandInNames next = new StandInNames(vertx);
        Futures.onLoop(vertx, () -> {
            next.continueAfter(names);
            next.list(hosts);
            return null;
        });
        synchronized (this) {
            before = before.plus(names.traffic());
            names = next;
        }
        Futures.await(next.listen(port));
    }

    @Override
    public List<MachineUse> uses() {
        return List.of();
    }

    @Override
    public boolean hasReplicas() {
        return false;
    }

    @Override
    public void split() {
        throw new IllegalStateException("there is one name service");
    }

    @Override
    public void meet() {
        throw new IllegalStateException("there is one name service");
    }

    @Override
    public void close() {
        vertx.close();
    }
}
