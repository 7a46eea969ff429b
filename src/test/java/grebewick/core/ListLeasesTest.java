package grebewick.core;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Servers a and b in one zone, b and c in another, d in none. */
class ListLeasesTest {
    private static final long GRACE_US = 500_000;
    private static final long TERM_US = ListLeases.TOLD_US + GRACE_US;
    private static final long START_US = 1_700_000_000_000_000L;
    private static final long LATER_US = START_US + 1_000_000;
    private static final Set<String> LISTED = Set.of("a", "b", "c", "d");

    private final List<String> log = new ArrayList<>();
    private final ListLeases leases = new ListLeases(GRACE_US, new EventLog(log::add, () -> START_US));

    private void follow() {
        leases.confirm(ListConfirmation.ofWholeList(START_US));
        zone("one", START_US, "a", "b");
        zone("two", START_US, "b", "c");
    }

    private void zone(String name, long askedUs, String... servers) {
        leases.confirm(new ListConfirmation(name, askedUs, Set.of(servers)));
    }

    @Test
    void withoutAListNothingRunsOut() {
        assertThat(leases.isValid("a", Long.MAX_VALUE)).isTrue();
        assertThat(leases.dueUs()).isEqualTo(Long.MAX_VALUE);
        leases.listChanged();
        assertThat(leases.dueUs()).isEqualTo(Long.MAX_VALUE);
    }

    /** Guards against a lease that counts from the answer, and against answers that come out of turn. */
    @Test
    void aLeaseCountsFromTheLatestQuestionThatWasAnswered() {
        leases.confirm(ListConfirmation.ofWholeList(LATER_US));
        leases.confirm(ListConfirmation.ofWholeList(START_US));
        assertThat(leases.isValid("a", LATER_US + TERM_US - 1)).isTrue();
        assertThat(leases.isValid("a", LATER_US + TERM_US)).isFalse();
    }

    /** Guards servers of zones that are confirmed against the silence of another, and those of two against either. */
    @Test
    void aServerNeedsEachZoneThatListsIt() {
        follow();
        zone("one", LATER_US, "a", "b");
        assertThat(leases.check(START_US + TERM_US, LISTED)).containsExactlyInAnyOrder("b", "c", "d");
        zone("two", LATER_US, "b", "c");
        assertThat(leases.check(START_US + TERM_US, LISTED)).containsExactly("d");
    }

    /** Guards against a server that depends for ever on a zone which has dropped it, or which is not followed any more. */
    @Test
    void aServerNeedsNoZoneThatDoesNotListIt() {
        follow();
        zone("one", LATER_US, "a", "b");
        leases.retainZones(Set.of("one"));
        assertThat(leases.check(START_US + TERM_US, LISTED)).containsExactlyInAnyOrder("c", "d");
        zone("three", LATER_US, "a", "c");
        zone("three", LATER_US, "c");
        zone("one", LATER_US + 1, "a", "b");
        assertThat(leases.isValid("a", LATER_US + TERM_US)).isTrue();
        assertThat(leases.isValid("c", LATER_US + TERM_US)).isFalse();
    }

    /** Guards operators against a flood of lines, and against lines of a list on which no server depends. */
    @Test
    void eachChangeIsLoggedOnceAndOnlyWhereServersDependOnIt() {
        leases.confirm(ListConfirmation.ofWholeList(START_US));
        zone("one", START_US, "a");
        for (long us = START_US; us <= START_US + 2 * TERM_US; us += 100_000) {
            leases.check(us, Set.of("a"));
        }
        zone("one", START_US + 2 * TERM_US, "a");
        leases.check(START_US + 2 * TERM_US, Set.of("a"));
        // Late answers, then one in time.
        zone("one", START_US + 2 * TERM_US, "a");
        leases.check(START_US + 3 * TERM_US, Set.of("a"));
        for (long ageUs = TERM_US - 1; ageUs >= 0; ageUs -= TERM_US / 4) {
            zone("one", START_US + 3 * TERM_US - ageUs, "a");
            leases.check(START_US + 3 * TERM_US, Set.of("a"));
        }
        assertThat(log).hasSize(5);
        assertThat(log.get(3)).contains("zone=one state=expired");
        assertThat(log.get(4)).contains("zone=one state=confirmed");
        assertThat(log.get(0)).startsWith("server-list ")
            .endsWith("zone=one state=unconfirmed confirmed-at=" + START_US + " quiet-ms=3800 left-ms=3700");
        assertThat(log.get(1)).contains("zone=one state=expired confirmed-at=" + START_US);
        assertThat(log.get(2)).contains("zone=one state=confirmed");
    }
}
