package grebewick.core;

import java.util.*;
import java.util.function.Consumer;

/**
 * The decisions of one gateway: which server gets a set-up, when a call waits, tries again or is refused.
 * Types are in {@code CallControl.java}. The throttle is the enhanced Kawahara algorithm; see docs/design.md.
 */
public final class Logic implements CallControl {
    /** us. Target processing delay Td at the most (ours, from the design page; see {@link #tdUs}). */
    private static final long TD_MOST_US = 1_000_000;
    /** Part of Resend, or of the tightest aim, that Td is (ours: a wait above Td shows only when it ends). */
    private static final double TD_PART = 0.5;
    /** us. Interval at whose end a limit is set (tau; design: 5 s in the paper). */
    private static final long TAU_US = 5_000_000;
    /** Part of the tightest aim that a call waits at its first choice (ours: brief, another can follow). */
    private static final double HOLD_PART = 0.4;
    /** New sample's part in smoothed delays and rates (ours: about the last five samples). */
    private static final double SMOOTH = 0.2;
    /** Part of the cold budget that is used (ours: margin for chance, repeats and unequal gateways). */
    private static final double RATION_PART = 0.8;
    /** Ticks in a Td (ours: how closely ages of open set-ups are watched). */
    private static final int TICKS_IN_TD = 8;
    /** Ticks without a turn after which this gateway stood still (ours: more than a tick that came late). */
    private static final int STALL_TICKS = 3;
    /** Log lines in a life (ours: bounded). */
    private static final int LOG_LINES = 30;
    /** Parts of the usual lines in use: above, a server has not died, below, it has (ours: far apart). */
    private static final double STILL_UP = 0.5;
    private static final double GONE_DOWN = 0.1;
    /** us. Before a call's end a refusal still tells its caller that trying again is harmless. */
    private static final long REFUSAL_LEAD_US = 20_000;
    static final int OFF = Integer.MAX_VALUE;
    private static final long UNPHASED = Long.MIN_VALUE;
    /** Name of the periodic reminder; call ids are below it. */
    private static final long TICK = 1L << 52;

    private final Settings set;
    private final Random random;
    private final Map<String, Integer> gradeOf = new HashMap<>();
    private final List<Set<Integer>> places = new ArrayList<>();
    private final Map<String, Server> servers = new TreeMap<>();
    /** Servers that nobody has confirmed to be ready for too long. */
    private Set<String> expired = Set.of();
    private final Map<Long, Pending> pending = new LinkedHashMap<>();
    private final Map<Long, Out> outs = new HashMap<>();
    private final Set<Long> standing = new HashSet<>();
    private final ArrivalTimes arrivals;
    private final CalledNumbers numbers;
    private final long tdUs;
    private final long holdUs;
    private final long hardLimitUs;
    private final long barMostUs;
    private final long tickUs;
    private final double worthMost;
    /** Own completions a second at all servers; negative: not known yet. */
    private double totalPerS = -1;
    /** Usual lines of all servers and of one; negative: not summed up since they changed. */
    private double usualSum = -1;
    private double usualMean;
    private long nowUs;
    private Consumer<Action> out;
    private boolean running;
    private long intervalFromUs;
    private long intervalEndUs;
    private long askUs;
    /** When this gateway last stood still until: what was out then tells nothing of its server. */
    private long backlogUs = Long.MIN_VALUE;
    private int logged;

    /** Makes the call control of one gateway; settings that cannot work are refused with the field named. */
    public Logic(Settings settings, long seed) {
        set = settings;
        random = new Random(seed);
        SettingsCheck.check(set);
        boolean pools = pools();
        List<List<Integer>> byClass = set.familyInfo().poolsByClass();
        long aimUs = Long.MAX_VALUE;
        long limitUs = 0;
        double most = 0;
        for (int i = 0; i < set.grades().size(); i++) {
            Grade grade = set.grades().get(i);
            gradeOf.put(grade.name(), i);
            places.add(pools ? Set.copyOf(byClass.get(i)) : Set.of());
            aimUs = Math.min(aimUs, grade.goalTimeUs());
            limitUs = Math.max(limitUs, grade.hardLimitUs());
            most = Math.max(most, grade.worth());
        }
        hardLimitUs = limitUs;
        worthMost = most > 0 ? most : 1;
        // Well under Resend, as repeats are work, and under the aim, so that a held call stands in time.
        long resendUs = set.familyInfo().resendUs();
        tdUs = Math.min(TD_MOST_US, (long) (TD_PART * Math.min(aimUs, resendUs > 0 ? resendUs : aimUs)));
        numbers = new CalledNumbers(tdUs, TAU_US);
        // A recovered server is to be found again in seconds at any size.
        barMostUs = Math.min(TAU_US, tdUs * set.replicasOfMe());
        holdUs = (long) (aimUs * HOLD_PART);
        tickUs = Math.max(Math.max(1, set.periodUs()), tdUs / TICKS_IN_TD);
        arrivals = new ArrivalTimes(tickUs);
    }

    private boolean pools() {
        return set.familyInfo().shape().equals("pools");
    }

    // ---- events

    @Override
    public void handle(long atUs, Event event, Consumer<Action> actions) {
        if (running && atUs - nowUs > STALL_TICKS * tickUs) {
            // This gateway stood still, as a tick is always due.
            backlogUs = atUs;
        }
        nowUs = atUs;
        out = actions;
        if (!running) {
            begin();
        }
        if (event instanceof Call call) {
            onCall(call);
        } else if (event instanceof Started started) {
            onStarted(started);
        } else if (event instanceof Result result) {
            onResult(result);
        } else if (event instanceof Due due) {
            onDue(due.name());
        } else if (event instanceof Fleet fleet) {
            onFleet(fleet);
        } else if (event instanceof Hangup hangup) {
            onHangup(hangup.call());
        } else if (event instanceof ReadinessChanged change) {
            onReadinessChanged(change.expired());
        } else if (event instanceof Checked checked && servers.containsKey(checked.server())) {
            learn(servers.get(checked.server()), checked.metrics());
        }
    }

    /** The first interval's length is drawn, so that gateways started together do not step together. */
    private void begin() {
        running = true;
        intervalFromUs = nowUs;
        intervalEndUs = nowUs + 1 + (long) (random.nextDouble() * TAU_US);
        out.accept(new Remind(nowUs + tickUs, TICK));
        if (set.registryMode().equals("ask")) {
            askUs = Math.max(tdUs, 1);
            out.accept(new Observe(true));
        }
    }

    private void onDue(long name) {
        if (name == TICK) {
            out.accept(new Remind(nowUs + tickUs, TICK));
            if (askUs < 0 && nowUs >= -askUs) {
                askUs = Math.max(tdUs, 1);
                out.accept(new Observe(true));
            }
            for (Server s : servers.values()) {
                if (s.oldestAgeUs() > s.targetUs()) {
                    overload(s);
                }
            }
            if (nowUs >= intervalEndUs) {
                endInterval();
            }
            serveHeld();
        } else {
            Pending p = pending.get(name);
            if (p != null && p.server == null && nowUs >= p.wakeUs) {
                place(p);
            }
        }
    }

    private void onFleet(Fleet fleet) {
        if (fleet.scope() == Scope.ERROR) {
            if (set.registryMode().equals("ask")) {
                askUs = -(nowUs + tdUs + (long) (random.nextDouble() * tdUs));
            }
            return;
        }
        if (fleet.scope() != Scope.PARTIAL) {
            servers.values().forEach(s -> s.stage = Stage.DEREGISTERED);
        }
        for (ServerEntry entry : fleet.entries()) {
            Server s = servers.get(entry.server());
            if (s == null || entry.startedAtUs() > s.startedAtUs) {
                s = new Server(entry.server(), entry.placeNo(), entry.startedAtUs());
                for (Server before : servers.values()) {
                    s.usualLines = before.place == s.place ? before.usualLines : s.usualLines;
                }
                servers.put(s.id, s);
                if (!cold(s) && set.bounds().probes()) {
                    // Without a report L is at its floor, and the first would come with the first call's end.
                    out.accept(new AskLoad(s.id));
                }
            }
            s.stage = entry.stage();
            s.zone = entry.zone();
        }
        usualSum = -1;
        // Not within the loop: a server's part is one of all that are listed.
        servers.values().stream().filter(s -> s.rationFromUs == UNPHASED && cold(s)).forEach(this::phase);
        endWaitForConfirmation();
        serveHeld();
    }

    /** Servers get nothing while nobody confirms that they are ready; calls wait for that. */
    private void onReadinessChanged(Set<String> now) {
        expired = now;
        endWaitForConfirmation();
        serveHeld();
    }

    /** Calls that waited for a confirmation look for a server anew, with time as any call has. */
    private void endWaitForConfirmation() {
        for (Pending p : pending.values()) {
            if (p.awaitsConfirmation) {
                p.awaitsConfirmation = false;
                p.giveUpUs = Math.min(p.call.dropDeadUs(), Math.max(p.giveUpUs, nowUs + holdUs));
            }
        }
    }

    private void onCall(Call call) {
        Integer grade = gradeOf.get(call.band());
        if (pending.containsKey(call.call())) {
            return;
        }
        Pending p = new Pending(call, grade == null ? -1 : grade);
        pending.put(call.call(), p);
        if (grade == null || call.dropDeadUs() <= nowUs) {
            giveUp(p, 0);
            return;
        }
        long stretchUs = (long) (p.grade.aimStretch() * Math.max(0, call.estimateUs()));
        long arrivedUs = arrivals.arrivedUs(call.dropDeadUs(), nowUs, nowUs == backlogUs);
        long firstUs = arrivals.firstTryUs(call.item(), arrivedUs);
        p.aimUs = firstUs + Math.min(p.grade.goalTimeUs() + stretchUs, p.grade.hardLimitUs());
        p.spillUs = Math.min(nowUs + holdUs, call.dropDeadUs());
        p.giveUpUs = p.spillUs;
        place(p);
    }

    private void onStarted(Started started) {
        Out o = outs.get(started.call());
        if (o == null || o.copy != started.copy()) {
            return;
        }
        close(started.call(), o);
        standing.add(started.call());
        Server s = o.server;
        s.completed++;
        s.stoodSentUs = Math.max(s.stoodSentUs, o.sentUs);
        s.faults = Math.max(0, s.faults - 0.5);
        s.barUs = s.faults == 0 ? tdUs : s.barUs;
        if (o.sentUs >= backlogUs) {
            s.sample(nowUs - o.sentUs);
            if (nowUs - o.sentUs > s.targetUs() && !s.overtaken(o.sentUs)) {
                overload(s);
            }
        }
        Pending p = pending.remove(started.call());
        if (p != null) {
            numbers.completed(p.call.item());
        }
        serveHeld();
    }

    private void onResult(Result r) {
        Server s = servers.get(r.server());
        if (s != null) {
            s.takenSinceTold--;
            learn(s, r.metrics());
        }
        if (standing.remove(r.call())) {
            if (s != null && r.state() == State.RESET_BY_PEER && s.stage == Stage.HEALTHY) {
                down(s, 0.5);
            } else if (s != null && r.state() == State.OK && s.faults < 1) {
                s.faults = Math.max(0, s.faults - 0.5);
            }
            return;
        }
        Out o = outs.get(r.call());
        if (o == null || o.copy != r.copy()) {
            return;
        }
        close(r.call(), o);
        judge(o, r);
        Pending p = pending.get(r.call());
        if (p != null && r.terminal()) {
            pending.remove(r.call());
        } else if (p != null) {
            again(p, o, r);
        }
        serveHeld();
    }

    private void onHangup(long call) {
        Pending p = pending.remove(call);
        Out o = outs.get(call);
        if (p != null && o != null && set.bounds().cancel()) {
            out.accept(new Withdraw(call, o.copy));
        }
    }

    // ---- what an ended attempt says of its server

    private void judge(Out o, Result r) {
        Server s = o.server;
        int code = (int) (r.why() & 15);
        switch (r.state()) {
            case QUEUE_FULL -> {
                if (code == 3) {
                    overload(s);
                    s.limit = 1;
                    s.refuted = true;
                    // A full processor pays for each refusal: stay away, for as long as it says at the least.
                    s.pausedUntilUs = nowUs + Math.min((r.why() >> 4) * 1000, TAU_US);
                    fault(s, 1);
                } else if (code == 1) {
                    s.free = s.free < 0 ? s.free : 0;
                }
            }
            case TIMED_OUT -> {
                if (!s.overtaken(o.sentUs) && nowUs != backlogUs) {
                    overload(s);
                    s.limit = 1;
                    s.refuted = true;
                    s.sample(nowUs - o.sentUs);
                    // One lost answer is no silence yet.
                    fault(s, 0.5);
                }
            }
            case CONNECT_ERROR -> down(s, 1);
            case RESET_BY_PEER -> fault(s, 0.5);
            case FAILED -> {
                if (code != 4) {
                    fault(s, 0.15);
                }
            }
            default -> {}
        }
    }

    /**
     * Guards against servers that refuse, answer nothing, cut or fail calls, whatever the list says: barred
     * for a while that doubles, then trials. Catches a server cut off from this gateway alone. Could harm
     * where single faults are common: those weigh little.
     */
    private void fault(Server s, double weight) {
        s.faults = Math.min(1, s.faults + weight);
        if (s.faults >= 1 && nowUs >= s.barredUntilUs) {
            s.barredUntilUs = nowUs + s.barUs;
            log("bars " + s.id + " for " + s.barUs / 1000 + " ms");
            s.barUs = Math.min(barMostUs, 2 * s.barUs);
        }
    }

    /** It refused a connection or cut a call that stood: its processor was down, and comes back cold. */
    private void down(Server s, double weight) {
        fault(s, weight);
        if (!s.downSeen) {
            s.downSeen = true;
            phase(s);
        }
    }

    /** Control starts with L at the set-ups then open, floor one. */
    private void overload(Server s) {
        if (s.limit == OFF) {
            s.limit = Math.max(1, Math.min(s.queued(), (int) (s.targetUs() / 1e6 * Math.max(0, s.ratePerS))));
            log("starts control of " + s.id + " at " + s.limit);
        }
        s.overloaded = true;
    }

    private void endInterval() {
        double tauUs = Math.max(1, nowUs - intervalFromUs);
        double sum = 0;
        for (Server s : servers.values()) {
            double rate = s.completed * 1e6 / tauUs;
            s.ratePerS = s.ratePerS < 0 ? rate : s.ratePerS + 0.5 * (rate - s.ratePerS);
            sum += rate;
            if (s.stage == Stage.HEALTHY && !perhapsCold(s) && s.free >= 0 && s.size >= s.free) {
                double lines = s.size - s.free;
                s.usualLines = s.usualLines < 0 ? lines : s.usualLines + SMOOTH * (lines - s.usualLines);
            }
            // No evidence, no end of control: a gateway that sends little may have no outcome in an interval.
            boolean on = s.overloaded || cold(s);
            s.limit = nextLimit(s.limit, s.completed, s.targetUs(), tauUs, on, s.bound);
            s.overloaded = s.overloaded && s.completed == 0;
            s.bound = false;
            s.faults = s.faults >= 1 ? 1 : s.faults / 2 < 0.1 ? 0 : s.faults / 2;
            if (s.completed == 0) {
                s.delayUs *= 0.7;
            }
            s.completed = 0;
        }
        // Slowly forgotten: a ration made from it must not starve itself.
        double part = totalPerS < 0 ? 1 : sum > totalPerS ? 0.5 : sum > 0 ? 0.25 : 0;
        totalPerS = Math.max(0, totalPerS) + part * (sum - Math.max(0, totalPerS));
        usualSum = -1;
        servers.values().removeIf(s -> s.stage == Stage.DEREGISTERED && s.open.isEmpty());
        numbers.endInterval(tauUs);
        arrivals.forgetBefore(nowUs - hardLimitUs);
        intervalFromUs = nowUs;
        intervalEndUs = nowUs + TAU_US;
    }

    /**
     * L = int(Td * N / tau), floor one; off after an interval without an overload outcome. N measures
     * capacity only where the limit was reached; where it was not, N is mere demand and does not lower L.
     */
    static int nextLimit(int limit, int completed, double tdUs, double tauUs, boolean overloaded,
                         boolean bound) {
        if (limit == OFF || !overloaded) {
            return OFF;
        }
        int next = Math.max(1, (int) (tdUs * completed / tauUs));
        return bound ? next : Math.max(limit, next);
    }

    // ---- placing a call

    private void place(Pending p) {
        if (nowUs >= p.call.dropDeadUs()) {
            giveUp(p, 0);
            return;
        }
        if (nowUs < p.releaseUs) {
            wake(p, p.releaseUs);
            return;
        }
        if (numbers.isBlocked(p.call.item(), nowUs)) {
            giveUp(p, set.bounds().maxRetryAfterUs());
            return;
        }
        if (awaitsConfirmation(p)) {
            waitForConfirmation(p);
            return;
        }
        List<Server> allowed = allowed(p);
        Server first = null;
        for (Server s : allowed) {
            first = s.place == p.call.farEnd() ? s : first;
        }
        if (first != null && room(first, late(p))) {
            send(p, first);
            return;
        }
        if (first == null || !usable(first) || nowUs >= p.spillUs) {
            Server other = draw(allowed, first, late(p));
            if (other != null) {
                send(p, other);
                return;
            }
        }
        if (nowUs >= p.giveUpUs || p.call.passing()) {
            giveUp(p, tdUs);
        } else {
            wake(p, nowUs < p.spillUs ? p.spillUs : p.giveUpUs);
        }
    }

    /** Whether servers might take the call, and none of them is confirmed to be ready. */
    private boolean awaitsConfirmation(Pending p) {
        boolean isOneExpired = false;
        if (!expired.isEmpty()) {
            for (Server s : servers.values()) {
                if (mayServe(p, s)) {
                    if (isConfirmed(s)) {
                        return false;
                    }
                    isOneExpired = true;
                }
            }
        }
        return isOneExpired;
    }

    private void waitForConfirmation(Pending p) {
        long lastUs = p.call.dropDeadUs() - REFUSAL_LEAD_US;
        p.awaitsConfirmation = nowUs < lastUs;
        if (p.awaitsConfirmation) {
            wake(p, lastUs);
        } else {
            giveUp(p, tdUs);
        }
    }

    private void wake(Pending p, long atUs) {
        if (p.wakeUs != atUs) {
            p.wakeUs = atUs;
            out.accept(new Remind(atUs, p.call.call()));
        }
    }

    /** Calls that wait get the slots that came free: in time before late, by age, worth counting as age. */
    private void serveHeld() {
        List<Pending> held = new ArrayList<>();
        for (Pending p : pending.values()) {
            if (p.server == null && nowUs >= p.releaseUs && !p.awaitsConfirmation) {
                held.add(p);
            }
        }
        held.sort(Comparator.comparingDouble(this::turn));
        for (Pending p : held) {
            place(p);
        }
    }

    private double turn(Pending p) {
        double worth = p.grade.worth() / worthMost;
        return p.arrivedUs - worth * holdUs + (late(p) ? p.grade.hardLimitUs() : 0);
    }

    private boolean late(Pending p) {
        return nowUs >= p.aimUs;
    }

    /** The servers that may take the call at all. */
    private List<Server> allowed(Pending p) {
        List<Server> result = new ArrayList<>();
        for (Server s : servers.values()) {
            boolean linked = s.size != 0 && (pools() || s.free < 0 || s.free >= Math.max(1, p.call.units()));
            if (mayServe(p, s) && linked && !p.tried.contains(s.id) && isConfirmed(s)) {
                result.add(s);
            }
        }
        return result;
    }

    /** Whether the list and the call's own terms let the server have it. */
    private boolean mayServe(Pending p, Server s) {
        boolean place = pools() ? places.get(p.gradeNo).contains(s.place)
            : s.place != set.familyInfo().homeNo() && (!p.call.passing() || s.place == p.call.farEnd());
        return s.stage == Stage.HEALTHY && place && sameGroup(p, s);
    }

    /** Whether the server's readiness has not run out. */
    private boolean isConfirmed(Server s) {
        return !expired.contains(s.id);
    }

    /** A call that may have run stays where its repeats are discarded. */
    private boolean sameGroup(Pending p, Server s) {
        if (p.ranAt == null || !p.grade.effect().equals("dedup")) {
            return true;
        }
        return nowUs < p.ranUs + p.grade.windowUs() && switch (p.grade.dedupScope()) {
            case "zone" -> s.zone.equals(p.ranAt.zone);
            case "cell" -> s.place == p.ranAt.place;
            default -> true;
        };
    }

    private boolean usable(Server s) {
        return nowUs >= s.barredUntilUs && nowUs >= s.pausedUntilUs;
    }

    /**
     * Whether the server is under its limit, one where it is not proved sound again. A call that is late gets
     * no slot under control, where it would cost one in time; harms where late calls earn much.
     */
    private boolean room(Server s, boolean late) {
        if (late && s.limit != OFF) {
            return false;
        }
        int limit = limitNow(s);
        if (s.queued() >= limit || limit == 1 && nowUs - s.sentUs < slotUs(s)) {
            s.bound = true;
            return false;
        }
        return usable(s) && rationLeft(s) && linesLeft(s, late ? 2 : 1);
    }

    /**
     * L, one where the server is not proved sound again. In the first interval N is not known: until a full
     * processor or a time-out speaks against it, this gateway's share of the reported rate takes its place.
     * Guards against seconds at the floor after every start; harms where reports are far too high.
     */
    private int limitNow(Server s) {
        if (s.faults >= 1 || s.downSeen) {
            return 1;
        }
        boolean unmeasured = s.ratePerS < 0 && !s.refuted && !cold(s) && s.canTake > 0;
        return !unmeasured ? s.limit
            : Math.max(s.limit, (int) (s.targetUs() / 1e6 * s.canTake / set.replicasOfMe()));
    }

    /**
     * How long a slot stays taken after its send where the unrounded L = Td * N / tau is below one: the
     * set-up time over L, as with a whole L, fading out where one set-up of each gateway waits no longer than
     * Td and a hold. At the floor only. Sends fall with the delay seen and rise when it is below Td; over all
     * gateways they settle at what the server completes. Half of N, a noise of a few, is what is usual.
     */
    private double slotUs(Server s) {
        double perUs = (Math.max(0, s.ratePerS) + usualPerS(s)) / 2e6;
        double fade = 1 - perUs * Math.max(s.targetUs(), holdUs);
        return perUs <= 0 || fade <= 0 ? 0
            : fade * Math.max(s.delayUs, s.oldestAgeUs()) / (perUs * s.targetUs());
    }

    /**
     * Beyond the lines that its own calls give back this gateway takes its share of those told to be free.
     * Guards against rounds of refusals by a pool without lines; a late call leaves the last of the share
     * to calls in time. Could idle a few lines where gateways differ much in traffic.
     */
    private boolean linesLeft(Server s, int need) {
        return s.free < 0 || !pools() || (s.takenSinceTold + need - 1) * set.replicasOfMe() < s.free;
    }

    private long coldSinceUs(Server s) {
        return Math.max(s.startedAtUs, s.coldSeenUs);
    }

    private boolean cold(Server s) {
        return coldSinceUs(s) > 0 && nowUs - coldSinceUs(s) < set.rules().coldUs();
    }

    /** Cold, or it may be: it was down, cut calls or kept silent, and has not proved sound since. */
    private boolean perhapsCold(Server s) {
        return !proved(s) || cold(s);
    }

    private boolean proved(Server s) {
        return !s.downSeen && s.faults < 1;
    }

    /**
     * Own completions a second that are usual at the server: its part, by lines in use, of all own ones. A
     * few at one server are noise; lines in use are what all gateways set up. Without reports all are alike.
     */
    private double usualPerS(Server s) {
        if (usualSum < 0) {
            int known = 0;
            int all = 0;
            usualSum = 0;
            for (Server other : servers.values()) {
                boolean counts = other.stage == Stage.HEALTHY && other.usualLines >= 0;
                all += other.stage == Stage.HEALTHY ? 1 : 0;
                known += counts ? 1 : 0;
                usualSum += counts ? Math.max(1, other.usualLines) : 0;
            }
            usualMean = known == 0 ? 1 : usualSum / known;
            usualSum += (all - known) * usualMean;
        }
        double own = s.usualLines < 0 ? usualMean : Math.max(1, s.usualLines);
        return totalPerS * own / Math.max(own, usualSum);
    }

    /**
     * Set-ups a second that this gateway sends a server that may be cold: a part of what is usual there. The
     * part rises from ColdFrom to one in the time Cold, but not past the allowed multiple of what the server
     * can surely do: ColdFrom, or what it reports. Over all gateways that stays below the fall limit. It also
     * lets a jammed server work off its queue. Could starve one where own traffic has just grown.
     */
    private double rationPerS(Server s) {
        double usual = usualPerS(s);
        if (usual <= 0) {
            return 1e6 / TAU_US;
        }
        Rules rules = set.rules();
        double age = proved(s) ? (nowUs - coldSinceUs(s)) / Math.max(1.0, rules.coldUs()) : 0;
        double ramp = rules.coldFrom() + (1 - rules.coldFrom()) * Math.min(1, age);
        double told = s.canTake < 0 ? 0 : s.canTake / set.replicasOfMe() / usual;
        double sure = RATION_PART * rules.overloadFactor() * Math.max(rules.coldFrom(), told);
        return usual * Math.min(Math.max(ramp, RATION_PART * told), sure);
    }

    /** Counts a whole ration in each window of the fall time; one below a set-up is kept by spacing. */
    private boolean rationLeft(Server s) {
        if (!perhapsCold(s)) {
            return true;
        }
        double perS = rationPerS(s);
        int whole = (int) (perS * set.rules().fallUs() / 1e6);
        return nowUs >= s.rationFromUs
            && (whole >= 1 ? within(s.sends, set.rules().fallUs()) < whole : nowUs - s.sentUs >= 1e6 / perS);
    }

    /** Gateways told together start one after the other, over a whole gap: in less they are too many. */
    private void phase(Server s) {
        double gapUs = Math.min(1e6 / rationPerS(s), Integer.MAX_VALUE);
        s.rationFromUs = nowUs + (long) (random.nextDouble() * (gapUs > set.rules().fallUs() ? gapUs : 0));
    }

    /** How many of the times lie in the window that ends now; older ones are dropped. */
    private int within(ArrayDeque<Long> times, long windowUs) {
        while (!times.isEmpty() && times.peekFirst() <= nowUs - windowUs) {
            times.pollFirst();
        }
        return times.size();
    }

    /** Weighted draw among the servers with room: weights fall with own delay or reported load. */
    private Server draw(List<Server> allowed, Server but, boolean late) {
        Server drawn = null;
        double sum = 0;
        for (Server s : allowed) {
            if (s != but && room(s, late)) {
                sum += weight(s);
                drawn = random.nextDouble() * sum <= weight(s) ? s : drawn;
            }
        }
        return drawn;
    }

    private double weight(Server s) {
        double waitUs = Math.max(Math.max(s.delayUs, s.oldestAgeUs()), tdUs / 100.0);
        return (s.canTake >= 0 ? 0.1 + s.canTake : 1) / (waitUs * (1 + Math.max(0, s.queue)));
    }

    private void send(Pending p, Server s) {
        long leftUs = p.call.dropDeadUs() - nowUs;
        long aimLeftUs = p.aimUs - nowUs - set.familyInfo().releaseUs();
        // Leaves time for a second attempt within the aim, but never cuts what the throttle means to allow.
        // Where a second could not be in time, the first is not cut before the aim: its work would be lost.
        long secondUs = aimLeftUs - tdUs;
        long patienceUs = secondUs >= 2 * tdUs ? secondUs : Math.max(2 * tdUs, p.aimUs - nowUs);
        Out o = new Out(s, p.attempts++, nowUs, p.call.item());
        p.server = s;
        outs.put(p.call.call(), o);
        s.open.put(p.call.call(), nowUs);
        s.sentUs = nowUs;
        s.takenSinceTold++;
        s.sends.addLast(nowUs);
        within(s.sends, set.rules().fallUs());
        if (!pools() && s.free >= 0) {
            s.free -= p.call.units();
        }
        numbers.opened(o.item);
        out.accept(new Attempt(p.call.call(), s.id, patienceUs >= leftUs ? 0 : patienceUs));
    }

    private void close(long call, Out o) {
        outs.remove(call);
        o.server.open.remove(call);
        numbers.closed(o.item);
        if (o.server.downSeen) {
            o.server.downSeen = false;
            o.server.coldSeenUs = nowUs;
        }
    }

    /** A failed attempt: another server, after the release time where one is due, else the final answer. */
    private void again(Pending p, Out o, Result r) {
        p.server = null;
        boolean mayHaveRun = r.state() == State.FAILED || r.state() == State.TIMED_OUT
            || r.state() == State.RESET_BY_PEER || r.state() == State.CANCELED;
        if (mayHaveRun && p.ranAt == null) {
            p.ranAt = o.server;
            p.ranUs = o.sentUs;
        }
        if (r.state() == State.FAILED && (r.why() & 15) == 4) {
            numbers.busy(p.call.item(), nowUs);
            giveUp(p, set.bounds().maxRetryAfterUs());
            return;
        }
        if (mayHaveRun && r.state() != State.FAILED) {
            p.releaseUs = nowUs + set.familyInfo().releaseUs();
        }
        if (r.state() == State.IGNORED && !isConfirmed(o.server)) {
            p.takenBack++;
        }
        boolean late = Math.max(nowUs, p.releaseUs) >= p.aimUs;
        if (p.attempts - p.takenBack >= set.bounds().attemptsCap() || p.releaseUs >= p.call.dropDeadUs()
            || p.call.passing()
            || mayHaveRun && p.grade.effect().equals("fragile") || late && p.grade.lateValue() <= 0) {
            giveUp(p, tdUs);
            return;
        }
        p.tried.add(o.server.id);
        if (allowed(p).isEmpty()) {
            p.tried.clear();
        }
        long fromUs = Math.max(nowUs, p.releaseUs);
        p.giveUpUs = Math.min(p.call.dropDeadUs(), Math.max(p.giveUpUs, fromUs + holdUs));
        place(p);
    }

    /** The final answer, at once; with guidance where the caller can use it. */
    private void giveUp(Pending p, long stayAwayUs) {
        pending.remove(p.call.call());
        String effect = p.grade == null ? "" : p.grade.effect();
        boolean refusable = p.ranAt == null || effect.equals("retryable")
            || effect.equals("dedup") && p.grade.dedupScope().equals("all");
        if (!refusable || nowUs >= p.call.dropDeadUs()) {
            out.accept(new Surrender(p.call.call()));
        } else {
            out.accept(new Refuse(p.call.call(),
                set.bounds().retryAfter() ? Math.min(stayAwayUs, set.bounds().maxRetryAfterUs()) : 0));
        }
    }

    // ---- reports

    /** Takes a report in; what is missing, negative or absurd counts as not reported. */
    private void learn(Server s, List<Double> metrics) {
        List<String> fields = set.report().fields();
        double waitUs = -1;
        for (int i = 0; i < Math.min(fields.size(), metrics.size()); i++) {
            Double value = metrics.get(i);
            double v = value == null || !(value >= 0 && value < 1e9) ? -1 : value;
            switch (fields.get(i)) {
                case "free" -> {
                    s.free = v;
                    s.takenSinceTold = 0;
                }
                case "size" -> s.size = v;
                case "can_take" -> s.canTake = v >= 0 ? v : s.canTake;
                case "queue" -> s.queue = v >= 0 ? v : s.queue;
                case "latency_ms" -> waitUs = v >= 0 ? v * 1000 : waitUs;
                default -> {}
            }
        }
        if (s.usualLines > 0 && s.free >= 0 && s.size >= s.free) {
            // A processor that dies cuts all its calls, whatever the list says or this gateway lost.
            double part = (s.size - s.free) / s.usualLines;
            s.downSeen &= part < STILL_UP;
            if (part < GONE_DOWN && s.stage == Stage.HEALTHY) {
                down(s, 0);
            }
        }
        if (waitUs < 0 && s.queue >= 0 && s.canTake > 0) {
            waitUs = s.queue / s.canTake * 1e6;
        }
        if (waitUs > tdUs && Math.max(s.delayUs, s.oldestAgeUs()) > tdUs / 4.0) {
            overload(s);
        }
    }

    private void log(String text) {
        if (logged++ < LOG_LINES) {
            out.accept(new Trace(text));
        }
    }

    // ---- state

    private final class Server {
        final String id;
        final Map<Long, Long> open = new LinkedHashMap<>();
        final ArrayDeque<Long> sends = new ArrayDeque<>();
        Stage stage = Stage.HEALTHY;
        final int place;
        String zone = "";
        final long startedAtUs;
        long coldSeenUs;
        boolean downSeen;
        /** A server just learnt of may be pressed or cold: control is on, at the floor, for an interval. */
        int limit = 1;
        int completed;
        boolean overloaded;
        boolean bound;
        long stoodSentUs = Long.MIN_VALUE;
        long sentUs = -TAU_US;
        long rationFromUs = UNPHASED;
        boolean refuted;
        double delayUs;
        long transitUs = Long.MAX_VALUE;
        double ratePerS = -1;
        double usualLines = -1;
        double faults;
        long barUs = tdUs;
        long barredUntilUs = Long.MIN_VALUE;
        long pausedUntilUs = Long.MIN_VALUE;
        double free = -1;
        int takenSinceTold;
        double size = -1;
        double canTake = -1;
        double queue = -1;

        Server(String id, int place, long startedAtUs) {
            this.id = id;
            this.place = place;
            this.startedAtUs = startedAtUs;
        }

        void sample(long us) {
            delayUs += SMOOTH * (us - delayUs);
            transitUs = Math.min(transitUs, us);
        }

        /**
         * Td and the way there and back, the least delay seen: a set-up is open for both, so where the way
         * is as long as Td, Td alone holds L at its floor at a server at ease. Too high where none found it
         * idle.
         */
        long targetUs() {
            return tdUs + (transitUs == Long.MAX_VALUE ? 0 : Math.min(transitUs, tdUs));
        }

        /**
         * Set-ups by a later one is not in the queue but lost on the way. Guards against taking lost
         * messages for overload; could harm where a server does not keep the order.
         */
        int queued() {
            int n = 0;
            for (long sent : open.values()) {
                n += overtaken(sent) ? 0 : 1;
            }
            return n;
        }

        long oldestAgeUs() {
            for (long sent : open.values()) {
                if (!overtaken(sent)) {
                    return nowUs - Math.max(sent, backlogUs);
                }
            }
            return 0;
        }

        boolean overtaken(long sent) {
            return sent + tickUs < stoodSentUs;
        }
    }

    private record Out(Server server, int copy, long sentUs, String item) {}

    private final class Pending {
        final Call call;
        final Grade grade;
        final int gradeNo;
        final long arrivedUs = nowUs;
        final Set<String> tried = new HashSet<>();
        Server server;
        int attempts;
        /** Of them, those that did not leave, as their server's readiness had run out. */
        int takenBack;
        long aimUs;
        long spillUs;
        long giveUpUs;
        long releaseUs = Long.MIN_VALUE;
        long wakeUs = Long.MIN_VALUE;
        Server ranAt;
        long ranUs;
        /** No server that may have it is confirmed to be ready: looked at again once that has changed. */
        boolean awaitsConfirmation;

        Pending(Call call, int gradeNo) {
            this.call = call;
            this.grade = gradeNo < 0 ? null : set.grades().get(gradeNo);
            this.gradeNo = gradeNo;
        }
    }
}
