package grebewick.lab.faults;

import static org.assertj.core.api.Assertions.assertThat;

import grebewick.lab.faults.RuleCheck.Absence;
import grebewick.lab.faults.RuleCheck.Finding;
import grebewick.lab.faults.RuleCheck.Outage;
import grebewick.lab.faults.RuleCheck.Rule;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.util.List;
import java.util.function.Consumer;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import picocli.CommandLine;

/** A record that keeps each rule, and one that breaks it: the check is known to be able to fail. */
class RuleCheckTest {
    private static final long ASKED_US = 1_000_000;
    private static final long OVER_US = 5_000_000;
    private static final long END_US = 60_000_000;

    /** A call that stood, was ended by its server, and whose caller was told at once; then what is changed in it. */
    private static List<Rule> broken(Consumer<CallRecord> change, Outage... outages) {
        CallRecord call = new CallRecord(1, 0, ASKED_US);
        call.finalAnswers = 1;
        call.status = 200;
        call.answeredUs = ASKED_US + 20_000;
        call.server = 0;
        call.overUs = OVER_US;
        call.toldUs = OVER_US + 1_000;
        change.accept(call);
        return rules(List.of(outages), List.of(), List.of(call));
    }

    private static List<Rule> rules(List<Outage> outages, List<Absence> absences, List<CallRecord> calls) {
        return new RuleCheck(outages, absences, END_US).check(calls).stream().map(Finding::rule).toList();
    }

    private static Outage outage(int gatekeeper, long fromUs, long toUs) {
        return new Outage(gatekeeper, fromUs, fromUs, toUs);
    }

    private static void isUnanswered(CallRecord call) {
        call.finalAnswers = 0;
        call.status = 0;
        call.answeredUs = 0;
        call.gaveUpUs = ASKED_US + 3_000_000;
    }

    @Test
    void aCallThatIsAnsweredOnceAndToldOnceBreaksNothing() {
        assertThat(broken(call -> {})).isEmpty();
        assertThat(broken(call -> call.toldUs = OVER_US + RuleCheck.TOLD_WITHIN_US)).isEmpty();
        assertThat(broken(call -> {
            call.overUs = 0;
            call.toldUs = 0;
        })).as("it still stands").isEmpty();
    }

    @Test
    void aRequestWithoutAnAnswerIsFound() {
        assertThat(broken(RuleCheckTest::isUnanswered)).containsExactly(Rule.NO_ANSWER);
    }

    @Test
    void aRequestThatItsGatekeeperCouldNotAnswerIsExcused() {
        assertThat(broken(RuleCheckTest::isUnanswered, outage(0, ASKED_US - 1, ASKED_US + 9))).isEmpty();
        assertThat(broken(RuleCheckTest::isUnanswered, outage(1, ASKED_US - 1, ASKED_US + 9)))
            .containsExactly(Rule.NO_ANSWER);
    }

    @Test
    void aRequestThatCameWhileItsGatekeeperWasAboutToEndIsNotExcused() {
        assertThat(broken(RuleCheckTest::isUnanswered, new Outage(0, ASKED_US - 9, ASKED_US + 1, ASKED_US + 9)))
            .containsExactly(Rule.NO_ANSWER);
    }

    @Test
    void aSecondAnswerIsFound() {
        assertThat(broken(call -> call.finalAnswers = 2)).containsExactly(Rule.TWO_ANSWERS);
    }

    @Test
    void twoAttemptsAtOnceAreFound() {
        assertThat(broken(call -> call.heldTwice = true)).containsExactly(Rule.TWO_ATTEMPTS);
    }

    @Test
    void anEndThatIsToldLateOrNeverIsFound() {
        assertThat(broken(call -> call.toldUs = OVER_US + RuleCheck.TOLD_WITHIN_US + 1)).containsExactly(Rule.UNTOLD);
        assertThat(broken(call -> call.toldUs = 0)).containsExactly(Rule.UNTOLD);
        assertThat(broken(call -> call.toldUs = 0, outage(0, OVER_US, OVER_US + 1))).as("nobody knows it").isEmpty();
    }

    @Test
    void aCallThatIsEndedThoughItStandsIsFound() {
        assertThat(broken(call -> call.overUs = 0)).containsExactly(Rule.ENDED_WHILE_STANDING);
    }

    @Test
    void aCallThatIsEndedAfterTheListHasDroppedItsServerIsAllowed() {
        assertThat(broken(call -> {
            call.overUs = 0;
            call.mayEndFromUs = call.toldUs;
        })).isEmpty();
        assertThat(broken(call -> {
            call.overUs = 0;
            call.mayEndFromUs = call.toldUs + 1;
        })).as("before that").containsExactly(Rule.ENDED_WHILE_STANDING);
    }

    @Test
    void aReleaseThatIsToldLateIsFound() {
        assertThat(broken(call -> {
            call.releasedUs = OVER_US;
            call.toldUs = OVER_US + RuleCheck.RELEASED_WITHIN_US;
        })).isEmpty();
        Consumer<CallRecord> late = call -> {
            call.releasedUs = OVER_US;
            call.toldUs = OVER_US + RuleCheck.RELEASED_WITHIN_US + 1;
        };
        assertThat(broken(late)).containsExactly(Rule.RELEASE_LATE);
        assertThat(broken(late, outage(0, OVER_US, OVER_US + 1))).as("its gatekeeper was not there").isEmpty();
    }

    @Test
    void aReleaseThatCouldNotBeToldForWantOfCallersIsExcused() {
        CallRecord call = new CallRecord(1, 0, ASKED_US);
        call.finalAnswers = 1;
        call.status = 200;
        call.answeredUs = ASKED_US;
        call.releasedUs = OVER_US;
        call.overUs = OVER_US;
        call.toldUs = OVER_US + 2 * RuleCheck.RELEASED_WITHIN_US;
        assertThat(rules(List.of(), List.of(new Absence(0, OVER_US, OVER_US + 1)), List.of(call))).isEmpty();
        assertThat(rules(List.of(), List.of(new Absence(1, OVER_US, OVER_US + 1)), List.of(call)))
            .containsExactly(Rule.RELEASE_LATE);
    }

    @Test
    void aSetUpAtAServerThatIsGoneIsFound() {
        assertThat(broken(call -> call.sentToGone = true)).containsExactly(Rule.SENT_TO_GONE);
    }

    @Test
    void setUpsForCallersThatLeftAreFoundFromTheThirdOn() {
        List<CallRecord> calls = LongStream.range(0, 4).mapToObj(id -> new CallRecord(id, 0, ASKED_US)).toList();
        calls.forEach(call -> {
            call.leftUs = ASKED_US + 1;
            call.sentAfterLeave = call.id < 3;
        });
        assertThat(rules(List.of(), List.of(), calls)).containsExactly(Rule.SENT_AFTER_LEAVE);
        calls.get(2).sentAfterLeave = false;
        assertThat(rules(List.of(), List.of(), calls)).isEmpty();
    }

    @Test
    void seedsThatCannotBeReadAreToldWithTheirOption() {
        CommandLine soak = new CommandLine(new FaultSoak()).setErr(new PrintWriter(new StringWriter()));
        assertThat(soak.execute("--seeds=x")).isEqualTo(2);
        assertThat(soak.execute("--seeds=5-1")).isEqualTo(2);
        assertThat(SeedRange.parse("3")).isEqualTo(new SeedRange(3, 3));
    }

    @Test
    void aPlanIsTheSameForTheSameSeed() {
        assertThat(SoakPlan.draw(7)).isEqualTo(SoakPlan.draw(7)).isNotEqualTo(SoakPlan.draw(8));
    }
}
