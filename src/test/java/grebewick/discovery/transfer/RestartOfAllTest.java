package grebewick.discovery.transfer;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** All clients of the plan start within a minute, against replicas that limit their transfers. */
class RestartOfAllTest {
    private static final int CLIENTS = 3_800;
    private static final int SERVICES = 2;
    /** Too large for a datagram, so that each client needs a transfer of each zone. */
    private static final int SERVERS = 14;
    private static final int REPLICAS = 12;
    /** Of one replica, as a replica has it unless told otherwise. */
    private static final int CONNECTIONS = 256;
    /** A client that is refused asks again every 2 s on the average, and the last one waits for 25 s: 12 for its two zones. */
    private static final long MOST_REFUSALS = 6;

    private final SimNetwork net = new SimNetwork(3800);
    private final List<SimClient> clients = new ArrayList<>();

    /** 7,600 transfers, 127 a second, where 144 are taken. */
    @Test
    void withinAMinuteAllAreCurrentSoonAfterTheLastStart() {
        play(60, 12, 69);
    }

    /** 7,600 transfers where 300 a second are taken, 25 s at the best: refusals must not grow without bound. */
    @Test
    void withinASecondAllAreCurrentOnceReplicasCanHaveServedThem() {
        play(1, 25, 45);
    }

    private void play(int startS, int transfersPerS, int endS) {
        for (int i = 0; i < SERVICES; i++) {
            net.primary.create("s" + i + ".east.fleet.local.", "z" + i, SERVERS);
        }
        List<SimReplica> replicas = net.addReplicas(REPLICAS, "east", "east-1");
        replicas.forEach(each -> each.mostConnections = CONNECTIONS);
        DiscoveryConfig config = net.config();
        limit(replicas, transfersPerS);
        for (int i = 0; i < CLIENTS; i++) {
            net.clock.after(1 + net.random.nextLong(startS * 1_000_000L), () -> clients.add(net.client(config)));
        }
        net.pass(endS);
        long current = clients.stream().filter(client -> client.published.equals(net.primary.list())).count();
        long asked = replicas.stream().mapToLong(each -> each.transfers).sum();
        long refused = replicas.stream().mapToLong(each -> each.refusals).sum();
        long opened = clients.stream().mapToLong(client -> client.client().statistics().connections()).sum();
        long closed = replicas.stream().mapToLong(each -> each.connectionsRefused).sum();
        System.out.println(
            "connections opened " + opened + ", closed at once " + closed + "; " + current + " of " + CLIENTS + " current after "
                + endS + " s, transfers asked " + asked + ", refused " + refused
                + ", asked of the busiest replica " + replicas.stream().mapToLong(each -> each.transfers).max().orElseThrow());
        assertThat(current).isEqualTo(CLIENTS);
        assertThat(refused).as("no more refusals than %s for each transfer", MOST_REFUSALS)
            .isLessThan(MOST_REFUSALS * CLIENTS * SERVICES);
    }

    private void limit(List<SimReplica> replicas, int transfersPerS) {
        replicas.forEach(each -> each.transfersLeft = transfersPerS);
        net.clock.after(1_000_000, () -> limit(replicas, transfersPerS));
    }
}
