package grebewick.discovery.transfer;

import static org.assertj.core.api.Assertions.assertThat;

import grebewick.discovery.transfer.SimReplica.Mode;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Changes, faults and orders of messages drawn from a seed. {@link SimClient} checks at each step that no version goes back
 * and that each content is the primary's at that version; here follow the budget and the end: once faults stop, all is
 * current within 9 s.
 */
class ServerListPropertyTest {
    private static final int ROUNDS = 25;
    private static final int STEPS = 40;
    private static final double IN_FORCE = 9;
    /** In one of so many steps all connections for transfers break. */
    private static final int CONNECTIONS_BREAK = 5;
    /** The bursts of both budgets, and what was started last in each: a datagram, and two copies of up to 60 servers. */
    private static final double MOST_FILL = 8_000 + 12_000 + 1_300 + 2 * 12_000;

    private SplittableRandom random;
    private SimNetwork net;
    private List<SimReplica> replicas;

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void whateverHappensNothingGoesBackAndAllIsCurrentInTime(long seed) {
        for (int round = 0; round < ROUNDS; round++) {
            play(seed * 1_000 + round);
        }
    }

    private void play(long seed) {
        net = new SimNetwork(seed);
        random = net.random.split();
        int zones = 1 + random.nextInt(4);
        for (int i = 0; i < zones; i++) {
            net.primary.create("s" + i + ".east.fleet.local.", "z" + i, random.nextInt(40));
        }
        replicas = new ArrayList<>(net.addReplicas(1 + random.nextInt(3), "east", "east-1"));
        replicas.addAll(net.addReplicas(1 + random.nextInt(3), "west", "west-1"));
        SimClient client = net.client(net.config());
        for (int step = 0; step < STEPS; step++) {
            act();
            if (random.nextInt(CONNECTIONS_BREAK) == 0) {
                client.connections().forEach(client::disconnected);
            }
            net.pass(random.nextDouble() * random.nextDouble() * 4);
        }
        heal();
        net.pass(IN_FORCE);
        assertThat(client.published).as("seed %s", seed).isEqualTo(net.primary.list());
        assertThat(client.largestFill()).as("bytes above the budgets, seed %s", seed).isLessThan(MOST_FILL);
    }

    private void act() {
        List<String> zones = net.primary.zones();
        String zone = zones.get(random.nextInt(zones.size()));
        String id = "z-" + random.nextInt(20);
        SimReplica replica = replicas.get(random.nextInt(replicas.size()));
        switch (random.nextInt(12)) {
            case 0, 1 -> net.primary.put(zone, id);
            case 2 -> net.primary.drain(zone, id);
            case 3 -> net.primary.remove(zone, id);
            case 4 -> {
                for (int i = 0; i < 20; i++) {
                    net.primary.put(zone, "z-" + i);
                }
            }
            case 5 -> net.primary.renumber(zone);
            case 6, 7 -> replica.mode = Mode.values()[random.nextInt(Mode.values().length)];
            case 8 -> replica.isCutOff = !replica.isCutOff;
            case 9 -> replica.restartWith(zone, random.nextBoolean() ? null : net.primary.anyOf(zone, random));
            case 10 -> replica.transfersLeft = random.nextInt(3) - 1;
            default -> {
                net.lost = random.nextDouble() * 0.5;
                net.doubled = random.nextDouble() * 0.5;
                net.reordered = random.nextDouble();
            }
        }
    }

    private void heal() {
        net.lost = 0;
        net.doubled = 0;
        net.reordered = 0;
        for (SimReplica replica : replicas) {
            replica.mode = Mode.WELL;
            replica.isCutOff = false;
            replica.transfersLeft = -1;
            replica.refresh();
        }
    }
}
