package grebewick.teardown;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Pending teardowns on their own: ways are names with a rank, and time is a number. */
class PendingTeardownsTest {
    private static final RetryPolicy POLICY = new RetryPolicy(300, 3, 5_000, 60_000, 100);
    private final Map<String, Integer> ranks = new LinkedHashMap<>();
    private final List<String> written = new ArrayList<>();
    private final Map<Abandonment, Integer> abandoned = new EnumMap<>(Abandonment.class);
    private final TeardownRoutes<Integer, String, String> ways = new TeardownRoutes<>() {
        @Override
        public String best(Integer key, String but) {
            return ranks.entrySet().stream().filter(e -> !e.getKey().equals(but))
                .max(Map.Entry.comparingByValue()).map(Map.Entry::getKey).orElse(null);
        }

        @Override
        public int rank(String way) {
            return ranks.getOrDefault(way, -1);
        }

        @Override
        public void write(Integer key, String message, String way, boolean again) {
            written.add(message + key + " " + way + (again ? " again" : ""));
        }

        @Override
        public void abandoned(Integer key, Abandonment why, int tries) {
            abandoned.merge(why, 1, Integer::sum);
        }
    };
    private final PendingTeardowns<Integer, String, String> pending = new PendingTeardowns<>(POLICY, ways);

    private void owe(int key, String way, long nowUs) {
        pending.owe(key, "bye", way, nowUs);
        pending.work(nowUs, 10);
    }

    @Test
    void anEndWaitsForAWayAndGoesToALikelierOneUntilItIsConfirmed() {
        owe(1, null, 0);
        assertThat(pending.counts().unsent()).isEqualTo(1);
        ranks.put("stranger", 0);
        pending.found("stranger");
        pending.work(10, 10);
        ranks.put("caller", 3);
        pending.found("caller");
        pending.work(20, 10);
        assertThat(written).containsExactly("bye1 stranger", "bye1 caller again");
        pending.denied(1, "stranger");
        assertThat(pending.ready()).as("who was not told last has no say").isZero();
        assertThat(pending.told(1)).isTrue();
        assertThat(pending.told(1)).isFalse();
        assertThat(pending.counts()).isEqualTo(new TeardownCounts(1, 1, 0, 0, 0, 0, 0, 0));
    }

    @Test
    void silenceDenialAndLossEachSendItElsewhereAndEachHasAnEnd() {
        ranks.put("a", 3);
        ranks.put("b", 2);
        owe(1, "a", 0);
        pending.due(299);
        assertThat(pending.ready()).isZero();
        pending.due(300);
        pending.work(300, 10);
        pending.denied(1, "b");
        pending.work(310, 10);
        ranks.remove("a");
        pending.lost("a");
        pending.work(320, 10);
        assertThat(written).containsExactly("bye1 a", "bye1 b again", "bye1 a again", "bye1 b again");
        pending.due(5_319);
        assertThat(pending.counts().spent()).isEqualTo(1);
        pending.due(5_320);
        assertThat(pending.counts()).isEqualTo(new TeardownCounts(0, 3, 1, 0, 0, 0, 0, 0));
        ranks.clear();
        owe(2, "a", 6_000);
        pending.due(66_000);
        assertThat(pending.counts().lapsed()).isEqualTo(1);
    }

    @Test
    void aBurstIsWorkedOffInSlicesTheEldestFirst() {
        ranks.put("a", 3);
        for (int i = 0; i < 70; i++) {
            pending.owe(i, "bye", "a", i);
        }
        assertThat(pending.work(100, 32)).isTrue();
        assertThat(written).hasSize(32).startsWith("bye0 a", "bye1 a").endsWith("bye31 a");
        assertThat(pending.work(101, 32)).isTrue();
        assertThat(pending.work(102, 32)).isFalse();
        assertThat(written).hasSize(70);
    }

    @Test
    void atTheBoundWhatWasWrittenMakesRoomBeforeWhatWasNot() {
        ranks.put("a", 3);
        owe(0, "a", 0);
        ranks.clear();
        for (int i = 1; i < 101; i++) {
            owe(i, null, i);
        }
        assertThat(pending.told(0)).as("the one that was written").isFalse();
        assertThat(pending.counts().dropped()).isEqualTo(1);
        owe(101, null, 101);
        assertThat(pending.told(1)).as("the eldest").isFalse();
        assertThat(pending.counts().unsent()).isEqualTo(100);
        assertThatThrownBy(() -> new RetryPolicy(1, 0, 1, 1, 1)).isInstanceOf(IllegalArgumentException.class);
    }

    /** Whatever comes and goes, in any order: nothing is held beyond its time or bound, and each owed end is accounted for. */
    @Test
    void anyCourseOfEventsAccountsForEachEnd() {
        for (int seed = 0; seed < 200; seed++) {
            Random random = new Random(seed);
            PendingTeardowns<Integer, String, String> any = new PendingTeardowns<>(POLICY, ways);
            ranks.clear();
            written.clear();
            abandoned.clear();
            long now = 0;
            int owed = 0;
            int told = 0;
            Set<Integer> confirmed = new HashSet<>();
            Map<Integer, Integer> writes = new HashMap<>();
            for (int step = 0; step < 400; step++) {
                now += random.nextInt(100);
                String way = "w" + random.nextInt(4);
                int key = owed == 0 ? 0 : random.nextInt(owed);
                switch (random.nextInt(7)) {
                    case 0, 1 -> any.owe(owed++, "bye", random.nextBoolean() ? way : null, now);
                    case 2 -> {
                        ranks.merge(way, 1, Integer::sum);
                        any.found(way);
                    }
                    case 3 -> {
                        ranks.remove(way);
                        any.lost(way);
                    }
                    case 4 -> any.denied(key, way);
                    case 5 -> {
                        boolean known = any.told(key);
                        assertThat(known && !confirmed.add(key)).as("confirmed once").isFalse();
                        told += known ? 1 : 0;
                    }
                    default -> any.due(now);
                }
                any.work(now, 5);
            }
            TeardownCounts c = any.counts();
            assertThat(c.told()).isEqualTo(told);
            assertThat(c.told() + c.unheard() + c.lapsed() + c.dropped() + c.unsent() + c.awaiting() + c.spent())
                .as("seed " + seed).isEqualTo(owed);
            now += 60_000;
            for (int round = 0; round < 5; round++) {
                while (any.work(now, 5)) {
                    now += 1;
                }
                now += 60_000;
                any.due(now);
            }
            any.work(now, 100);
            now += 60_000;
            any.due(now);
            assertThat(any.counts().open() + any.counts().spent()).as("all have an end, seed " + seed).isZero();
            assertThat(abandoned.getOrDefault(Abandonment.NO_ANSWER, 0)).isEqualTo((int) any.counts().unheard());
            assertThat(abandoned.getOrDefault(Abandonment.NO_CONNECTION, 0)).isEqualTo((int) any.counts().lapsed());
            assertThat(abandoned.getOrDefault(Abandonment.NO_ROOM, 0)).isEqualTo((int) any.counts().dropped());
        }
    }
}
