package grebewick.core;

import grebewick.core.CallControl.*;
import grebewick.core.EventLog.Event;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * The calls of one gatekeeper, whatever wire they come by. The decisions are the module's; here each call has
 * its owner and its end, and here the rules are guarded. Not thread safe: one event loop drives it.
 *
 * <p>A call is held, out at one server, or standing. Its life, from top to bottom: {@link #offer}, attempt,
 * {@link #ended} or {@link #stood}, the answer, then {@link #over}, {@link #releasedByCaller} or an interruption.
 */
public final class Gatekeeper<P> {
    /** us. What is kept back of a caller's wait, so that the answer is there before it gives up. */
    static final long ANSWER_MARGIN_US = 50_000;

    /** us. After a call's end, for the module to answer first. */
    private static final long GUARD_US = 5_000;

    private final Settings set;
    private final Clock clock;
    private final Timers timers;
    private final Servers<P> servers;
    private final BiConsumer<Integer, byte[]> peers;
    private final Consumer<String> log;
    private final EventLog eventLog;
    private final CallTable<P> calls = new CallTable<>();
    private final SpentCalls spentCalls = new SpentCalls();
    private final ListLeases leases;
    private final AttemptRules rules;
    private final PendingTimers pendingTimers;
    private final ModuleEvents events;
    private final InterruptedCalls interruptedCalls = new InterruptedCalls();
    /** Attempts that wait for what has come in to be read. */
    private final ArrayDeque<OpenAttempt> leaving = new ArrayDeque<>();
    /** Servers of the list whose readiness has run out, as the module was told last. */
    private Set<String> expired = Set.of();
    /** us. When the leases are looked at next at the latest. */
    private long leasesArmedUs = Long.MAX_VALUE;
    private long runNo;
    private boolean running;
    private long nowUs;

    /** {@code peers} takes a gatekeeper's number (negative: all) and at most 256 bytes for it. */
    public Gatekeeper(Settings set, CallControl module, Clock clock, Timers timers, Servers<P> servers,
                      BiConsumer<Integer, byte[]> peers, Consumer<String> log) {
        this.set = set;
        this.clock = clock;
        this.timers = timers;
        this.servers = servers;
        this.peers = peers;
        this.log = log;
        eventLog = new EventLog(log, clock);
        leases = new ListLeases(set.rules().drainGraceUs(), eventLog);
        rules = new AttemptRules(set.bounds(), leases);
        pendingTimers = new PendingTimers(timers, () -> runOnce(() -> {}));
        events = new ModuleEvents(module, this::act, log);
    }

    // ---- the life of a call

    /** A caller's call. The answer comes through {@code caller}, at the earliest before this returns. */
    public long offer(Offer<P> offer, Callers<P> caller) {
        long id = calls.nextId();
        runOnce(() -> {
            if (!interruptedCalls.isEmpty()) {
                endInterruptedCalls();
            }
            CallState<P> call = new CallState<>(id, offer, caller, nowUs + Math.max(0, offer.leftUs() - ANSWER_MARGIN_US));
            calls.add(call);
            if (calls.unanswered() > set.bounds().maxOpen()) {
                refuse(call, "too-many-open", () -> caller.refused(id, set.bounds().maxRetryAfterUs()));
                return;
            }
            if (spentCalls.has(offer.id(), nowUs)) {
                refuse(call, "may-have-run-before", () -> caller.failed(id));
                return;
            }
            pendingTimers.add(call.dropDeadUs + GUARD_US, PendingTimers.Kind.END_OF_CALL, id, 0);
            events.add(new Call(id, call.dropDeadUs, false, false, offer.isRetry(), offer.units(),
                offer.reconnect(), 0, "", offer.hop(), offer.item(), offer.farEnd(), offer.band()));
        });
        return id;
    }

    /** The module's choice of a server. The rules hold here even where the module should be wrong. */
    private void attempt(Attempt chosen) {
        CallState<P> call = calls.find(chosen.call());
        if (call == null) {
            log.accept("guard: an attempt for call " + chosen.call() + ", which is over");
            return;
        }
        int copy = call.copies++;
        String violation = rules.violation(call, copy, chosen.server(), nowUs);
        if (violation != null) {
            log.accept("guard: " + violation);
            events.add(new Result(call.id, copy, State.IGNORED, call.answered, chosen.server(), 0, 0, List.of()));
            return;
        }
        long leftUs = call.dropDeadUs - nowUs;
        long waitUs = chosen.patienceUs() == 0 ? leftUs : Math.min(chosen.patienceUs(), leftUs);
        call.attempt = new OpenAttempt(call.id, copy, chosen.server(), nowUs, waitUs);
        pendingTimers.add(call.attempt.endUs, PendingTimers.Kind.END_OF_ATTEMPT, call.id, copy);
        leaveAfterInput(call.attempt);
    }

    private void leaveAfterInput(OpenAttempt attempt) {
        leaving.add(attempt);
        if (leaving.size() == 1) {
            timers.afterInput(() -> runOnce(this::leave));
        }
    }

    /**
     * What was chosen leaves. Guards against set-ups for callers that have left, to servers that drain and to those whose
     * readiness has run out: a loop that comes late has chosen before it has read what came in meanwhile.
     */
    private void leave() {
        for (OpenAttempt attempt = leaving.poll(); attempt != null; attempt = leaving.poll()) {
            CallState<P> call = calls.find(attempt.call);
            if (call == null || call.attempt != attempt) {
                continue;
            }
            if (!rules.isReady(attempt.server, nowUs)) {
                end(call, State.IGNORED, 0, List.of());
            } else if (servers.isGiveUpUnheard(call.id) || nowUs < call.heldUntilUs) {
                hold(call);
            } else {
                send(call);
            }
        }
    }

    private void send(CallState<P> call) {
        OpenAttempt attempt = call.attempt;
        if (attempt.isHeld) {
            attempt.resume(nowUs, call.dropDeadUs);
            pendingTimers.add(attempt.endUs, PendingTimers.Kind.END_OF_ATTEMPT, call.id, attempt.copy);
        }
        // Else its time ends within this run, and nothing has left.
        if (nowUs < attempt.endUs) {
            attempt.left = true;
            servers.setUp(call.id, attempt.copy, attempt.server, call.offer, attempt.endUs - nowUs);
        }
    }

    /** Guards against two servers that have a call at once: the earlier one may not have heard yet that it is given up there. */
    private void hold(CallState<P> call) {
        call.attempt.hold(call.dropDeadUs);
        pendingTimers.add(call.dropDeadUs, PendingTimers.Kind.END_OF_ATTEMPT, call.id, call.attempt.copy);
        if (!servers.isGiveUpUnheard(call.id)) {
            pendingTimers.add(call.heldUntilUs, PendingTimers.Kind.HELD_ATTEMPT, call.id, call.attempt.copy);
        }
    }

    /** The server of an attempt that was given up has heard so, or has lost its connection: its release time begins now. */
    public void giveUpHeard(long id) {
        runOnce(() -> {
            CallState<P> call = calls.find(id);
            if (call != null) {
                call.heldUntilUs = nowUs + set.familyInfo().releaseUs();
                if (call.attempt != null && call.attempt.isHeld) {
                    hold(call);
                }
            }
        });
    }

    /** Whether an attempt of the call waits until the one before it is over at its server. */
    public boolean isHeldBack(long id) {
        CallState<P> call = calls.find(id);
        return call != null && call.attempt != null && call.attempt.isHeld;
    }

    private void endHold(long id, long copy) {
        CallState<P> call = calls.find(id);
        if (call != null && call.attempt != null && call.attempt.copy == copy && call.attempt.isHeld) {
            leaveAfterInput(call.attempt);
        }
    }

    /** An attempt ended without standing. */
    public void ended(long id, int copy, State state, long why, List<Double> metrics) {
        runOnce(() -> {
            CallState<P> call = calls.find(id);
            if (call != null && call.hasOpen(copy)) {
                end(call, state, why, metrics);
            }
        });
    }

    private void end(CallState<P> call, State state, long why, List<Double> metrics) {
        OpenAttempt attempt = call.attempt;
        call.attempt = null;
        if (state == State.TIMED_OUT || state == State.RESET_BY_PEER || state == State.CANCELED) {
            call.notBeforeUs = nowUs + set.familyInfo().releaseUs();
            call.mayHaveRun |= attempt.left;
        }
        call.mayHaveRun |= state == State.FAILED;
        if (state == State.IGNORED && !leases.isValid(attempt.server, nowUs)) {
            call.takenBack++;
        }
        eventLog.write(Event.ATTEMPT_ENDED, () -> "call=" + EventLog.id(call.offer.id()) + " attempt=" + attempt.copy + " server="
            + attempt.server + " state=" + state + " left=" + attempt.left + " after-ms=" + (nowUs - attempt.chosenUs) / 1000);
        if (call.isDetached) {
            // Nobody is there for whom another attempt could be made.
            answer(call, () -> call.caller.failed(call.id));
            events.add(new Hangup(call.id));
        } else if (call.answered) {
            forget(call);
        }
        events.add(new Result(call.id, attempt.copy, state, call.answered, attempt.server, nowUs - attempt.chosenUs, why,
            metrics));
    }

    /**
     * An attempt stands; false where nothing waits for it any more and the server is to release it. At a server that has left
     * the list it is over at once.
     */
    public boolean stood(long id, int copy, P description, List<Double> metrics) {
        CallState<P> call = calls.find(id);
        if (call == null || !call.hasOpen(copy) || call.answered) {
            return false;
        }
        if (call.isDetached) {
            runOnce(() -> end(call, State.CANCELED, 0, List.of()));
            return false;
        }
        runOnce(() -> {
            OpenAttempt attempt = call.attempt;
            call.attempt = null;
            call.standsAt = attempt.server;
            call.stoodUs = nowUs;
            call.offer = call.offer.withoutDescription();
            calls.answered(call);
            call.caller.stands(id, description);
            if (!metrics.isEmpty()) {
                events.add(new Checked(State.OK, attempt.server, 0, metrics));
            }
            events.add(new Started(id, copy, attempt.server, nowUs - attempt.chosenUs));
            if (!rules.isListed(attempt.server)) {
                // The news that ended all calls there has come before this one stood.
                interrupt(call, Interruption.GONE_FROM_LIST);
                endInterruptedCalls();
            }
        });
        return true;
    }

    /** The server ended a standing call. */
    public void over(long id, Ending ending, List<Double> metrics) {
        runOnce(() -> {
            CallState<P> call = calls.find(id);
            if (call != null && call.standsAt != null) {
                finish(call, ending, metrics);
            }
        });
    }

    private void finish(CallState<P> call, Ending ending, List<Double> metrics) {
        calls.remove(call);
        call.caller.released(call.id, ending);
        events.add(new Result(call.id, call.copies - 1, ending == Ending.CUT ? State.RESET_BY_PEER : State.OK, true,
            call.standsAt, nowUs - call.stoodUs, 0, metrics));
    }

    /** The caller ended a standing call. */
    public void releasedByCaller(long id) {
        runOnce(() -> {
            CallState<P> call = calls.find(id);
            if (call != null && call.standsAt != null) {
                calls.remove(call);
                servers.release(id, call.standsAt);
                events.add(new Result(id, call.copies - 1, State.CANCELED, true, call.standsAt,
                    nowUs - call.stoodUs, 0, List.of()));
            }
        });
    }

    /** The caller gave the set-up up: nothing is owed, and what is out is given up. */
    public void hangup(long id) {
        runOnce(() -> {
            CallState<P> call = calls.find(id);
            if (call != null && !call.answered) {
                answer(call, () -> {});
                events.add(new Hangup(id));
                if (call.attempt != null) {
                    giveUp(call, State.CANCELED);
                }
            }
        });
    }

    /**
     * The caller's connection is lost under a set-up. One that is out and can't be taken back stays out, and its caller may come
     * back for its answer ({@link #reattach}); no other attempt follows it. Any other call is hung up. True: it stays out.
     */
    public boolean detach(long id) {
        CallState<P> call = calls.find(id);
        if (call == null || call.answered) {
            return false;
        }
        if (call.attempt == null || !call.attempt.left || !servers.outlivesCaller(id)) {
            hangup(id);
            return false;
        }
        call.isDetached = true;
        return true;
    }

    /** The caller of a detached call is back and waits for its answer. */
    public void reattach(long id) {
        CallState<P> call = calls.find(id);
        if (call != null) {
            call.isDetached = false;
        }
    }

    private void giveUp(CallState<P> call, State state) {
        if (call.attempt.left) {
            servers.giveUp(call.id, call.attempt.copy, call.attempt.server);
        }
        end(call, state, 0, List.of());
    }

    /** A final answer other than success, and why. */
    private void refuse(CallState<P> call, String reason, Runnable how) {
        if (!call.answered) {
            eventLog.write(Event.CALL_REFUSED, () -> "call=" + EventLog.id(call.offer.id()) + " reason=" + reason + " attempts="
                + call.copies + " left-ms=" + (call.dropDeadUs - nowUs) / 1000);
        }
        answer(call, how);
    }

    /** The one place where a call that does not stand gets its final answer. */
    private void answer(CallState<P> call, Runnable how) {
        if (call.answered) {
            return;
        }
        calls.answered(call);
        if (call.attempt == null) {
            forget(call);
        }
        how.run();
    }

    /** A call that never stood is over. */
    private void forget(CallState<P> call) {
        calls.remove(call);
        if (call.mayHaveRun) {
            spentCalls.add(call.offer.id(), nowUs);
        }
    }

    /** Answers at once; an attempt still out is given up, as no answer of it could be passed on. */
    private void answerNow(long id, String reason, Consumer<CallState<P>> how) {
        CallState<P> call = calls.find(id);
        if (call != null && !call.answered) {
            refuse(call, reason, () -> how.accept(call));
            if (call.attempt != null) {
                giveUp(call, State.CANCELED);
            }
        }
    }

    /** The process ends: who still waits has its answer now. */
    public void answerAll() {
        runOnce(() -> calls.ids().forEach(id -> lastAnswer(id, "process-ends")));
    }

    /** The way to a caller ends from this side: it has its answer now, if it still waits. */
    public void answer(long id) {
        runOnce(() -> lastAnswer(id, "no-second-attempt"));
    }

    /** A refusal where no server can have run the call. */
    private void lastAnswer(long id, String reason) {
        answerNow(id, reason, call -> {
            if (call.isMaybeRunning()) {
                call.caller.failed(id);
            } else {
                call.caller.refused(id, set.bounds().maxRetryAfterUs());
            }
            events.add(new Hangup(id));
        });
    }

    // ---- news of the servers

    /** News of the list; a call that stood at one of {@code dead} before the moment given is cut. */
    public void fleet(Fleet news, Map<String, Long> dead) {
        runOnce(() -> {
            rules.update(news);
            // First, so that the module sends nothing to a listed server that is not confirmed.
            checkLeases();
            events.add(news);
            new TreeMap<>(dead).forEach((server, beforeUs) -> interrupt(server, beforeUs, Interruption.GONE_FROM_LIST));
        });
    }

    /** What is held of the list was confirmed; from the first time on it holds for no longer than a lease. */
    public void confirmed(ListConfirmation confirmation) {
        runOnce(() -> {
            leases.confirm(confirmation);
            checkLeases();
        });
    }

    /** The list is put together from these zones from now on. */
    public void zonesFollowed(Collection<String> zones) {
        runOnce(() -> {
            leases.retainZones(zones);
            checkLeases();
        });
    }

    /** Whether what the list says of a server was confirmed recently enough to hold. */
    public boolean isConfirmed(String server) {
        return leases.isValid(server, Math.max(nowUs, clock.nowUs()));
    }

    private void checkLeases() {
        if (nowUs >= leases.dueUs()) {
            Set<String> now = leases.check(nowUs, rules.listed());
            if (!now.equals(expired)) {
                boolean isMore = !expired.containsAll(now);
                expired = now;
                events.add(new ReadinessChanged(now));
                if (isMore) {
                    servers.takeBackUnsent();
                }
            }
        }
        if (leases.dueUs() < leasesArmedUs) {
            leasesArmedUs = leases.dueUs();
            pendingTimers.add(leasesArmedUs, PendingTimers.Kind.LIST_LEASES, 0, 0);
        }
    }

    /** The server's process is known to be dead: it refuses connections. */
    public void died(String server) {
        runOnce(() -> interrupt(server, Long.MAX_VALUE, Interruption.CONNECTION_REFUSED));
    }

    /** Calls that can't stand any more. */
    public void interrupted(Collection<Long> ids, Interruption why) {
        runOnce(() -> {
            for (long id : ids) {
                CallState<P> call = calls.find(id);
                if (call != null && call.standsAt != null) {
                    interrupt(call, why);
                }
            }
            endInterruptedCalls();
        });
    }

    /** A call that stood there before {@code beforeUs} can't stand any more. */
    private void interrupt(String server, long beforeUs, Interruption why) {
        calls.standingAt(server, beforeUs).forEach(call -> interrupt(call, why));
        endInterruptedCalls();
    }

    private void interrupt(CallState<P> call, Interruption why) {
        if (call.interruption == null) {
            call.interruption = why;
            interruptedCalls.add(call.id);
        }
    }

    /** Ends one slice of the calls that were cut; the rest follows in runs of its own, and before what is new. */
    private void endInterruptedCalls() {
        if (interruptedCalls.endSlice(runNo, this::endInterrupted)) {
            pendingTimers.add(nowUs + InterruptedCalls.GAP_US, PendingTimers.Kind.INTERRUPTED_CALLS, 0, 0);
        }
    }

    private void endInterrupted(long id) {
        CallState<P> call = calls.find(id);
        if (call != null && call.standsAt != null) {
            eventLog.write(Event.CALL_ENDED,
                () -> "call=" + EventLog.id(call.offer.id()) + " server=" + call.standsAt + " reason="
                    + call.interruption + " stood-ms=" + (nowUs - call.stoodUs) / 1000);
            servers.release(id, call.standsAt);
            finish(call, Ending.CUT, List.of());
        }
    }

    /** A report that came unasked, or the end of a probe. */
    public void checked(String server, State state, long costUs, List<Double> metrics) {
        runOnce(() -> events.add(new Checked(state, server, costUs, metrics)));
    }

    /** Bytes from another gatekeeper. */
    public void neighbourSays(int peer, byte[] bytes) {
        runOnce(() -> events.add(new NeighbourSays(peer, bytes)));
    }

    /** Calls that still want their answer. */
    public int unanswered() {
        return calls.unanswered();
    }

    /** Calls that have an attempt out, wait or stand: nothing is kept of any other. */
    public int calls() {
        return calls.size();
    }

    // ---- runs and time

    /** One run: time is read once; what a step or the module brings about is told before the run ends. */
    private void runOnce(Runnable step) {
        if (running) {
            step.run();
            return;
        }
        running = true;
        runNo++;
        nowUs = Math.max(nowUs, clock.nowUs());
        try {
            checkLeases();
            step.run();
            events.deliver(nowUs);
            for (PendingTimers.Timer timer = pendingTimers.pollDue(nowUs); timer != null; timer = pendingTimers.pollDue(nowUs)) {
                due(timer);
                events.deliver(nowUs);
            }
        } finally {
            running = false;
            pendingTimers.arm(nowUs);
        }
    }

    private void due(PendingTimers.Timer timer) {
        switch (timer.kind()) {
            case REMINDER -> events.add(new Due(timer.number()));
            case HELD_ATTEMPT -> endHold(timer.call(), timer.number());
            case END_OF_ATTEMPT -> endAttempt(timer.call(), timer.number());
            case END_OF_CALL -> endCall(timer.call());
            case LIST_LEASES -> {
                leasesArmedUs = Long.MAX_VALUE;
                checkLeases();
            }
            case INTERRUPTED_CALLS -> {
                interruptedCalls.timerFired();
                endInterruptedCalls();
            }
        }
    }

    private void endAttempt(long id, long copy) {
        CallState<P> call = calls.find(id);
        if (call != null && call.attempt != null && call.attempt.copy == copy && nowUs >= call.attempt.endUs) {
            timeOut(call);
        }
    }

    /** Guards the first rule: whatever the module holds back, the caller has its answer in time. */
    private void endCall(long id) {
        CallState<P> call = calls.find(id);
        if (call == null || call.standsAt != null) {
            return;
        }
        if (call.attempt != null) {
            timeOut(call);
        }
        if (!call.answered) {
            log.accept("guard: call " + id + " had no answer at its end");
            refuse(call, "no-answer-in-time", () -> call.caller.failed(id));
            events.add(new Hangup(id));
        }
    }

    private void timeOut(CallState<P> call) {
        // One that was held back says nothing of the server that it was to go to.
        giveUp(call, call.attempt.isHeld ? State.CANCELED : State.TIMED_OUT);
        events.deliver(nowUs);
    }

    // ---- what the module decides

    private void act(Action action) {
        if (action instanceof Attempt a) {
            attempt(a);
        } else if (action instanceof Withdraw a) {
            withdraw(a);
        } else if (action instanceof Refuse a) {
            answerNow(a.call(), "module-refuses", call -> call.caller.refused(call.id, a.notBeforeForUs()));
        } else if (action instanceof Surrender a) {
            answerNow(a.call(), "module-gives-up", call -> call.caller.failed(call.id));
        } else if (action instanceof Remind a) {
            pendingTimers.add(Math.max(a.momentUs(), nowUs + 1), PendingTimers.Kind.REMINDER, 0, a.name());
        } else if (action instanceof AskLoad a) {
            servers.probe(a.server());
        } else if (action instanceof Close a) {
            servers.closeIdle(a.server());
        } else if (action instanceof Signal a) {
            peers.accept(a.peer(), a.bytes());
        } else if (action instanceof Trace a) {
            log.accept("module: " + a.text());
        }
        // Observe and Fetch: the list is polled all the time.
    }

    private void withdraw(Withdraw a) {
        CallState<P> call = calls.find(a.call());
        if (call != null && call.hasOpen(a.copy())) {
            giveUp(call, State.CANCELED);
        }
    }
}
