package grebewick.discovery;

import static org.assertj.core.api.Assertions.assertThat;

import grebewick.config.Address;
import grebewick.config.Endpoint;
import grebewick.core.CallControl.Stage;
import grebewick.play.Sites;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class DeterministicSubsetTest {
    private final List<String> log = new ArrayList<>();

    private static List<Endpoint> list(int n) {
        return new ArrayList<>(IntStream.range(0, n).mapToObj(i -> server(i, Stage.HEALTHY)).toList());
    }

    private static Endpoint server(int i, Stage stage) {
        return new Endpoint(Sites.entry("s" + i, i, stage, 0), new Address("127.0.0.1", 5070));
    }

    /** Guards calls that stand: none of their servers leaves before the list says so; a draining one is followed. */
    @Test
    void whoIsChosenStaysWhileListedAndIsFollowedWhenItDrains() {
        DeterministicSubset subset = new DeterministicSubset(10, List.of(), "n1", log::add);
        assertThat(subset.of(list(8))).hasSize(8);
        List<Endpoint> list = list(100);
        List<Endpoint> chosen = subset.of(list);
        assertThat(chosen).hasSize(10).containsAll(list.subList(0, 8));
        list.set(3, server(3, Stage.DRAINING));
        List<Endpoint> next = subset.of(list);
        assertThat(next).hasSize(11).contains(server(3, Stage.DRAINING));
        list.remove(3);
        assertThat(subset.of(list)).hasSize(10).isSubsetOf(next);
        assertThat(log).containsExactly("servers: 10 of 100 are in use, as the descriptors bear no more");
    }

    @Test
    void everyClassHasItsShareAndGatekeepersDrawDifferently() {
        List<Integer> rare = List.of(500, 501, 502);
        List<Integer> all = list(1024).stream().map(e -> e.entry().placeNo()).toList();
        Set<Endpoint> used = new HashSet<>();
        for (int n = 0; n < 100; n++) {
            List<Endpoint> chosen = new DeterministicSubset(64, List.of(all, rare), "n" + n + "@10.0.0." + n + ":5070", log::add)
                .of(list(1024));
            assertThat(chosen).hasSize(64);
            assertThat(chosen.stream().filter(e -> rare.contains(e.entry().placeNo()))).hasSize(3);
            used.addAll(chosen);
        }
        assertThat(used).hasSizeGreaterThan(1000);
    }

    /** Guards calls of before a restart: the next process is told of their ends by the servers that the one before had. */
    @Test
    void whoStartsAgainHasTheServersOfBeforeAndThoseThatDrainSince() {
        List<Endpoint> list = list(300);
        List<Endpoint> before = new DeterministicSubset(40, List.of(), "n1@10.0.0.1:5070", log::add).of(list);
        assertThat(new DeterministicSubset(40, List.of(), "n1@10.0.0.1:5070", log::add).of(list)).isEqualTo(before);
        assertThat(new DeterministicSubset(40, List.of(), "n2@10.0.0.2:5070", log::add).of(list)).isNotEqualTo(before);
        List<String> had = before.stream().map(e -> e.entry().server()).toList();
        for (int i = 0; i < 300; i += 3) {
            list.set(i, server(i, Stage.DRAINING));
        }
        List<Endpoint> after = new DeterministicSubset(40, List.of(), "n1@10.0.0.1:5070", log::add).of(list);
        assertThat(after.stream().map(e -> e.entry().server())).containsAll(had);
        assertThat(after.stream().filter(e -> e.entry().stage() == Stage.HEALTHY)).hasSize(40);
        assertThat(after.stream().filter(e -> e.entry().stage() == Stage.DRAINING)).hasSizeLessThan(40);
    }
}
