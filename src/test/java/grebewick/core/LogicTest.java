package grebewick.core;

import static grebewick.core.Rig.SECOND;
import static grebewick.core.Rig.at;
import static grebewick.core.Rig.attempt;
import static grebewick.core.Rig.settings;
import static grebewick.core.Rig.up;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import grebewick.core.CallControl.*;
import grebewick.play.Sites;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;

class LogicTest {
    private static final long FULL = 3;
    private static final int OFF = Integer.MAX_VALUE;

    private static Rig two() {
        return new Rig(settings(), 7, up("s0", 0), up("s1", 1)).settled();
    }

    /** Guards against set-ups cut for the sake of a second attempt that the release time makes too late anyway. */
    @Test
    void aSetUpIsCutEarlyOnlyWhereASecondCouldBeInTime() {
        Rig fits = new Rig(Sites.settings(), 7, up("s0", 0));
        assertEquals(1_300_000, attempt(fits.offer(0), "s0").patienceUs(), "the aim less release and Td");
        Rig late = new Rig(Sites.settings(Sites.SETTINGS.replace("\"Release\":500000", "\"Release\":1500000")), 7,
            up("s0", 0));
        assertEquals(2_000_000, attempt(late.offer(0), "s0").patienceUs(), "the aim");
    }

    // ---- the throttle

    @Test
    void formulaAtItsEdges() {
        assertEquals(1, Logic.nextLimit(5, 0, 1e6, 5e6, true, true), "N = 0 gives the floor");
        assertEquals(1, Logic.nextLimit(5, 9, 1e6, 5e6, true, true), "int(1.8)");
        assertEquals(4, Logic.nextLimit(9, 20, 1e6, 5e6, true, true), "L falls");
        assertEquals(8, Logic.nextLimit(2, 40, 1e6, 5e6, true, true), "L rises");
        assertEquals(6, Logic.nextLimit(6, 5, 1e6, 5e6, true, false), "demand alone does not lower L");
        assertEquals(8, Logic.nextLimit(6, 40, 1e6, 5e6, true, false), "but raises it");
        assertEquals(OFF, Logic.nextLimit(3, 40, 1e6, 5e6, false, true), "a clean interval ends control");
        assertEquals(OFF, Logic.nextLimit(OFF, 40, 1e6, 5e6, true, true), "only an outcome starts it");
    }

    /** Guards against seconds at the floor after a start: the first report would come with the first call's end. */
    @Test
    void aServerFirstListedIsProbedOnceUnlessItIsCold() {
        Settings probes = Sites.settings(Sites.SETTINGS.replace("\"Cancel\":true", "\"Cancel\":true,\"Probes\":true"));
        Rig rig = new Rig(probes, 7, up("s0", 0), at("s1", 1, Stage.HEALTHY, 999 * SECOND));
        rig.feed(new Fleet(Scope.COMPLETE, 2, List.of(up("s0", 0))));
        assertEquals(List.of(new AskLoad("s0")), rig.actions);
        rig.feed(new Checked(State.OK, "s0", 0, List.of(-1.0, -1.0, 100.0)));
        rig.open("s0", 0, 4);
    }

    /**
     * Guards servers at ease against this gateway's own pauses, as after each start: an answer that came while it stood
     * still is read in a later turn, and the wait until then is not its server's.
     */
    @Test
    void whatWasOutWhileTheGatewayStoodStillStartsNoControl() {
        Rig rig = two();
        List<Attempt> open = rig.open("s0", 0, 4);
        rig.nowUs += 2 * SECOND;
        rig.feed(new Checked(State.OK, "s1", 0, List.of()));
        rig.pass(SECOND / 100);
        open.forEach(rig::stands);
        rig.pass(SECOND / 10);
        rig.open("s0", 0, 8);
        rig.pass(SECOND + SECOND / 5);
        rig.offer(0);
        assertEquals(12, rig.attempts("s0"), "a wait after the pause counts: no thirteenth");
    }

    @Test
    void controlStartsOnALongWaitAndEndsAfterACleanInterval() {
        Rig rig = two();
        List<Attempt> open = rig.open("s0", 0, 4);
        rig.pass(SECOND + SECOND / 5);
        rig.offer(0);
        assertEquals(4, rig.attempts("s0"), "the oldest set-up has waited past Td: no fifth");
        rig.pass(SECOND);
        open.forEach(rig::stands);
        rig.stands(attempt(rig.actions, "s1"));
        rig.pass(11 * SECOND);
        rig.open("s0", 0, 6);
    }

    /** Guards against control of a server at ease that is merely far: the way there and back is no wait at it. */
    @Test
    void theWayToAServerCountsBesideTd() {
        Rig rig = two();
        Attempt first = attempt(rig.offer(0), "s0");
        rig.pass(SECOND / 2);
        rig.stands(first);
        rig.open("s0", 0, 4);
        rig.pass(SECOND + SECOND / 4);
        rig.offer(0);
        assertEquals(6, rig.attempts("s0"), "past Td, but not past Td and the way");
        rig.pass(SECOND / 2);
        rig.offer(0);
        assertEquals(6, rig.attempts("s0"), "past both");
    }

    /** Guards against seconds at the floor after a start: the report stands in for N, until it is refuted. */
    @Test
    void beforeTheFirstIntervalEndsTheReportedRateStandsInForTheCount() {
        Rig rig = new Rig(settings("pools", "push", "retryable", 4, 3, List.of("can_take")), 7, up("s0", 0));
        rig.feed(new Checked(State.OK, "s0", 0, List.of(17.0)));
        List<Attempt> open = rig.open("s0", 0, 4);
        rig.offer(0);
        assertEquals(4, rig.attempts("s0"), "its share of 17 a second, for a Td of 1 s");
        rig.ends(open.get(0), State.QUEUE_FULL, FULL);
        open.subList(1, 4).forEach(rig::stands);
        rig.pass(SECOND + SECOND / 10);
        rig.offer(0);
        rig.offer(0);
        assertEquals(5, rig.attempts("s0"), "refuted: the floor");
    }

    @Test
    void fullSetsTheFloorAtOnceAndTheStatedWaitIsHonoured() {
        Rig rig = new Rig(settings(), 7, up("s0", 0)).settled();
        List<Attempt> open = rig.open("s0", 0, 3);
        rig.ends(open.get(0), State.QUEUE_FULL, FULL + 16 * 3000);
        rig.stands(open.get(1));
        rig.stands(open.get(2));
        long sent = rig.attempts("s0");
        rig.pass(2 * SECOND);
        rig.offer(0);
        assertEquals(sent, rig.attempts("s0"), "stays away for the 3 s it was told");
        rig.pass(SECOND + SECOND / 2);
        rig.offer(0);
        rig.offer(0);
        assertEquals(sent + 1, rig.attempts("s0"), "then one at a time");
    }

    @Test
    void controlThatIsOnLimitsToTheFormulaAfterTheInterval() {
        Rig rig = new Rig(settings(), 7, up("s0", 0));
        // A restarted gateway knows nothing: one at a time until the first interval has passed.
        Attempt first = rig.open("s0", 0, 1).get(0);
        rig.offer(0);
        assertEquals(1, rig.attempts("s0"));
        rig.stands(first);
        assertEquals(2, rig.attempts("s0"), "the held call gets the slot");
    }

    @Test
    void holdThenAnotherServerThenRefuse() {
        Rig rig = new Rig(settings(), 3, up("s0", 0), up("s1", 1));
        rig.open("s0", 0, 1);
        List<Action> got = rig.offer(0);
        assertTrue(got.isEmpty(), "held for a slot at its first choice");
        got = rig.pass(SECOND);
        attempt(got, "s1");
        assertTrue(rig.offer(0).isEmpty());
        got = rig.pass(SECOND);
        Refuse refuse = assertInstanceOf(Refuse.class, got.get(0), "none has room: refused unsent");
        assertTrue(refuse.notBeforeForUs() > 0, "with guidance");
        assertEquals(2, rig.attempts("s0") + rig.attempts("s1"));
    }

    @Test
    void firstChoiceFirstThenTheDrawFavoursTheQuickerServer() {
        Rig rig = new Rig(settings(), 5, up("s0", 0), up("s1", 1), up("s2", 2)).settled();
        for (int i = 0; i < 10; i++) {
            Attempt slow = attempt(rig.offer(1), "s1");
            rig.pass(SECOND / 2);
            rig.stands(slow);
            Attempt quick = attempt(rig.offer(2), "s2");
            rig.pass(SECOND / 50);
            rig.stands(quick);
        }
        long slow = rig.attempts("s1");
        long quick = rig.attempts("s2");
        rig.feed(new Fleet(Scope.PARTIAL, 2, List.of(at("s0", 0, Stage.DEREGISTERED, 0))));
        for (int i = 0; i < 40; i++) {
            rig.stands(attempt(rig.offer(0), null));
        }
        assertTrue(rig.attempts("s2") - quick > 2 * (rig.attempts("s1") - slow));
    }

    // ---- the five rules

    @Test
    void oneFinalAnswerInTimeAndNothingAfterIt() {
        Rig rig = new Rig(settings(), 11, up("s0", 0));
        Attempt only = rig.open("s0", 0, 1).get(0);
        Call held = rig.call(0);
        rig.feed(held);
        rig.pass(4 * SECOND);
        assertEquals(1, rig.finals(held.call()));
        rig.ends(only, State.TIMED_OUT, 0);
        rig.pass(SECOND);
        assertEquals(1, rig.finals(only.call()), "a time-out at the deadline is answered at once");
        long before = rig.actions.size();
        rig.ends(only, State.TIMED_OUT, 0);
        rig.feed(new Hangup(held.call()));
        rig.feed(new Due(held.call()));
        rig.feed(new Started(999, 0, "s0", 1));
        assertEquals(before, rig.actions.size(), "late and unknown news has no effect");
    }

    @Test
    void neverTwoAttemptsOutAndTheReleaseIsAwaited() {
        for (State state : List.of(State.TIMED_OUT, State.RESET_BY_PEER, State.CANCELED)) {
            Rig rig = two();
            Attempt first = attempt(rig.offer(0), "s0");
            rig.pass(SECOND / 2);
            assertTrue(rig.ends(first, state, 0).isEmpty(), "not at once after " + state);
            assertTrue(rig.pass(SECOND / 5 - 1000).isEmpty());
            Attempt second = attempt(rig.pass(SECOND / 4), "s1");
            assertEquals(first.call(), second.call());
        }
    }

    @Test
    void aProvenRefusalIsTriedElsewhereAtOnce() {
        Rig rig = two();
        Attempt first = attempt(rig.offer(0), "s0");
        assertEquals(first.call(), attempt(rig.ends(first, State.CONNECT_ERROR, 0), "s1").call());
    }

    @Test
    void drainsBindWhateverOwnEvidenceSays() {
        for (Stage stage : List.of(Stage.DRAINING, Stage.DEREGISTERED)) {
            Rig rig = two();
            rig.feed(new Fleet(Scope.PARTIAL, 2, List.of(at("s0", 0, stage, 0))));
            attempt(rig.offer(0), "s1");
            assertEquals(0, rig.attempts("s0"));
        }
    }

    // ---- servers in trouble

    @Test
    void aServerThatRefusesConnectionsOrAnswersNothingIsTriedSparingly() {
        for (State state : List.of(State.CONNECT_ERROR, State.TIMED_OUT, State.QUEUE_FULL)) {
            Rig rig = two();
            for (int i = 0; i < 200; i++) {
                for (Action action : rig.offer(0)) {
                    if (action instanceof Attempt a) {
                        if (a.server().equals("s0")) {
                            rig.ends(a, state, FULL);
                        } else {
                            rig.stands(a);
                        }
                    }
                }
                rig.pass(SECOND / 20);
            }
            assertTrue(rig.attempts("s0") >= 2 && rig.attempts("s0") <= 6, state + " " + rig.attempts("s0"));
        }
    }

    @Test
    void aSetUpOvertakenByALaterOneIsLostAndNoOverload() {
        Rig rig = two();
        Attempt lost = rig.open("s0", 0, 1).get(0);
        rig.pass(SECOND / 2);
        rig.stands(rig.open("s0", 0, 1).get(0));
        rig.pass(SECOND);
        rig.ends(lost, State.TIMED_OUT, 0);
        rig.pass(SECOND / 10);
        rig.open("s0", 0, 4);
    }

    @Test
    void aServerThatCutsStandingCallsLosesTraffic() {
        Rig rig = two();
        List<Attempt> open = rig.open("s0", 0, 6);
        open.forEach(rig::stands);
        rig.pass(SECOND);
        open.forEach(a -> rig.ends(a, State.RESET_BY_PEER, 0));
        attempt(rig.offer(0), "s1");
    }

    @Test
    void neverAllServersShutOut() {
        Rig rig = two();
        for (int i = 0; i < 20; i++) {
            rig.stands(attempt(rig.offer(i % 2), "s" + i % 2));
            rig.pass(SECOND / 2);
        }
        for (int i = 0; i < 2; i++) {
            Attempt a = attempt(rig.offer(i), "s" + i);
            rig.ends(a, State.CONNECT_ERROR, 0);
        }
        long before = rig.attempts("s0") + rig.attempts("s1");
        rig.pass(12 * SECOND);
        rig.offer(0);
        rig.pass(SECOND);
        assertTrue(rig.attempts("s0") + rig.attempts("s1") > before);
    }

    @Test
    void aPoolWithoutFreeLinesHasNoRoomUntilToldOtherwise() {
        Rig rig = two();
        rig.feed(new Checked(State.OK, "s0", 0, List.of(0.0, 50.0)));
        assertTrue(rig.offer(0).isEmpty());
        rig.feed(new Checked(State.OK, "s0", 0, List.of(8.0, 50.0)));
        rig.pass(SECOND / 8);
        assertEquals(1, rig.attempts("s0"));
        rig.open("s0", 0, 1);
        rig.offer(0);
        assertEquals(2, rig.attempts("s0"), "two of eight are this gateway's share among four");
    }

    @Test
    void aLateCallLeavesTheLastFreeLinesToCallsInTime() {
        Rig rig = two();
        rig.stands(attempt(rig.feed(rig.call(0, "a", "n1", rig.nowUs + 3 * SECOND)), "s0"));
        rig.pass(5 * SECOND);
        rig.feed(new Checked(State.OK, "s0", 0, List.of(4.0, 50.0)));
        rig.feed(rig.call(0, "a", "n1", rig.nowUs + 3 * SECOND));
        assertEquals(1, rig.attempts("s0"), "one line is this gateway's share: not for a late call");
        attempt(rig.feed(rig.call(0, "a", "n2", rig.nowUs + 3 * SECOND)), "s0");
    }

    @Test
    void absurdReportsDoNoHarm() {
        Rig rig = new Rig(settings("pools", "push", "retryable", 4, 3, List.of("free", "size", "queue", "can_take")),
            1, up("s0", 0)).settled();
        for (double bad : new double[] {Double.NaN, -5, 1e300, Double.POSITIVE_INFINITY}) {
            rig.feed(new Checked(State.OK, "s0", 0, List.of(bad, bad, bad, bad)));
            rig.open("s0", 0, 3);
        }
        rig.feed(new Checked(State.OK, "s0", 0, List.of()));
        rig.open("s0", 0, 1);
    }

    @Test
    void aNumberWhoseLinesAreBusyIsThrottledByNumber() {
        Rig rig = two();
        Attempt busy = attempt(rig.feed(rig.call(0, "a", "n1", rig.nowUs + 3 * SECOND)), "s0");
        assertInstanceOf(Refuse.class, rig.ends(busy, State.FAILED, 4).get(0));
        assertInstanceOf(Refuse.class, rig.feed(rig.call(0, "a", "n1", rig.nowUs + 3 * SECOND)).get(0));
        rig.stands(attempt(rig.feed(rig.call(0, "a", "n2", rig.nowUs + 3 * SECOND)), "s0"));
        rig.pass(11 * SECOND);
        attempt(rig.feed(rig.call(0, "a", "n1", rig.nowUs + 3 * SECOND)), "s0");
    }

    @Test
    void aNumberDialledAgainCountsFromItsFirstTryAndGetsNoSlotUnderControl() {
        Rig rig = new Rig(settings(), 7, up("s0", 0)).settled();
        Attempt first = attempt(rig.feed(rig.call(0, "a", "n1", rig.nowUs + 3 * SECOND)), "s0");
        rig.ends(first, State.QUEUE_FULL, FULL);
        rig.pass(5 * SECOND);
        long before = rig.attempts("s0");
        List<Action> got = rig.feed(rig.call(0, "a", "n1", rig.nowUs + 3 * SECOND));
        got.addAll(rig.pass(SECOND));
        assertEquals(before, rig.attempts("s0"), "late from its first try, and the server is under control");
        assertTrue(got.stream().anyMatch(a -> a instanceof Refuse));
        attempt(rig.feed(rig.call(0, "a", "n2", rig.nowUs + 3 * SECOND)), "s0");
    }

    // ---- lists

    @Test
    void listsCompletePartialErrorAndRestart() {
        Rig rig = two();
        rig.feed(new Fleet(Scope.ERROR, 2, List.of()));
        attempt(rig.offer(0), "s0");
        rig.feed(new Fleet(Scope.PARTIAL, 3, List.of(up("s2", 2))));
        attempt(rig.offer(2), "s2");
        attempt(rig.offer(1), "s1");
        rig.feed(new Fleet(Scope.COMPLETE, 4, List.of(up("s1", 1))));
        attempt(rig.offer(0), "s1");
        rig.feed(new Fleet(Scope.COMPLETE, 5, List.of()));
        List<Action> got = rig.offer(1);
        got.addAll(rig.pass(SECOND));
        assertInstanceOf(Refuse.class, got.get(0), "no server left: refused after the brief hold");
    }

    @Test
    void whereTheListMustBeAskedForItIsAskedAgainAfterAFailure() {
        Rig rig = new Rig(settings("pools", "ask", "retryable", 4, 3, List.of()), 2, up("s0", 0));
        assertTrue(rig.actions.contains(new Observe(true)));
        rig.actions.clear();
        rig.feed(new Fleet(Scope.ERROR, 0, List.of()));
        rig.pass(4 * SECOND);
        assertEquals(List.of(new Observe(true)), rig.actions);
    }

    // ---- effects, transit, bad input

    @Test
    void fragileCallsThatMayHaveRunAreNeitherSentAgainNorRefused() {
        Rig rig = new Rig(settings("pools", "push", "fragile", 4, 3, List.of()), 2, up("s0", 0), up("s1", 1)).settled();
        Attempt first = attempt(rig.offer(0), "s0");
        assertInstanceOf(Surrender.class, rig.ends(first, State.RESET_BY_PEER, 0).get(0));
    }

    @Test
    void dedupCallsThatMayHaveRunStayInTheirGroup() {
        Rig rig = new Rig(settings("pools", "push", "dedup", 4, 3, List.of()), 2, up("s0", 0), up("s1", 1)).settled();
        Attempt first = attempt(rig.feed(rig.call(0, "b", "", rig.nowUs + 5 * SECOND)), "s0");
        List<Action> got = rig.ends(first, State.RESET_BY_PEER, 0);
        got.addAll(rig.pass(5 * SECOND));
        assertEquals(0, rig.attempts("s1"));
        assertFalse(got.stream().anyMatch(a -> a instanceof Refuse));
    }

    @Test
    void aCallInTransitGoesToItsDestinationOrBack() {
        Rig rig = new Rig(settings("mesh", "push", "retryable", 4, 3, List.of()), 2, up("s0", 0), up("s1", 1)).settled();
        Call through = new Call(1, rig.nowUs + SECOND, true, false, false, 1, false, 0, "", 0, "", 1, "a");
        Attempt sent = attempt(rig.feed(through), "s1");
        assertInstanceOf(Refuse.class, rig.ends(sent, State.CONNECT_ERROR, 0).get(0));
        assertEquals(0, rig.attempts("s0"));
    }

    @Test
    void impossibleCallsAreAnsweredAtOnce() {
        Rig rig = two();
        assertInstanceOf(Refuse.class, rig.feed(rig.call(0, "nosuch", "", rig.nowUs + SECOND)).get(0));
        assertInstanceOf(Surrender.class, rig.feed(rig.call(0, "a", "", rig.nowUs)).get(0));
    }

    @Test
    void settingsThatCannotWorkAreRefusedWithTheFieldNamed() {
        var e = assertThrows(IllegalArgumentException.class,
            () -> new Logic(settings("pools", "push", "retryable", 0, 3, List.of()), 1));
        assertTrue(e.getMessage().contains("ReplicasOfMe"));
        e = assertThrows(IllegalArgumentException.class,
            () -> new Logic(settings("pools", "push", "retryable", 1, -1, List.of()), 1));
        assertTrue(e.getMessage().contains("Rules.OverloadFactor"));
        Settings good = settings();
        Settings none = new Settings(good.blend(), good.bounds(), good.clients(), "x", good.familyInfo(), good.fees(),
            List.of(), List.of(), 0, 0.1, 5000, List.of(), "push", 4, good.report(), good.rules(), 0, List.of(), "off",
            "request", "z", List.of());
        e = assertThrows(IllegalArgumentException.class, () -> new Logic(none, 1));
        assertTrue(e.getMessage().contains("Grades"));
    }

    // ---- the whole

    @Test
    void equalEventsGiveEqualActionsAndEveryCallOneAnswer() {
        assertEquals(storm(5).actions, storm(5).actions);
        for (int seed = 0; seed < 20; seed++) {
            storm(seed);
        }
    }

    /** Random traffic and outcomes from a fixed seed, checking the rules that one gateway can keep alone. */
    private static Rig storm(int seed) {
        Random random = new Random(seed);
        Rig rig = new Rig(settings(), seed, up("s0", 0), up("s1", 1), up("s2", 2));
        List<Attempt> open = new ArrayList<>();
        Set<Long> closed = new HashSet<>();
        List<Call> calls = new ArrayList<>();
        for (int i = 0; i < 3000; i++) {
            List<Action> got = new ArrayList<>(rig.pass(random.nextInt(20_000)));
            if (i < 2500) {
                Call call = rig.call(random.nextInt(3), random.nextBoolean() ? "a" : "b", "", rig.nowUs + 3 * SECOND);
                calls.add(call);
                got.addAll(rig.feed(call));
            }
            if (!open.isEmpty() && random.nextInt(3) > 0) {
                Attempt a = open.remove(random.nextInt(open.size()));
                boolean stands = random.nextInt(3) > 0;
                if (stands) {
                    closed.add(a.call());
                }
                State bad = State.values()[1 + random.nextInt(5)];
                got.addAll(stands ? rig.stands(a) : rig.ends(a, bad, bad == State.QUEUE_FULL ? FULL : 0));
            }
            note(rig, got, open, closed);
        }
        while (!open.isEmpty()) {
            note(rig, rig.ends(open.remove(0), State.TIMED_OUT, 0), open, closed);
            note(rig, rig.pass(4 * SECOND), open, closed);
        }
        note(rig, rig.pass(10 * SECOND), open, closed);
        for (Call call : calls) {
            assertTrue(closed.contains(call.call()), "every call is answered");
        }
        return rig;
    }

    private static void note(Rig rig, List<Action> got, List<Attempt> open, Set<Long> closed) {
        for (Action action : got) {
            if (action instanceof Attempt a) {
                assertFalse(closed.contains(a.call()), "nothing after the final answer");
                assertFalse(open.stream().anyMatch(o -> o.call() == a.call()), "never two attempts out");
                open.add(a);
            } else if (action instanceof Refuse r) {
                assertTrue(closed.add(r.call()), "one final answer");
            } else if (action instanceof Surrender s) {
                assertTrue(closed.add(s.call()), "one final answer");
            }
        }
    }

    /** Guards calls that waited for a confirmation against refusals at its return, and against attempts before it. */
    @Test
    void callsWaitWhileNoServerIsConfirmedAndAllGoOutThen() {
        Rig rig = new Rig(Rig.settings(), 1, Rig.up("s0", 0), Rig.up("s1", 1)).settled();
        rig.feed(new ReadinessChanged(Set.of("s0", "s1")));
        for (int i = 0; i < 30; i++) {
            assertTrue(rig.offer(i % 2).isEmpty());
        }
        assertTrue(rig.pass(2 * SECOND).isEmpty());
        assertEquals(30, rig.feed(new ReadinessChanged(Set.of())).stream().filter(x -> x instanceof Attempt).count());
    }

    /** Guards calls against waiting for a server where another that may have them is confirmed. */
    @Test
    void aCallGoesToTheServerThatIsConfirmed() {
        Rig rig = new Rig(Rig.settings(), 1, Rig.up("s0", 0), Rig.up("s1", 1)).settled();
        rig.feed(new ReadinessChanged(Set.of("s0")));
        attempt(rig.offer(0), "s1");
    }

    /** Guards a call's last attempt: one that was taken back, as its server is not confirmed, is none. */
    @Test
    void attemptsThatWereTakenBackAreNotCounted() {
        Rig rig = new Rig(Rig.settings(), 1, Rig.up("s0", 0)).settled();
        Attempt a = attempt(rig.offer(0), "s0");
        for (int taken = 0; taken < 4; taken++) {
            rig.feed(new ReadinessChanged(Set.of("s0")));
            assertTrue(rig.ends(a, State.IGNORED, 0).isEmpty());
            a = attempt(rig.feed(new ReadinessChanged(Set.of())), "s0");
        }
        rig.stands(a);
    }

    /** Guards the caller: it has its answer while it still waits for one. */
    @Test
    void aCallThatWaitsForAConfirmationIsRefusedBeforeItsEnd() {
        Rig rig = new Rig(Rig.settings(), 1, Rig.up("s0", 0)).settled();
        rig.feed(new ReadinessChanged(Set.of("s0")));
        assertTrue(rig.offer(0).isEmpty());
        assertTrue(rig.pass(3 * SECOND - 100_000).isEmpty());
        assertTrue(rig.pass(90_000).get(0) instanceof Refuse);
    }

    @Test
    void theModuleKeepsItsSizeAndColumns() throws Exception {
        List<String> lines = Files.readAllLines(Path.of("src/main/java/grebewick/core/Logic.java"));
        assertTrue(lines.size() <= 950, lines.size() + " lines");
        lines.forEach(l -> assertTrue(l.length() <= 110, l));
        assertTrue(lines.stream().limit(30).anyMatch(l -> l.contains("CallControl.java")));
    }
}
