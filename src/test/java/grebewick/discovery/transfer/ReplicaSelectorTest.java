package grebewick.discovery.transfer;

import static org.assertj.core.api.Assertions.assertThat;

import grebewick.config.Address;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Whom to ask, and when again. */
class ReplicaSelectorTest {
    private static final long NOW = 1_000_000;
    private static final long SEED = 5;
    private static final Replica NEAR = replica(1, "east", "east-1");
    private static final Replica NEAR_TOO = replica(2, "east", "east-1");
    private static final Replica REGION = replica(3, "east", "east-2");
    private static final Replica FAR = replica(4, "west", "east-1");

    private final ReplicaSelector selector = selector(SEED);

    private static Replica replica(int number, String region, String zone) {
        return new Replica(new Address("10.0.0." + number, 53), region, zone);
    }

    private static ReplicaSelector selector(long seed) {
        return new ReplicaSelector(List.of(FAR, REGION, NEAR, NEAR_TOO), "east", "east-1", new SplittableRandom(seed));
    }

    private void fail(Replica replica, int times) {
        for (int i = 0; i < times; i++) {
            selector.failed(NOW, replica);
        }
    }

    @Test
    void ownZoneThenOwnRegionThenTheRest() {
        Set<Replica> tried = new HashSet<>();
        assertThat(selector.nearest(NOW)).isIn(NEAR, NEAR_TOO);
        tried.add(selector.next(NOW, tried).orElseThrow());
        tried.add(selector.next(NOW, tried).orElseThrow());
        assertThat(tried).containsExactlyInAnyOrder(NEAR, NEAR_TOO);
        assertThat(selector.next(NOW, tried)).contains(REGION);
        tried.add(REGION);
        assertThat(selector.next(NOW, tried)).contains(FAR);
        tried.add(FAR);
        assertThat(selector.next(NOW, tried)).isEmpty();
    }

    /** Guards against all clients of a zone asking the same replica first. */
    @Test
    void clientsDrawTheirOwnOrder() {
        Set<Replica> first = new HashSet<>();
        for (long seed = 0; seed < 20; seed++) {
            first.add(selector(seed).nearest(NOW));
        }
        assertThat(first).containsExactlyInAnyOrder(NEAR, NEAR_TOO);
    }

    @Test
    void anyIsEachOfTheOthers() {
        Set<Replica> seen = new HashSet<>();
        for (int i = 0; i < 100; i++) {
            seen.add(selector.any(NOW, NEAR));
        }
        assertThat(seen).containsExactlyInAnyOrder(NEAR_TOO, REGION, FAR);
    }

    @Test
    void whoFailedIsLeftOutForAtMostFourSecondsAndComesAfterThoseThatDidNot() {
        fail(NEAR, 30);
        fail(NEAR_TOO, 30);
        assertThat(selector.nearest(NOW)).isEqualTo(REGION);
        assertThat(selector.nearest(NOW + 4_000_000)).isIn(NEAR, NEAR_TOO);
        assertThat(selector.next(NOW + 4_000_000, Set.of())).contains(REGION);
        assertThat(selector.next(NOW + 4_000_000, Set.of(REGION, FAR)).orElseThrow()).isIn(NEAR, NEAR_TOO);
        selector.succeeded(NEAR);
        assertThat(selector.nearest(NOW)).isEqualTo(NEAR);
    }

    @Test
    void whereAllAreLeftOutOneIsAskedAllTheSameAndNoneAgainInTheRound() {
        List.of(NEAR, NEAR_TOO, REGION, FAR).forEach(replica -> fail(replica, 30));
        assertThat(selector.nearest(NOW)).isNotNull();
        assertThat(selector.any(NOW, NEAR)).isNotNull();
        assertThat(selector.next(NOW, Set.of())).isEmpty();
    }
}
