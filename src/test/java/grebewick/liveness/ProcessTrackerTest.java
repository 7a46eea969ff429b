package grebewick.liveness;

import static org.assertj.core.api.Assertions.assertThat;

import grebewick.liveness.ProcessTracker.Action;
import grebewick.liveness.ProcessTracker.Due;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Processes a and b behind one address; time is in ms from here on. */
class ProcessTrackerTest {
    private static final int LOOK_MS = 100;
    private static final long LEASE_MS = LeaseTimes.DEFAULT.leaseUs() / 1000;

    private final ProcessTracker tracker = new ProcessTracker(LeaseTimes.DEFAULT, new ProbeBudget(0));
    private final List<String> due = new ArrayList<>();
    private long nowMs = 1_000;

    private ProcessLease connects() {
        return tracker.connected(nowMs * 1000);
    }

    private void isHeard(ProcessLease process) {
        tracker.heard(process, nowMs * 1000);
    }

    private void disconnects(ProcessLease process) {
        tracker.disconnected(process, nowMs * 1000);
    }

    /** Time passes, with a look every 100 ms; what is due is kept as text. */
    private void passes(long ms) {
        for (long passed = 0; passed < ms; passed += LOOK_MS) {
            nowMs += LOOK_MS;
            look();
        }
    }

    private void look() {
        for (Due each : tracker.due(nowMs * 1000)) {
            due.add(each.action() + " " + each.process().number() + " at " + nowMs);
        }
    }

    private List<String> expired() {
        return due.stream().filter(line -> line.startsWith(Action.EXPIRE.name())).toList();
    }

    private ProcessLease withCall() {
        ProcessLease process = connects();
        tracker.callStands(process);
        return process;
    }

    @Test
    void aProcessWithoutCallsIsNeitherProbedNorLost() {
        connects();
        passes(2 * LEASE_MS);
        assertThat(due).isEmpty();
    }

    @Test
    void aSilentProcessWithCallsIsProbedAndLostOnceItsLeaseHasRunOut() {
        ProcessLease a = withCall();
        passes(1_000);
        assertThat(due).containsExactly("PROBE 1 at 1500", "PROBE 1 at 2000");
        passes(LEASE_MS);
        assertThat(expired()).containsExactly("EXPIRE 1 at " + (1_000 + LEASE_MS));
        tracker.callEnds(a);
        isHeard(a);
        assertThat(tracker.suspects(nowMs * 1000)).isEmpty();
    }

    /** An answer that comes after all: the call that stands by it needs a lease as any other. */
    @Test
    void aProcessThatWasLostAndAnswersHasALeaseAgain() {
        ProcessLease a = withCall();
        passes(LEASE_MS);
        tracker.callEnds(a);
        isHeard(a);
        tracker.callStands(a);
        due.clear();
        passes(LEASE_MS);
        assertThat(expired()).hasSize(1);
    }

    @Test
    void eachSignOfLifeRenewsTheLease() {
        ProcessLease a = withCall();
        for (int i = 0; i < 10; i++) {
            passes(6_000);
            isHeard(a);
        }
        assertThat(expired()).isEmpty();
        assertThat(a.hasCalls()).isTrue();
    }

    @Test
    void aProcessWhoseProbeHasNoAnswerForHalfASecondIsSuspect() {
        ProcessLease a = withCall();
        passes(900);
        assertThat(tracker.suspects(nowMs * 1000)).isEmpty();
        passes(100);
        assertThat(tracker.suspects(nowMs * 1000)).containsExactly(a);
        isHeard(a);
        assertThat(tracker.suspects(nowMs * 1000)).isEmpty();
    }

    /** Where probes are dear, one that is answered is sent each 5 s; a silence is probed each 0.5 s all the same. */
    @Test
    void dearProbesAreSentOnlyWhenTheyAreDue() {
        ProbeBudget dear = new ProbeBudget(0.1);
        ProcessTracker sparing = new ProcessTracker(LeaseTimes.DEFAULT, dear);
        ProcessLease a = sparing.connected(nowMs * 1000);
        sparing.callStands(a);
        List<Long> probedMs = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            nowMs += LOOK_MS;
            for (Due each : sparing.due(nowMs * 1000)) {
                probedMs.add(nowMs);
                if (probedMs.size() == 1) {
                    sparing.heard(each.process(), nowMs * 1000);
                }
            }
        }
        assertThat(probedMs).startsWith(6_000L, 11_000L).hasSize(2);
        for (int i = 0; i < 25; i++) {
            dear.firstTry();
        }
        nowMs += LOOK_MS;
        sparing.due(nowMs * 1000);
        nowMs += 500;
        assertThat(sparing.due(nowMs * 1000)).extracting(Due::action).containsExactly(Action.PROBE);
    }

    @Test
    void firstTriesEarnEarlyProbes() {
        ProbeBudget dear = new ProbeBudget(0.1);
        assertThat(dear.tryTake()).isFalse();
        for (int i = 0; i < 25; i++) {
            dear.firstTry();
        }
        assertThat(dear.tryTake()).isTrue();
        assertThat(dear.tryTake()).isFalse();
        dear.spend();
        for (int i = 0; i < 26; i++) {
            dear.firstTry();
        }
        assertThat(dear.tryTake()).as("what was spent is paid first").isFalse();
        assertThat(new ProbeBudget(0).tryTake()).as("free probes").isTrue();
    }

    /** Another process at the address answers; what stood at the one before is over all the same. */
    @Test
    void aNewProcessAtTheAddressDoesNotRenewTheLeaseOfTheOldOne() {
        ProcessLease a = withCall();
        passes(2_000);
        ProcessLease b = connects();
        assertThat(b).isNotSameAs(a);
        tracker.callStands(b);
        for (int i = 0; i < 12; i++) {
            passes(500);
            isHeard(b);
        }
        assertThat(expired()).containsExactly("EXPIRE 1 at " + (1_000 + LEASE_MS));
        assertThat(b.current()).isSameAs(b);
    }

    /** The same, where the new one's machine resets connections that it does not know. */
    @Test
    void aResetAfterASilenceIsNoSignOfLife() {
        ProcessLease a = withCall();
        passes(2_000);
        disconnects(a);
        ProcessLease b = connects();
        for (int i = 0; i < 12; i++) {
            passes(500);
            isHeard(b);
        }
        assertThat(expired()).containsExactly("EXPIRE 1 at " + (1_000 + LEASE_MS));
    }

    @Test
    void twoConnectionsReachOneProcessWhereTheOlderIsHeardLater() {
        ProcessLease a = withCall();
        passes(300);
        ProcessLease second = connects();
        tracker.callStands(second);
        passes(200);
        isHeard(a);
        assertThat(second.current()).isSameAs(a);
        assertThat(a.calls()).isEqualTo(2);
        disconnects(a);
        passes(6_000);
        isHeard(second);
        passes(6_000);
        assertThat(expired()).isEmpty();
    }

    /** What was on its way from a process that is gone may be read just after another one was reached. */
    @Test
    void whatIsHeardInTheSameMomentIsNoProof() {
        ProcessLease a = withCall();
        passes(300);
        ProcessLease b = connects();
        isHeard(a);
        assertThat(b.current()).isSameAs(b);
    }

    @Test
    void aConnectionThatTakesTheLastOnesPlaceReachesTheSameProcess() {
        ProcessLease a = withCall();
        passes(400);
        isHeard(a);
        disconnects(a);
        passes(1_000);
        assertThat(connects()).isSameAs(a);
    }

    /** All connections are reset at once; the first new one is up before the end of the last old one is read. */
    @Test
    void aConnectionThatComesUpJustBeforeTheLastOnesEndReachesTheSameProcess() {
        ProcessLease a = withCall();
        passes(400);
        isHeard(a);
        ProcessLease early = connects();
        disconnects(a);
        assertThat(early.current()).isSameAs(a);
        assertThat(a.hasCalls()).isTrue();
    }

    @Test
    void aConnectionThatComesUpLongAfterTheLastOnesEndReachesAnother() {
        ProcessLease a = withCall();
        disconnects(a);
        passes(LeaseTimes.DEFAULT.rejoinUs() / 1000 + LOOK_MS);
        assertThat(connects()).isNotSameAs(a);
    }

    @Test
    void atAnotherAddressThereIsAnotherProcess() {
        ProcessLease a = withCall();
        tracker.moved();
        ProcessLease b = connects();
        passes(500);
        isHeard(a);
        assertThat(b.current()).isSameAs(b);
        disconnects(a);
        assertThat(b.current()).isSameAs(b);
    }

    /** A gatekeeper that stood still, a paused machine for one, has listened to nobody meanwhile. */
    @Test
    void aGatekeeperThatStoodStillListensBeforeItGivesALeaseUp() {
        ProcessLease a = withCall();
        passes(1_000);
        nowMs += 20_000;
        look();
        passes(300);
        assertThat(expired()).isEmpty();
        isHeard(a);
        passes(5_000);
        assertThat(expired()).isEmpty();
    }

    // ---- where tests are forbidden

    /** The gatekeeper writes on the old connections and opens a new one, again and again. */
    private void checks(ProcessLease process) {
        tracker.challenged(process, nowMs * 1000);
        tracker.reached(nowMs * 1000);
    }

    @Test
    void aReachedAddressRenewsTheLeaseOfAProcessThatKeepsItsConnections() {
        ProcessLease a = withCall();
        for (int i = 0; i < 30; i++) {
            passes(500);
            checks(a);
        }
        assertThat(expired()).isEmpty();
        assertThat(a.heardUs()).isEqualTo(16_000_000);
        passes(LEASE_MS + LOOK_MS);
        assertThat(expired()).hasSize(1);
    }

    /** The address was reached again after 2 s, and then the old connections were reset as they were written to. */
    @Test
    void whatAResetDisprovesDoesNotRenewTheLease() {
        ProcessLease a = withCall();
        passes(2_000);
        connects();
        tracker.reached(nowMs * 1000);
        passes(500);
        checks(a);
        disconnects(a);
        passes(LEASE_MS - 2_500);
        assertThat(expired()).containsExactly("EXPIRE 1 at " + (1_000 + LEASE_MS));
    }

    /** Connections are reset though the process was reachable all the time: what follows reaches the same one. */
    @Test
    void aResetWithoutAGapBeforeItDisprovesNothing() {
        ProcessLease a = withCall();
        for (int i = 0; i < 8; i++) {
            passes(500);
            checks(a);
        }
        passes(300);
        disconnects(a);
        passes(200);
        assertThat(connects()).isSameAs(a);
    }

    /** The new process keeps the old connections for the time that a reset takes, at least as far as is heard. */
    @Test
    void evidenceIsProvenOnlyByAWriteAfterIt() {
        ProcessLease a = withCall();
        passes(1_800);
        tracker.challenged(a, nowMs * 1000);
        passes(300);
        tracker.reached(nowMs * 1000);
        passes(500);
        tracker.reached(nowMs * 1000);
        disconnects(a);
        assertThat(a.heardUs()).isEqualTo(1_000_000);
    }
}
