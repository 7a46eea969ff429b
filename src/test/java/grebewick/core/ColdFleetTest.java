package grebewick.core;

import static grebewick.core.Rig.SECOND;
import static org.assertj.core.api.Assertions.assertThat;

import grebewick.core.CallControl.*;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * The operators' term on cold servers: in any window of the fall time all gatekeepers together send a freshly started
 * server at most N + 2 sqrt(N) + 2 set-ups, N being what the settings allow it at the window's start.
 */
class ColdFleetTest {
    private static final int SERVERS = 12;
    private static final int ZONES = 3;
    private static final long STEP_US = 10_000;
    private static final long WARM_UP_US = 25 * SECOND;
    private static final long DOWN_US = 5 * SECOND;
    private static final long ANSWER_US = 40_000;
    private static final double HOLD_US = 2e6;
    /** Circuits of a server over those in use when it completes what it is capable of. */
    private static final double SPARE_LINES = 3;
    /** us. The copies that restart do so within this time after the servers are back. */
    private static final long RESTART_US = SECOND / 2;

    /** How the traffic is spread over the gatekeepers. */
    private enum Shares { EQUAL, UNEVEN }

    /** Which servers are away and return cold. */
    private enum Returns { SERVER, ZONE }

    /** What the list says meanwhile. */
    private enum Listed { STAYS, REMOVED }

    private static Settings settings(int gatekeepers, double coldFrom, long coldUs, double factor, long fallUs) {
        Settings base = Rig.settings("pools", "push", "retryable", gatekeepers, factor, List.of("free", "size"));
        List<Integer> all = new ArrayList<>();
        for (int i = 0; i < SERVERS; i++) {
            all.add(i);
        }
        FamilyInfo f = base.familyInfo();
        FamilyInfo family = new FamilyInfo(f.farState(), f.hintsRoute(), f.homeNo(), f.meanHoldUs(), List.of(all, all),
            f.releaseUs(), f.resendUs(), f.retryHint(), f.shape(), f.widths());
        Rules r = base.rules();
        Rules rules = new Rules(r.answerSlackUs(), r.askWithinUs(), coldUs, coldFrom, r.drainGraceUs(), fallUs, factor);
        return new Settings(base.blend(), base.bounds(), base.clients(), base.family(), family, base.fees(), base.flavors(),
            base.grades(), base.me(), base.overShareWorth(), base.periodUs(), base.realms(), base.registryMode(),
            gatekeepers, base.report(), rules, base.stage(), base.tiers(), base.weightSource(), base.worthBy(), base.zone(),
            base.zones());
    }

    /**
     * {@code heardMs}: within which the copies hear of the start; {@code restarted}: part of the copies that are killed and
     * start anew as the servers return; {@code perS}: completions a second that a warm server is capable of;
     * {@code load}: part of them that is asked for.
     */
    @ParameterizedTest
    @CsvSource({
        "20,  EQUAL,  SERVER, STAYS,   200,  0,   10, 0.95, 0.34, 9,  3,   2, 1",
        "20,  UNEVEN, ZONE,   REMOVED, 1500, 0,   10, 0.95, 0.34, 9,  3,   2, 2",
        "20,  UNEVEN, SERVER, STAYS,   1500, 0,   10, 1.5,  0.34, 9,  3,   2, 3",
        "20,  EQUAL,  ZONE,   STAYS,   1500, 0,   10, 1.5,  0.34, 9,  3,   2, 4",
        "20,  UNEVEN, ZONE,   STAYS,   200,  0.7, 10, 1.5,  0.2,  15, 2,   1, 5",
        "20,  UNEVEN, ZONE,   STAYS,   200,  0.2, 4,  1.2,  0.3,  11, 1.5, 1, 65",
        "30,  EQUAL,  SERVER, REMOVED, 200,  0,   10, 0.95, 0.34, 9,  3,   2, 1",
        "30,  UNEVEN, ZONE,   STAYS,   1500, 0,   10, 0.95, 0.34, 9,  3,   2, 2",
        "30,  UNEVEN, SERVER, STAYS,   1500, 0,   10, 1.5,  0.34, 9,  3,   2, 3",
        "30,  EQUAL,  ZONE,   REMOVED, 200,  0.7, 10, 1.5,  0.34, 9,  3,   2, 4",
        "30,  UNEVEN, ZONE,   STAYS,   200,  0.7, 10, 1.5,  0.2,  15, 2,   1, 5",
        "30,  EQUAL,  ZONE,   REMOVED, 200,  0.6, 3,  1.3,  0.4,  6,  1.5, 1, 9",
        "120, EQUAL,  SERVER, STAYS,   200,  0,   10, 0.95, 0.34, 9,  3,   2, 1",
        "120, UNEVEN, ZONE,   REMOVED, 1500, 0,   10, 0.95, 0.34, 9,  3,   2, 2",
        "120, UNEVEN, SERVER, REMOVED, 1500, 0,   10, 1.5,  0.34, 9,  3,   2, 3",
        "120, EQUAL,  ZONE,   STAYS,   200,  0,   10, 1.5,  0.34, 9,  3,   2, 4",
        "120, UNEVEN, ZONE,   STAYS,   200,  0.7, 25, 1.3,  0.2,  15, 2,   1, 5",
        "120, UNEVEN, SERVER, REMOVED, 1500, 0.7, 25, 1.3,  0.2,  15, 2,   1, 6",
        "120, UNEVEN, ZONE,   STAYS,   350,  0.7, 3,  1.3,  0.5,  13, 1.5, 1, 30"})
    void allCopiesTogetherStayWithinAColdServersBudget(int copies, Shares shares, Returns returns, Listed listed, long heardMs,
                                                       double restarted, double perS, double load, double coldFrom, long coldS,
                                                       double factor, long fallS, long seed) {
        Run run = new Run(settings(copies, coldFrom, coldS * SECOND, factor, fallS * SECOND), copies, shares, returns, listed,
            heardMs * 1000, restarted, perS, load, seed);
        run.play();
        assertThat(run.over()).isEmpty();
        assertThat(run.sentCold).as("a cold server is used").isPositive();
    }

    /** One day: warm up, some servers go, return cold, and are heard of by each copy at its own moment. */
    private static final class Run {
        private final Settings settings;
        private final int copies;
        private final Returns returns;
        private final Listed listed;
        private final long heardUs;
        private final double restarted;
        private final double capacityPerS;
        private final double lines;
        private final Random random;
        private final double[] perS;
        private final List<Rig> fleet = new ArrayList<>();
        private final PriorityQueue<Later> later = new PriorityQueue<>(
            Comparator.comparingLong(Later::atUs).thenComparingLong(Later::order));
        private final List<List<Long>> sends = new ArrayList<>();
        private final int[] inUse = new int[SERVERS];
        private final int[] starts = new int[SERVERS];
        private boolean away;
        private long order;
        private long startUs;
        private long nowUs;
        private long backUs;
        private int sentCold;

        Run(Settings settings, int copies, Shares shares, Returns returns, Listed listed, long heardUs, double restarted,
            double capacityPerS, double load, long seed) {
            this.settings = settings;
            this.copies = copies;
            this.returns = returns;
            this.listed = listed;
            this.heardUs = heardUs;
            this.restarted = restarted;
            this.capacityPerS = capacityPerS;
            lines = SPARE_LINES * capacityPerS * HOLD_US / 1e6;
            random = new Random(seed);
            perS = new double[copies];
            for (int g = 0; g < copies; g++) {
                perS[g] = shares == Shares.EQUAL ? 1 : Math.exp(random.nextGaussian());
            }
            double sum = Arrays.stream(perS).sum();
            for (int g = 0; g < copies; g++) {
                perS[g] *= SERVERS * capacityPerS * load / sum;
                fleet.add(new Rig(settings, 1_000 * seed + g, list(0)));
            }
            for (int i = 0; i < SERVERS; i++) {
                sends.add(new ArrayList<>());
            }
            startUs = fleet.get(0).nowUs;
            nowUs = startUs;
        }

        private boolean goes(int server) {
            return returns == Returns.SERVER ? server == 0 : server % ZONES == 0;
        }

        private ServerEntry[] list(long startedUs) {
            ServerEntry[] list = new ServerEntry[SERVERS];
            for (int i = 0; i < SERVERS; i++) {
                list[i] = new ServerEntry(id(i), i, Stage.HEALTHY, goes(i) ? startedUs : 0, "m", "z" + i % ZONES, 1);
            }
            return list;
        }

        private static String id(int server) {
            return "s" + (char) ('a' + server);
        }

        private static int number(String id) {
            return id.charAt(1) - 'a';
        }

        private void at(long atUs, Runnable what) {
            later.add(new Later(atUs, order++, what));
        }

        void play() {
            long goneUs = startUs + WARM_UP_US;
            backUs = goneUs + DOWN_US;
            at(goneUs, this::goes);
            at(backUs, () -> away = false);
            for (int g = 0; g < copies; g++) {
                if (listed == Listed.REMOVED) {
                    hear(g, goneUs, Arrays.stream(list(0)).filter(e -> !goes(number(e.server()))).toList());
                }
                if (g < restarted * copies) {
                    restart(g);
                }
                hear(g, backUs, List.of(list(backUs)));
                arrive(g);
            }
            long endUs = backUs + settings.rules().coldUs();
            for (; nowUs < endUs; nowUs += STEP_US) {
                while (!later.isEmpty() && later.peek().atUs <= nowUs) {
                    later.poll().what.run();
                }
                for (Rig rig : fleet) {
                    take(rig, rig.pass(nowUs - rig.nowUs));
                }
            }
        }

        /** The list changes, and the copy hears of it at its own moment. */
        private void hear(int g, long fromUs, List<ServerEntry> list) {
            at(fromUs + (long) (random.nextDouble() * heardUs), () -> feed(fleet.get(g), new Fleet(Scope.COMPLETE, 2, list)));
        }

        private void restart(int g) {
            at(backUs + (long) (random.nextDouble() * RESTART_US),
                () -> fleet.set(g, new Rig(settings, random.nextLong(), nowUs, list(backUs))));
        }

        private void arrive(int g) {
            at(nowUs + (long) (-Math.log(1 - random.nextDouble()) * 1e6 / perS[g]), () -> {
                Rig rig = fleet.get(g);
                take(rig, rig.pass(nowUs - rig.nowUs));
                take(rig, rig.offer(random.nextInt(SERVERS)));
                arrive(g);
            });
        }

        /** The servers die: their calls are cut and they refuse connections. */
        private void goes() {
            away = true;
            for (int i = 0; i < SERVERS; i++) {
                starts[i] += goes(i) ? 1 : 0;
                inUse[i] = goes(i) ? 0 : inUse[i];
            }
        }

        private void take(Rig rig, List<Action> actions) {
            for (Action action : actions) {
                if (action instanceof Attempt a) {
                    int copy = rig.copy(a);
                    sent(rig, a, copy, number(a.server()));
                }
            }
        }

        private List<Double> report(int server) {
            return List.of(lines - inUse[server], lines);
        }

        private void sent(Rig rig, Attempt a, int copy, int server) {
            if (away && goes(server)) {
                at(nowUs + ANSWER_US / 4, () -> failed(rig, a, copy, State.CONNECT_ERROR, 0, List.of()));
                return;
            }
            sends.get(server).add(nowUs);
            int start = starts[server];
            if (inUse[server] >= lines) {
                at(nowUs + ANSWER_US, () -> failed(rig, a, copy, State.QUEUE_FULL, 1, report(server)));
                return;
            }
            inUse[server]++;
            at(nowUs + ANSWER_US, () -> {
                if (starts[server] != start) {
                    failed(rig, a, copy, State.RESET_BY_PEER, 0, List.of());
                    return;
                }
                feed(rig, new Started(a.call(), copy, a.server(), ANSWER_US));
                at(nowUs + (long) (-Math.log(1 - random.nextDouble()) * HOLD_US), () -> {
                    boolean cut = starts[server] != start;
                    inUse[server] -= cut ? 0 : 1;
                    feed(rig, new Result(a.call(), copy, cut ? State.RESET_BY_PEER : State.OK, true, a.server(), 0, 0,
                        cut ? List.of() : report(server)));
                });
            });
        }

        private void failed(Rig rig, Attempt a, int copy, State state, long why, List<Double> report) {
            feed(rig, new Result(a.call(), copy, state, false, a.server(), 0, why, report));
        }

        private void feed(Rig rig, Event event) {
            take(rig, rig.pass(nowUs - rig.nowUs));
            take(rig, rig.feed(event));
        }

        /** The windows in which a server that returned was sent too much. */
        List<String> over() {
            List<String> over = new ArrayList<>();
            Rules rules = settings.rules();
            for (int i = 0; i < SERVERS; i++) {
                ArrayDeque<Long> window = new ArrayDeque<>();
                for (long sentUs : sends.get(i)) {
                    if (!goes(i) || sentUs < backUs) {
                        continue;
                    }
                    sentCold++;
                    window.add(sentUs);
                    while (window.peekFirst() <= sentUs - rules.fallUs()) {
                        window.pollFirst();
                    }
                    double age = Math.max(0, sentUs - rules.fallUs() - backUs) / (double) rules.coldUs();
                    double n = rules.overloadFactor() * (rules.coldFrom() + (1 - rules.coldFrom()) * age) * capacityPerS
                        * rules.fallUs() / 1e6;
                    double most = n + 2 * Math.sqrt(n) + 2;
                    if (window.size() > most) {
                        over.add(id(i) + " at " + (sentUs - backUs) / 1000 + " ms: " + window.size() + " of " + most);
                    }
                }
            }
            return over;
        }
    }

    private record Later(long atUs, long order, Runnable what) {}
}
