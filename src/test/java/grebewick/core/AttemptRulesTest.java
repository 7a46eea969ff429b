package grebewick.core;

import static org.assertj.core.api.Assertions.assertThat;

import grebewick.core.CallControl.Fleet;
import grebewick.core.CallControl.Scope;
import grebewick.core.CallControl.Stage;
import grebewick.play.Sites;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Each rule by itself, on a call that keeps all others. */
class AttemptRulesTest {
    private static final long NOW = 1_700_000_000_000_000L;

    private final ListLeases leases = new ListLeases(0, new EventLog(line -> {}, () -> 0));
    private final AttemptRules rules = new AttemptRules(Sites.settings().bounds(), leases);
    private final CallState<String> call = new CallState<>(7, null, null, NOW + 1);

    @BeforeEach
    void list() {
        rules.update(new Fleet(Scope.COMPLETE, 1, List.of(Sites.entry("well", 0, Stage.HEALTHY, 0),
            Sites.entry("draining", 0, Stage.DRAINING, 0), Sites.entry("gone", 0, Stage.DEREGISTERED, 0))));
    }

    private String violation(int copy, String server) {
        return rules.violation(call, copy, server, NOW);
    }

    @Test
    void aHealthyServerInTimeBreaksNone() {
        call.notBeforeUs = NOW;
        assertThat(violation(3, "well")).isNull();
    }

    @Test
    void neverToAServerThatIsNotListedOrDrainsOrIsGone() {
        assertThat(violation(0, "unknown")).isEqualTo("unknown is not listed");
        assertThat(violation(0, "draining")).isEqualTo("draining drains or is gone");
        assertThat(violation(0, "gone")).isEqualTo("gone drains or is gone");
        assertThat(rules.isReady("well", 0)).isTrue();
        assertThat(rules.isReady("draining", 0)).isFalse();
        assertThat(rules.isReady("unknown", 0)).isFalse();
    }

    /** Guards against attempts at a server that nobody has confirmed to be ready for too long. */
    @Test
    void neverToAServerWhoseReadinessHasRunOut() {
        leases.confirm(ListConfirmation.ofWholeList(NOW - ListLeases.TOLD_US));
        assertThat(violation(0, "well")).isEqualTo("well was not confirmed to be ready for too long");
        assertThat(rules.isReady("well", NOW)).isFalse();
        leases.confirm(ListConfirmation.ofWholeList(NOW - ListLeases.TOLD_US + 1));
        assertThat(violation(0, "well")).isNull();
        assertThat(rules.isReady("well", NOW)).isTrue();
    }

    /** Guards a call whose attempts did not leave: no server counts them. */
    @Test
    void anAttemptThatWasTakenBackIsNotCounted() {
        assertThat(violation(4, "well")).isEqualTo("call 7 has no attempts left");
        call.takenBack = 1;
        assertThat(violation(4, "well")).isNull();
        assertThat(violation(5, "well")).isEqualTo("call 7 has no attempts left");
    }

    /** Changes alone name a server that is gone; a whole list leaves it out. */
    @Test
    void aServerThatIsGoneIsNotListedHoweverThatIsTold() {
        assertThat(rules.isListed("well")).isTrue();
        assertThat(rules.isListed("draining")).isTrue();
        assertThat(rules.isListed("gone")).isFalse();
        assertThat(rules.isListed("unknown")).isFalse();
    }

    @Test
    void neverPastItsTimeOrWithinTheReleaseTimeOrBeyondTheAttempts() {
        assertThat(rules.violation(call, 0, "well", NOW + 1)).isEqualTo("call 7 is past its time");
        assertThat(violation(4, "well")).isEqualTo("call 7 has no attempts left");
        call.notBeforeUs = NOW + 1;
        assertThat(violation(0, "well")).isEqualTo("call 7 awaits its release");
    }

    @Test
    void neverBesideAnOpenAttemptOrAfterTheAnswer() {
        call.attempt = new OpenAttempt(7, 0, "well", NOW, NOW + 1);
        assertThat(violation(1, "well")).isEqualTo("call 7 has an attempt out");
        call.answered = true;
        assertThat(violation(1, "well")).isEqualTo("call 7 is answered");
    }

    @Test
    void aPartOfTheListLeavesTheOthersAndAWholeOneDoesNot() {
        rules.update(new Fleet(Scope.PARTIAL, 2, List.of(Sites.entry("draining", 0, Stage.HEALTHY, 0))));
        assertThat(violation(0, "draining")).isNull();
        assertThat(violation(0, "well")).isNull();
        rules.update(new Fleet(Scope.ERROR, 3, List.of()));
        assertThat(violation(0, "well")).isNull();
        rules.update(new Fleet(Scope.PERSISTED, 4, List.of(Sites.entry("draining", 0, Stage.HEALTHY, 0))));
        assertThat(violation(0, "well")).isEqualTo("well is not listed");
    }
}
