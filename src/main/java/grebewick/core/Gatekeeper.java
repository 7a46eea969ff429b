package grebewick.core;

import grebewick.core.CallControl.*;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * The calls of one gatekeeper, whatever wire they come by. The decisions are the module's; here each call has
 * its owner and its end, and here the rules are guarded. Not thread safe: one event loop drives it.
 *
 * <p>A call is held, out at one server, or standing. Its life, from top to bottom: {@link #offer}, attempt,
 * {@link #ended} or {@link #stood}, the answer, then {@link #over}, {@link #releasedByCaller} or a cut.
 */
public final class Gatekeeper<P> {
    /** us. What is kept back of a caller's wait, so that the answer is there before it gives up. */
    static final long ANSWER_MARGIN_US = 50_000;

    /** us. After a call's end, for the module to answer first. */
    private static final long GUARD_US = 5_000;

    /** Cut calls that one run ends, and us to the next: 500 at once must not keep set-ups waiting. */
    private static final int INTERRUPTED_A_RUN = 32;
    private static final long INTERRUPTED_GAP_US = 1_000;
    private static final long INTERRUPTED = -1;

    private final Settings set;
    private final CallControl module;
    private final Clock clock;
    private final Timers timers;
    private final Servers<P> servers;
    private final BiConsumer<Integer, byte[]> peers;
    private final Consumer<String> log;
    private final Map<Long, CallState<P>> calls = new HashMap<>();
    private final Map<String, Stage> fleet = new HashMap<>();
    private final PriorityQueue<PendingTimer> pendingTimers = new PriorityQueue<>(
        Comparator.comparingLong(PendingTimer::atUs).thenComparingLong(PendingTimer::order));
    private final ArrayDeque<Event> inbox = new ArrayDeque<>();
    /** Calls that can't stand any more, and are yet to be ended; the eldest first. */
    private final ArrayDeque<Long> interruptedCalls = new ArrayDeque<>();
    private boolean interruptedArmed;
    /** The run that ended the last slice. */
    private long interruptedRun;
    private long runNo;
    private long order;
    private long nextCall = 1;
    private long nowUs;
    private long armedUs = Long.MAX_VALUE;
    private Runnable armed = () -> {};
    private boolean running;
    private int unanswered;
    /** Attempts that wait for what has come in to be read. */
    private final ArrayDeque<Out> leaving = new ArrayDeque<>();

    /** {@code peers} takes a gatekeeper's number (negative: all) and at most 256 bytes for it. */
    public Gatekeeper(Settings set, CallControl module, Clock clock, Timers timers, Servers<P> servers,
                      BiConsumer<Integer, byte[]> peers, Consumer<String> log) {
        this.set = set;
        this.module = module;
        this.clock = clock;
        this.timers = timers;
        this.servers = servers;
        this.peers = peers;
        this.log = log;
    }

    // ---- the life of a call

    /** A caller's call. The answer comes through {@code caller}, at the earliest before this returns. */
    public long offer(Offer<P> offer, Callers<P> caller) {
        long id = nextCall++;
        runOnce(() -> {
            if (!interruptedCalls.isEmpty()) {
                endInterruptedCalls();
            }
            CallState<P> callState = new CallState<>(id, offer, caller, nowUs + Math.max(0, offer.leftUs() - ANSWER_MARGIN_US));
            unanswered++;
            calls.put(id, callState);
            if (unanswered > set.bounds().maxOpen()) {
                answer(callState, () -> caller.refused(id, set.bounds().maxRetryAfterUs()));
                return;
            }
            at(callState.dropDeadUs + GUARD_US, id, -1);
            inbox.add(new Call(id, callState.dropDeadUs, false, false, offer.isRetry(), offer.units(),
                offer.reconnect(), 0, "", offer.hop(), offer.item(), offer.farEnd(), offer.band()));
        });
        return id;
    }

    /** The module's choice of a server. The rules hold here even where the module should be wrong. */
    private void attempt(Attempt a) {
        CallState<P> callState = calls.get(a.call());
        if (callState == null) {
            log.accept("guard: an attempt for call " + a.call() + ", which is over");
            return;
        }
        int copy = callState.copies++;
        String violation = ruleViolation(callState, copy, a.server());
        if (violation != null) {
            log.accept("guard: " + violation);
            inbox.add(new Result(a.call(), copy, State.IGNORED, callState.answered, a.server(), 0, 0, List.of()));
            return;
        }
        long leftUs = callState.dropDeadUs - nowUs;
        long waitUs = a.patienceUs() == 0 ? leftUs : Math.min(a.patienceUs(), leftUs);
        callState.out = new Out(callState.id, copy, a.server(), nowUs, nowUs + waitUs);
        at(nowUs + waitUs, callState.id, copy);
        leaving.add(callState.out);
        if (leaving.size() == 1) {
            timers.afterInput(() -> runOnce(this::leave));
        }
    }

    /**
     * What was chosen leaves. Guards against set-ups for callers that have left and to servers that drain: a loop that
     * comes late has chosen before it has read what came in meanwhile.
     */
    private void leave() {
        for (Out out = leaving.poll(); out != null; out = leaving.poll()) {
            CallState<P> callState = calls.get(out.call);
            if (callState == null || callState.out != out) {
                continue;
            }
            if (fleet.get(out.server) != Stage.HEALTHY) {
                end(callState, State.IGNORED, 0, List.of());
            } else if (nowUs < out.endUs) {
                // Else its time ends within this run, and nothing has left.
                out.left = true;
                servers.setUp(out.call, out.copy, out.server, callState.offer, Math.max(0, out.endUs - nowUs));
            }
        }
    }

    /** Why an attempt may not leave, or null. */
    private String ruleViolation(CallState<P> callState, int copy, String server) {
        Stage stage = fleet.get(server);
        if (callState.answered) {
            return "call " + callState.id + " is answered";
        } else if (callState.out != null) {
            return "call " + callState.id + " has an attempt out";
        } else if (copy >= set.bounds().attemptsCap()) {
            return "call " + callState.id + " has no attempts left";
        } else if (nowUs < callState.notBeforeUs) {
            return "call " + callState.id + " awaits its release";
        } else if (stage == null) {
            return server + " is not listed";
        } else if (stage != Stage.HEALTHY) {
            return server + " drains or is gone";
        }
        return nowUs >= callState.dropDeadUs ? "call " + callState.id + " is past its time" : null;
    }

    /** An attempt ended without standing. */
    public void ended(long call, int copy, State state, long why, List<Double> metrics) {
        runOnce(() -> {
            CallState<P> callState = calls.get(call);
            if (callState != null && callState.out != null && callState.out.copy == copy) {
                end(callState, state, why, metrics);
            }
        });
    }

    private void end(CallState<P> callState, State state, long why, List<Double> metrics) {
        Out out = callState.out;
        callState.out = null;
        if (state == State.TIMED_OUT || state == State.RESET_BY_PEER || state == State.CANCELED) {
            callState.notBeforeUs = nowUs + set.familyInfo().releaseUs();
            callState.mayHaveRun |= out.left;
        }
        callState.mayHaveRun |= state == State.FAILED;
        if (callState.answered) {
            calls.remove(callState.id);
        }
        inbox.add(new Result(callState.id, out.copy, state, callState.answered, out.server, nowUs - out.sentUs, why, metrics));
    }

    /** An attempt stands; false where nothing waits for it any more and the server is to release it. */
    public boolean stood(long call, int copy, P description, List<Double> metrics) {
        CallState<P> callState = calls.get(call);
        if (callState == null || callState.out == null || callState.out.copy != copy || callState.answered) {
            return false;
        }
        runOnce(() -> {
            Out out = callState.out;
            callState.out = null;
            callState.standsAt = out.server;
            callState.stoodUs = nowUs;
            unanswered--;
            callState.answered = true;
            callState.caller.stands(call, description);
            if (!metrics.isEmpty()) {
                inbox.add(new Checked(State.OK, out.server, 0, metrics));
            }
            inbox.add(new Started(call, copy, out.server, nowUs - out.sentUs));
        });
        return true;
    }

    /** The server ended a standing call. */
    public void over(long call, Ending ending, List<Double> metrics) {
        runOnce(() -> {
            CallState<P> callState = calls.get(call);
            if (callState != null && callState.standsAt != null) {
                finish(callState, ending, metrics);
            }
        });
    }

    private void finish(CallState<P> callState, Ending ending, List<Double> metrics) {
        calls.remove(callState.id);
        callState.caller.released(callState.id, ending);
        inbox.add(new Result(callState.id, callState.copies - 1, ending == Ending.CUT ? State.RESET_BY_PEER : State.OK, true,
            callState.standsAt, nowUs - callState.stoodUs, 0, metrics));
    }

    /** The caller ended a standing call. */
    public void releasedByCaller(long call) {
        runOnce(() -> {
            CallState<P> callState = calls.get(call);
            if (callState != null && callState.standsAt != null) {
                calls.remove(call);
                servers.release(call, callState.standsAt);
                inbox.add(new Result(call, callState.copies - 1, State.CANCELED, true, callState.standsAt,
                    nowUs - callState.stoodUs, 0, List.of()));
            }
        });
    }

    /** The caller gave the set-up up: nothing is owed, and what is out is given up. */
    public void hangup(long call) {
        runOnce(() -> {
            CallState<P> callState = calls.get(call);
            if (callState != null && !callState.answered) {
                answer(callState, () -> {});
                inbox.add(new Hangup(call));
                if (callState.out != null) {
                    giveUp(callState, State.CANCELED);
                }
            }
        });
    }

    private void giveUp(CallState<P> callState, State state) {
        if (callState.out.left) {
            servers.giveUp(callState.id, callState.out.copy, callState.out.server);
        }
        end(callState, state, 0, List.of());
    }

    /** The one place where a call that does not stand gets its final answer. */
    private void answer(CallState<P> callState, Runnable how) {
        if (callState.answered) {
            return;
        }
        callState.answered = true;
        unanswered--;
        if (callState.out == null) {
            calls.remove(callState.id);
        }
        how.run();
    }

    /** Answers at once; an attempt still out is given up, as no answer of it could be passed on. */
    private void answerNow(long call, Consumer<CallState<P>> how) {
        CallState<P> callState = calls.get(call);
        if (callState != null && !callState.answered) {
            answer(callState, () -> how.accept(callState));
            if (callState.out != null) {
                giveUp(callState, State.CANCELED);
            }
        }
    }

    /** The process ends: who still waits has its answer now. */
    public void answerAll() {
        runOnce(() -> List.copyOf(calls.keySet()).forEach(this::lastAnswer));
    }

    /** The way to a caller ends from this side: it has its answer now, if it still waits. */
    public void answer(long call) {
        runOnce(() -> lastAnswer(call));
    }

    /** A refusal where no server can have run the call. */
    private void lastAnswer(long call) {
        answerNow(call, callState -> {
            if ((callState.out == null || !callState.out.left) && !callState.mayHaveRun) {
                callState.caller.refused(call, set.bounds().maxRetryAfterUs());
            } else {
                callState.caller.failed(call);
            }
            inbox.add(new Hangup(call));
        });
    }

    // ---- news of the servers

    /** News of the list; a call that stood at one of {@code dead} before the moment given is cut. */
    public void fleet(Fleet news, Map<String, Long> dead) {
        runOnce(() -> {
            if (news.scope() != Scope.PARTIAL && news.scope() != Scope.ERROR) {
                fleet.clear();
            }
            for (ServerEntry entry : news.entries()) {
                fleet.put(entry.server(), entry.stage());
            }
            inbox.add(news);
            new TreeMap<>(dead).forEach(this::interrupt);
        });
    }

    /** The server's process is known to be dead: it refuses connections. */
    public void died(String server) {
        runOnce(() -> interrupt(server, Long.MAX_VALUE));
    }

    /** A call that stood there before {@code beforeUs} can't stand any more. */
    private void interrupt(String server, long beforeUs) {
        List<CallState<P>> lost = new ArrayList<>();
        for (CallState<P> callState : calls.values()) {
            if (server.equals(callState.standsAt) && callState.stoodUs < beforeUs) {
                lost.add(callState);
            }
        }
        lost.sort(Comparator.comparingLong(callState -> callState.id));
        for (CallState<P> callState : lost) {
            if (!callState.interrupted) {
                callState.interrupted = true;
                interruptedCalls.add(callState.id);
            }
        }
        endInterruptedCalls();
    }

    /** Ends one slice of the calls that were cut; the rest follows in runs of its own, and before what is new. */
    private void endInterruptedCalls() {
        // One slice a run, whatever asks for it.
        for (int i = 0; i < INTERRUPTED_A_RUN && !interruptedCalls.isEmpty() && runNo != interruptedRun; i++) {
            CallState<P> callState = calls.get(interruptedCalls.poll());
            if (callState != null && callState.standsAt != null) {
                servers.release(callState.id, callState.standsAt);
                finish(callState, Ending.CUT, List.of());
            }
        }
        interruptedRun = runNo;
        if (!interruptedCalls.isEmpty() && !interruptedArmed) {
            interruptedArmed = true;
            at(nowUs + INTERRUPTED_GAP_US, INTERRUPTED, 0);
        }
    }

    /** A report that came unasked, or the end of a probe. */
    public void checked(String server, State state, long costUs, List<Double> metrics) {
        runOnce(() -> inbox.add(new Checked(state, server, costUs, metrics)));
    }

    /** Bytes from another gatekeeper. */
    public void neighbourSays(int peer, byte[] bytes) {
        runOnce(() -> inbox.add(new NeighbourSays(peer, bytes)));
    }

    // ---- runs and time

    private void timerFired() {
        armedUs = Long.MAX_VALUE;
        runOnce(() -> {});
    }

    /** Calls that still want their answer. */
    public int unanswered() {
        return unanswered;
    }

    /** Calls that have an attempt out, wait or stand: nothing is kept of any other. */
    public int calls() {
        return calls.size();
    }

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
            step.run();
            deliver();
            while (!pendingTimers.isEmpty() && pendingTimers.peek().atUs <= nowUs) {
                due(pendingTimers.poll());
                deliver();
            }
        } finally {
            running = false;
        }
        if (!pendingTimers.isEmpty() && pendingTimers.peek().atUs < armedUs) {
            armedUs = pendingTimers.peek().atUs;
            armed.run();
            armed = timers.after(armedUs - nowUs, this::timerFired);
        }
    }

    private void deliver() {
        for (Event event = inbox.poll(); event != null; event = inbox.poll()) {
            try {
                module.handle(nowUs, event, this::act);
            } catch (RuntimeException e) {
                // One broken decision must not take the process down; the call's own deadline still ends it.
                log.accept("module: " + e + (e.getStackTrace().length > 0 ? " at " + e.getStackTrace()[0] : ""));
            }
        }
    }

    private void due(PendingTimer timer) {
        if (timer.call == INTERRUPTED) {
            interruptedArmed = false;
            endInterruptedCalls();
            return;
        }
        if (timer.call == 0) {
            inbox.add(new Due(timer.name));
            return;
        }
        CallState<P> callState = calls.get(timer.call);
        if (callState == null || callState.standsAt != null) {
            return;
        }
        if (callState.out != null && (timer.name < 0 || timer.name == callState.out.copy)) {
            giveUp(callState, State.TIMED_OUT);
            deliver();
        }
        if (timer.name < 0 && !callState.answered) {
            // Guards the first rule: whatever the module holds back, the caller has its answer in time.
            log.accept("guard: call " + callState.id + " had no answer at its end");
            answer(callState, () -> callState.caller.failed(callState.id));
            inbox.add(new Hangup(callState.id));
        }
    }

    private void at(long momentUs, long call, long name) {
        pendingTimers.add(new PendingTimer(momentUs, order++, call, name));
    }

    private void act(Action action) {
        if (action instanceof Attempt a) {
            attempt(a);
        } else if (action instanceof Withdraw a) {
            CallState<P> callState = calls.get(a.call());
            if (callState != null && callState.out != null && callState.out.copy == a.copy()) {
                giveUp(callState, State.CANCELED);
            }
        } else if (action instanceof Refuse a) {
            answerNow(a.call(), callState -> callState.caller.refused(callState.id, a.notBeforeForUs()));
        } else if (action instanceof Surrender a) {
            answerNow(a.call(), callState -> callState.caller.failed(callState.id));
        } else if (action instanceof Remind a) {
            at(Math.max(a.momentUs(), nowUs + 1), 0, a.name());
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

    private static final class CallState<P> {
        final long id;
        final Offer<P> offer;
        final Callers<P> caller;
        final long dropDeadUs;
        int copies;
        Out out;
        boolean answered;
        boolean interrupted;
        /** An attempt ended in a way that does not prove that it never ran. */
        boolean mayHaveRun;
        String standsAt;
        long stoodUs;
        long notBeforeUs = Long.MIN_VALUE;

        CallState(long id, Offer<P> offer, Callers<P> caller, long dropDeadUs) {
            this.id = id;
            this.offer = offer;
            this.caller = caller;
            this.dropDeadUs = dropDeadUs;
        }
    }

    private static final class Out {
        final long call;
        final int copy;
        final String server;
        final long sentUs;
        final long endUs;
        /** The servers' side has it. */
        boolean left;

        Out(long call, int copy, String server, long sentUs, long endUs) {
            this.call = call;
            this.copy = copy;
            this.server = server;
            this.sentUs = sentUs;
            this.endUs = endUs;
        }
    }

    /**
     * {@code call} 0: the module's reminder; {@link #INTERRUPTED}: more calls to cut; else the end of attempt {@code name},
     * negative: of the call.
     */
    private record PendingTimer(long atUs, long order, long call, long name) {}
}
