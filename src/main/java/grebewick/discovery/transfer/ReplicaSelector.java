package grebewick.discovery.transfer;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.random.RandomGenerator;

/**
 * Whom to ask. Replicas of the own zone come first, then those of the own region, in an order drawn by each client; one that
 * failed is left out for a while.
 */
public final class ReplicaSelector {
    /** us. Bounds of the time that a replica is left out. The cap is under the time in which a change has to hold. */
    private static final long BASE_US = 250_000;
    private static final long CAP_US = 4_000_000;

    private final List<Replica> order;
    private final Backoff backoff;
    private final RandomGenerator random;
    private final Map<Replica, Health> healths = new HashMap<>();

    private static final class Health {
        private int failures;
        private long leftOutUntilUs = Long.MIN_VALUE;
    }

    /** Replicas for a client in that region and zone. */
    public ReplicaSelector(Collection<Replica> replicas, String region, String zone, RandomGenerator random) {
        this.random = random;
        order = new ArrayList<>(replicas);
        // Bound to the generator handed in, which need not be a Random.
        Collections.shuffle(order, new Random(random.nextLong()));
        order.sort(Comparator.comparingInt(replica -> distance(replica, region, zone)));
        order.forEach(replica -> healths.put(replica, new Health()));
        backoff = new Backoff(BASE_US, CAP_US, random);
    }

    private static int distance(Replica replica, String region, String zone) {
        if (!replica.region().equals(region)) {
            return 2;
        }
        return replica.zone().equals(zone) ? 0 : 1;
    }

    /** The nearest replica that is not left out; where all are, the one that is first to come back. */
    public Replica nearest(long nowUs) {
        return order.stream().filter(replica -> isAvailable(nowUs, replica)).findFirst().orElseGet(this::firstBack);
    }

    /**
     * Any replica that is not left out, each as likely as another, but not the one asked before if there is another. A replica
     * that is cut off from its source goes on saying that nothing is new: only others show that it is behind.
     *
     * @param last asked before for the same thing, or null
     */
    public Replica any(long nowUs, Replica last) {
        List<Replica> others = order.stream().filter(replica -> !replica.equals(last) && isAvailable(nowUs, replica)).toList();
        return others.isEmpty() ? nearest(nowUs) : others.get(random.nextInt(others.size()));
    }

    private Replica firstBack() {
        return order.stream().min(Comparator.comparingLong(replica -> healths.get(replica).leftOutUntilUs)).orElseThrow();
    }

    /** The replica to go on with after those tried: one that answered the last time before one that did not. Empty: wait. */
    public Optional<Replica> next(long nowUs, Collection<Replica> tried) {
        List<Replica> rest = order.stream().filter(replica -> !tried.contains(replica) && isAvailable(nowUs, replica)).toList();
        return rest.stream().filter(replica -> healths.get(replica).failures == 0).findFirst()
            .or(() -> rest.stream().findFirst());
    }

    /** It answered as it should; gives how often in a row it had not before. */
    public int succeeded(Replica replica) {
        Health health = healths.get(replica);
        int failures = health.failures;
        health.failures = 0;
        health.leftOutUntilUs = Long.MIN_VALUE;
        return failures;
    }

    /** It did not; gives how often in a row by now. */
    public int failed(long nowUs, Replica replica) {
        Health health = healths.get(replica);
        health.failures++;
        health.leftOutUntilUs = nowUs + backoff.delayUs(health.failures);
        return health.failures;
    }

    /** How many are not left out. */
    public int available(long nowUs) {
        return (int) order.stream().filter(replica -> isAvailable(nowUs, replica)).count();
    }

    /** Whether a replica is not left out. */
    boolean isAvailable(long nowUs, Replica replica) {
        return healths.get(replica).leftOutUntilUs <= nowUs;
    }
}
