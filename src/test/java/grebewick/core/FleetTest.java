package grebewick.core;

import static grebewick.core.Rig.SECOND;
import static grebewick.core.Rig.at;
import static grebewick.core.Rig.attempt;
import static grebewick.core.Rig.settings;
import static grebewick.core.Rig.up;
import static org.junit.jupiter.api.Assertions.assertTrue;

import grebewick.core.CallControl.*;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** What many gateways do together: the same traffic spread over few of them and over many. */
class FleetTest {
    private static final double PER_S = 90;
    private static final double FACTOR = 3;
    private static final double COLD_FROM = 0.3;

    private static Settings sized(int gateways) {
        return settings("pools", "push", "retryable", gateways, FACTOR, List.of());
    }

    /** Gateways that each had their share of PER_S completions a second at each of three servers. */
    private static List<Rig> warmedUp(int gateways) {
        List<Rig> fleet = new ArrayList<>();
        Random random = new Random(5);
        for (int g = 0; g < gateways; g++) {
            Rig rig = new Rig(sized(gateways), 100 + g, up("s0", 0), up("s1", 1), up("s2", 2));
            double gapUs = 1e6 * gateways / PER_S / 3;
            double due = random.nextDouble() * gapUs;
            long start = rig.nowUs;
            for (int i = 0; due < 21e6; i++, due += gapUs * 2 * random.nextDouble()) {
                rig.pass(start + (long) due - rig.nowUs);
                rig.offer(i % 3);
                rig.actions.stream().filter(Attempt.class::isInstance).forEach(a -> rig.stands((Attempt) a));
                rig.actions.clear();
            }
            rig.pass(start + 22 * SECOND - rig.nowUs);
            rig.actions.stream().filter(Attempt.class::isInstance).forEach(a -> rig.stands((Attempt) a));
            rig.actions.clear();
            fleet.add(rig);
        }
        return fleet;
    }

    /** Sends of all to s0 while it gets its usual calls, and those of a server that is down, for 4 s. */
    private static int mostInASecond(List<Rig> fleet, boolean stand) {
        List<Long> sent = new ArrayList<>();
        Random random = new Random(6);
        for (Rig rig : fleet) {
            long start = rig.nowUs;
            double gapUs = 1e6 * fleet.size() / PER_S / 2;
            for (double due = random.nextDouble() * gapUs; due < 4e6; due += gapUs * 2 * random.nextDouble()) {
                List<Action> got = rig.pass(Math.max(0, start + (long) due - rig.nowUs));
                got.addAll(rig.offer(0));
                for (int k = 0; k < got.size(); k++) {
                    if (got.get(k) instanceof Attempt a) {
                        sent.addAll(a.server().equals("s0") ? List.of(rig.nowUs - start) : List.of());
                        got.addAll(stand || !a.server().equals("s0") ? rig.stands(a)
                            : rig.ends(a, State.FAILED, 4));
                    }
                }
            }
        }
        Collections.sort(sent);
        int most = 0;
        for (int i = 0, from = 0; i < sent.size(); i++) {
            while (sent.get(from) <= sent.get(i) - SECOND) {
                from++;
            }
            most = Math.max(most, i - from + 1);
        }
        return most;
    }

    @Test
    void allGatewaysTogetherStayBelowTheFallLimitOfAColdServer() {
        for (int gateways : List.of(3, 30, 250)) {
            for (boolean stand : List.of(true, false)) {
                List<Rig> fleet = warmedUp(gateways);
                for (Rig rig : fleet) {
                    rig.feed(new Fleet(Scope.PARTIAL, 2, List.of(at("s0", 0, Stage.HEALTHY, rig.nowUs))));
                }
                int most = mostInASecond(fleet, stand);
                assertTrue(most <= FACTOR * COLD_FROM * PER_S, gateways + " gateways sent " + most);
                assertTrue(most >= 0.15 * PER_S, gateways + " gateways sent only " + most);
            }
        }
    }

    /** Guards against rations reckoned before the list is taken in whole, when the first in it seem to be all there are. */
    @Test
    void whoComesBackColdAtTheHeadOfALongListIsNotSetUponByAllAtOnce() {
        int sent = 0;
        for (int g = 0; g < 120; g++) {
            List<ServerEntry> list = new ArrayList<>();
            for (int i = 0; i < 24; i++) {
                list.add(up("s" + (char) ('z' - i), i % 3));
            }
            Rig rig = new Rig(sized(120), 100 + g, list.toArray(ServerEntry[]::new)).settled();
            for (int i = 0; i < 12; i++) {
                rig.stands(attempt(rig.offer(i % 3), null));
                rig.pass(SECOND / 2);
            }
            list.set(0, at("sz", 0, Stage.HEALTHY, rig.nowUs));
            long before = rig.attempts("sz");
            rig.feed(new Fleet(Scope.COMPLETE, 2, list));
            for (int i = 0; i < 20; i++) {
                rig.offer(0);
                rig.pass(SECOND / 10);
            }
            sent += rig.attempts("sz") - before;
        }
        assertTrue(sent <= 18, "120 gateways sent " + sent + ", with 3 times 0.3 of 10 a second allowed");
    }

    @Test
    void aServerThatCutStandingCallsIsRationedBeforeTheListTellsOfItsRestart() {
        List<Rig> fleet = warmedUp(250);
        for (Rig rig : fleet) {
            Attempt a = attempt(rig.offer(0), "s0");
            rig.stands(a);
            rig.ends(a, State.RESET_BY_PEER, 0);
        }
        int most = mostInASecond(fleet, true);
        assertTrue(most <= FACTOR * COLD_FROM * PER_S, "250 gateways sent " + most);
    }

    @Test
    void belowOneSetUpInATdTheSlotStaysTakenAndComesBackWhenTheDelayFalls() {
        Rig rig = warmedUp(250).get(3);
        Attempt slow = attempt(rig.offer(0), "s0");
        rig.pass(SECOND * 9 / 5);
        rig.stands(slow);
        int first = sentToQuick(rig);
        for (int i = 0; i < 4; i++) {
            sentToQuick(rig);
        }
        int later = sentToQuick(rig);
        assertTrue(first >= 1 && first <= 8, "of 20 calls, after one wait above Td: " + first);
        assertTrue(later >= 15, "of 20 calls, when set-ups stand at once again: " + later);
    }

    /** Offers s0 ten calls a second for 2 s; set-ups stand at once. */
    private static int sentToQuick(Rig rig) {
        int n = 0;
        for (int i = 0; i < 20; i++) {
            int seen = rig.actions.size();
            rig.offer(0);
            rig.pass(SECOND / 10);
            for (; seen < rig.actions.size(); seen++) {
                if (rig.actions.get(seen) instanceof Attempt a) {
                    n += a.server().equals("s0") ? 1 : 0;
                    rig.stands(a);
                }
            }
        }
        return n;
    }

    @Test
    void aGatewayThatStoodStillStartsNoControlAndNoBar() {
        Rig rig = new Rig(settings(), 7, up("s0", 0), up("s1", 1)).settled();
        List<Attempt> open = rig.open("s0", 0, 4);
        rig.nowUs += 2 * SECOND;
        rig.stands(open.get(0));
        rig.ends(open.get(1), State.TIMED_OUT, 0);
        rig.pass(0);
        rig.stands(open.get(2));
        rig.stands(open.get(3));
        rig.pass(SECOND / 4);
        rig.open("s0", 0, 6);
    }

    @Test
    void aCallThatWaitedWhileTheGatewayStoodStillIsAsOldAsItIs() {
        Rig rig = new Rig(settings(), 7, up("s0", 0)).settled();
        rig.stands(attempt(rig.offer(0), "s0"));
        rig.stands(attempt(rig.offer(0), "s0"));
        Attempt slow = attempt(rig.offer(0), "s0");
        rig.pass(SECOND * 6 / 5);
        rig.stands(slow);
        long before = rig.attempts("s0");
        rig.nowUs += 5 * SECOND / 2;
        rig.feed(rig.call(0, "a", "", rig.nowUs + SECOND / 2));
        assertTrue(rig.attempts("s0") == before, "past its aim: no slot of a server under control");
        rig.feed(rig.call(0));
        assertTrue(rig.attempts("s0") == before + 1, "one that has just come gets it");
    }

    @Test
    void aServerThatAnswersSomeSetUpsWithAnErrorStaysInUseAndOneThatDoesNothingElseIsBarred() {
        for (boolean some : List.of(true, false)) {
            Rig rig = new Rig(settings(), 7, up("s0", 0), up("s1", 1)).settled();
            int sent = 0;
            for (int i = 0; i < 200; i++) {
                List<Action> got = new ArrayList<>(rig.offer(0));
                for (int k = 0; k < got.size(); k++) {
                    if (got.get(k) instanceof Attempt a) {
                        boolean errs = a.server().equals("s0") && (!some || i % 5 < 3);
                        sent += a.server().equals("s0") && i >= 100 ? 1 : 0;
                        got.addAll(errs ? rig.ends(a, State.FAILED, 0) : rig.stands(a));
                    }
                }
                rig.pass(SECOND / 20);
            }
            assertTrue(some ? sent >= 90 : sent <= 10, some + " " + sent);
        }
    }

    @Test
    void linesInUseTellAServerThatDiedFromOneThatOnlyThisGatewayLost() {
        for (double free : List.of(30.0, 100.0)) {
            Rig rig = new Rig(settings(), 7, up("s0", 0), up("s1", 1));
            rig.feed(new Checked(State.OK, "s0", 0, List.of(0.0, 100.0)));
            rig.feed(new Checked(State.OK, "s1", 0, List.of(0.0, 100.0)));
            rig.settled();
            rig.feed(new Checked(State.OK, "s0", 0, List.of(50.0, 100.0)));
            Attempt cut = attempt(rig.offer(0), "s0");
            rig.stands(cut);
            rig.ends(cut, State.RESET_BY_PEER, 0);
            rig.feed(new Checked(State.OK, "s0", 0, List.of(free, 100.0)));
            rig.pass(SECOND / 10);
            long before = rig.attempts("s0");
            for (int i = 0; i < 10; i++) {
                rig.offer(0);
            }
            long sent = rig.attempts("s0") - before;
            assertTrue(free == 100 ? sent <= 1 : sent >= 5, free + " free: " + sent);
        }
    }
}
