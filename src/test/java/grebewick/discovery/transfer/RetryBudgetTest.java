package grebewick.discovery.transfer;

import static org.assertj.core.api.Assertions.assertThat;

import grebewick.discovery.transfer.SimReplica.Mode;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Retries are a share of the polls: the budget alone, and clients at a control plane that is slow as a whole. */
class RetryBudgetTest {
    private static final int ZONES = 40;
    private static final int CLIENTS = 30;
    private static final int REPLICAS = 12;
    private static final double IN_FORCE = 9;
    private static final int SPAN_S = 60;
    /** Times the load without faults: a fifth of the polls, a retry each 4 s, and the burst over a minute. */
    private static final double MOST_LOAD = 1.25;

    private final SimNetwork net = new SimNetwork(600);
    private final List<SimClient> clients = new ArrayList<>();

    @Test
    void aFullBucketGivesItsBurstAndThenAShareOfThePolls() {
        RetryBudget budget = new RetryBudget(ZONES);
        for (int i = 0; i < ZONES / 2; i++) {
            assertThat(budget.take(0)).isTrue();
        }
        assertThat(budget.take(0)).isFalse();
        int taken = 0;
        for (int i = 0; i < 100; i++) {
            budget.polled(0);
            taken += budget.take(0) ? 1 : 0;
        }
        assertThat(taken).isBetween(19, 20);
        assertThat(budget.take(8_000_000)).as("two in 8 s without a poll").isTrue();
        assertThat(budget.take(8_000_000)).isTrue();
        assertThat(budget.take(8_000_000)).isFalse();
        assertThat(budget.take(0)).as("time that goes back gives nothing").isFalse();
        for (int i = 0; i < 1_000; i++) {
            budget.polled(8_000_000);
        }
        for (int i = 0; i < ZONES / 2; i++) {
            assertThat(budget.take(8_000_000)).isTrue();
        }
        assertThat(budget.take(8_000_000)).as("no more than the burst is saved").isFalse();
    }

    private void start() {
        for (int i = 0; i < ZONES; i++) {
            net.primary.create("s" + i + ".east.fleet.local.", "z" + i, 7);
        }
        net.addReplicas(REPLICAS, "east", "east-1");
        for (int i = 0; i < CLIENTS; i++) {
            clients.add(net.client(net.config()));
        }
        net.pass(IN_FORCE);
        assertAllCurrent();
    }

    private void assertAllCurrent() {
        assertThat(clients).allSatisfy(client -> assertThat(client.published).isEqualTo(net.primary.list()));
    }

    private void set(Mode mode) {
        net.replicas.values().forEach(each -> each.mode = mode);
    }

    private long queriesIn(int seconds) {
        long before = queries();
        net.pass(seconds);
        return queries() - before;
    }

    private long queries() {
        return net.replicas.values().stream().mapToLong(each -> each.queries).sum();
    }

    private long retriesHeldBack() {
        return clients.stream().mapToLong(client -> client.client().statistics().retriesHeldBack()).sum();
    }

    /** Answers after 600 ms, where 500 ms is the timeout: each poll fails, whoever is asked. */
    @Test
    void aControlPlaneThatIsSlowForAllGetsAShareMoreAndNotAMultiple() {
        start();
        long usual = queriesIn(SPAN_S);
        assertThat(retriesHeldBack()).isZero();
        net.slowUs = 600_000;
        set(Mode.SLOW);
        long slow = queriesIn(SPAN_S);
        System.out.println("queries in " + SPAN_S + " s: " + usual + " usual, " + slow + " while all are slow, "
            + retriesHeldBack() + " retries held back");
        assertThat((double) slow / usual).isLessThan(MOST_LOAD);
        assertThat(retriesHeldBack()).isPositive();
        net.primary.drain("s3.east.fleet.local.", "z3-1");
        net.pass(IN_FORCE);
        assertAllCurrent();
        net.primary.drain("s4.east.fleet.local.", "z4-1");
        set(Mode.WELL);
        net.pass(IN_FORCE);
        assertAllCurrent();
    }

    /** Each replica in turn: no retry is wanting, and a change made as it dies holds in time. */
    @Test
    void theBurstIsEnoughForTheDeathOfAReplica() {
        start();
        int number = 0;
        for (SimReplica replica : net.replicas.values()) {
            replica.mode = Mode.DEAD;
            net.primary.put("s" + number + ".east.fleet.local.", "z-" + number++);
            net.pass(IN_FORCE);
            assertAllCurrent();
            replica.mode = Mode.WELL;
            net.pass(IN_FORCE);
        }
        assertThat(retriesHeldBack()).isZero();
    }
}
