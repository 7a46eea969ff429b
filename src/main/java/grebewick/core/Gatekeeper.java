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

    /** Cut calls that one turn ends, and us to the next: 500 at once must not keep set-ups waiting. */
    private static final int CUTS_A_TURN = 32;
    private static final long CUTS_GAP_US = 1_000;
    private static final long CUTS = -1;

    private final Settings set;
    private final CallControl module;
    private final Clock clock;
    private final Timers timers;
    private final Servers<P> servers;
    private final BiConsumer<Integer, byte[]> peers;
    private final Consumer<String> log;
    private final Map<Long, Life<P>> calls = new HashMap<>();
    private final Map<String, Stage> fleet = new HashMap<>();
    private final PriorityQueue<Wake> wakes = new PriorityQueue<>(
        Comparator.comparingLong(Wake::atUs).thenComparingLong(Wake::order));
    private final ArrayDeque<Event> inbox = new ArrayDeque<>();
    /** Calls that can't stand any more, and are yet to be ended; the eldest first. */
    private final ArrayDeque<Long> cuts = new ArrayDeque<>();
    private boolean cutsArmed;
    /** The turn that ended the last slice. */
    private long cutsTurn;
    private long turnNo;
    private long order;
    private long nextCall = 1;
    private long nowUs;
    private long armedUs = Long.MAX_VALUE;
    private Runnable armed = () -> {};
    private boolean turning;
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
        turn(() -> {
            if (!cuts.isEmpty()) {
                workCuts();
            }
            Life<P> life = new Life<>(id, offer, caller, nowUs + Math.max(0, offer.leftUs() - ANSWER_MARGIN_US));
            unanswered++;
            calls.put(id, life);
            if (unanswered > set.bounds().maxOpen()) {
                answer(life, () -> caller.refused(id, set.bounds().maxRetryAfterUs()));
                return;
            }
            at(life.dropDeadUs + GUARD_US, id, -1);
            inbox.add(new Call(id, life.dropDeadUs, false, false, offer.isRetry(), offer.units(),
                offer.reconnect(), 0, "", offer.hop(), offer.item(), offer.farEnd(), offer.band()));
        });
        return id;
    }

    /** The module's choice of a server. The rules hold here even where the module should be wrong. */
    private void attempt(Attempt a) {
        Life<P> life = calls.get(a.call());
        if (life == null) {
            log.accept("guard: an attempt for call " + a.call() + ", which is over");
            return;
        }
        int copy = life.copies++;
        String breach = breach(life, copy, a.server());
        if (breach != null) {
            log.accept("guard: " + breach);
            inbox.add(new Result(a.call(), copy, State.IGNORED, life.answered, a.server(), 0, 0, List.of()));
            return;
        }
        long leftUs = life.dropDeadUs - nowUs;
        long waitUs = a.patienceUs() == 0 ? leftUs : Math.min(a.patienceUs(), leftUs);
        life.out = new Out(life.id, copy, a.server(), nowUs, nowUs + waitUs);
        at(nowUs + waitUs, life.id, copy);
        leaving.add(life.out);
        if (leaving.size() == 1) {
            timers.afterInput(() -> turn(this::leave));
        }
    }

    /**
     * What was chosen leaves. Guards against set-ups for callers that have left and to servers that drain: a loop that
     * comes late has chosen before it has read what came in meanwhile.
     */
    private void leave() {
        for (Out out = leaving.poll(); out != null; out = leaving.poll()) {
            Life<P> life = calls.get(out.call);
            if (life == null || life.out != out) {
                continue;
            }
            if (fleet.get(out.server) != Stage.HEALTHY) {
                end(life, State.IGNORED, 0, List.of());
            } else if (nowUs < out.endUs) {
                // Else its time ends within this turn, and nothing has left.
                out.left = true;
                servers.setUp(out.call, out.copy, out.server, life.offer, Math.max(0, out.endUs - nowUs));
            }
        }
    }

    /** Why an attempt may not leave, or null. */
    private String breach(Life<P> life, int copy, String server) {
        Stage stage = fleet.get(server);
        if (life.answered) {
            return "call " + life.id + " is answered";
        } else if (life.out != null) {
            return "call " + life.id + " has an attempt out";
        } else if (copy >= set.bounds().attemptsCap()) {
            return "call " + life.id + " has no attempts left";
        } else if (nowUs < life.notBeforeUs) {
            return "call " + life.id + " awaits its release";
        } else if (stage == null) {
            return server + " is not listed";
        } else if (stage != Stage.HEALTHY) {
            return server + " drains or is gone";
        }
        return nowUs >= life.dropDeadUs ? "call " + life.id + " is past its time" : null;
    }

    /** An attempt ended without standing. */
    public void ended(long call, int copy, State state, long why, List<Double> metrics) {
        turn(() -> {
            Life<P> life = calls.get(call);
            if (life != null && life.out != null && life.out.copy == copy) {
                end(life, state, why, metrics);
            }
        });
    }

    private void end(Life<P> life, State state, long why, List<Double> metrics) {
        Out out = life.out;
        life.out = null;
        if (state == State.TIMED_OUT || state == State.RESET_BY_PEER || state == State.CANCELED) {
            life.notBeforeUs = nowUs + set.familyInfo().releaseUs();
            life.mayHaveRun |= out.left;
        }
        life.mayHaveRun |= state == State.FAILED;
        if (life.answered) {
            calls.remove(life.id);
        }
        inbox.add(new Result(life.id, out.copy, state, life.answered, out.server, nowUs - out.sentUs, why, metrics));
    }

    /** An attempt stands; false where nothing waits for it any more and the server is to release it. */
    public boolean stood(long call, int copy, P description, List<Double> metrics) {
        Life<P> life = calls.get(call);
        if (life == null || life.out == null || life.out.copy != copy || life.answered) {
            return false;
        }
        turn(() -> {
            Out out = life.out;
            life.out = null;
            life.standsAt = out.server;
            life.stoodUs = nowUs;
            unanswered--;
            life.answered = true;
            life.caller.stands(call, description);
            if (!metrics.isEmpty()) {
                inbox.add(new Checked(State.OK, out.server, 0, metrics));
            }
            inbox.add(new Started(call, copy, out.server, nowUs - out.sentUs));
        });
        return true;
    }

    /** The server ended a standing call. */
    public void over(long call, Ending ending, List<Double> metrics) {
        turn(() -> {
            Life<P> life = calls.get(call);
            if (life != null && life.standsAt != null) {
                finish(life, ending, metrics);
            }
        });
    }

    private void finish(Life<P> life, Ending ending, List<Double> metrics) {
        calls.remove(life.id);
        life.caller.released(life.id, ending);
        inbox.add(new Result(life.id, life.copies - 1, ending == Ending.CUT ? State.RESET_BY_PEER : State.OK, true,
            life.standsAt, nowUs - life.stoodUs, 0, metrics));
    }

    /** The caller ended a standing call. */
    public void releasedByCaller(long call) {
        turn(() -> {
            Life<P> life = calls.get(call);
            if (life != null && life.standsAt != null) {
                calls.remove(call);
                servers.release(call, life.standsAt);
                inbox.add(new Result(call, life.copies - 1, State.CANCELED, true, life.standsAt,
                    nowUs - life.stoodUs, 0, List.of()));
            }
        });
    }

    /** The caller gave the set-up up: nothing is owed, and what is out is given up. */
    public void hangup(long call) {
        turn(() -> {
            Life<P> life = calls.get(call);
            if (life != null && !life.answered) {
                answer(life, () -> {});
                inbox.add(new Hangup(call));
                if (life.out != null) {
                    giveUp(life, State.CANCELED);
                }
            }
        });
    }

    private void giveUp(Life<P> life, State state) {
        if (life.out.left) {
            servers.giveUp(life.id, life.out.copy, life.out.server);
        }
        end(life, state, 0, List.of());
    }

    /** The one place where a call that does not stand gets its final answer. */
    private void answer(Life<P> life, Runnable how) {
        if (life.answered) {
            return;
        }
        life.answered = true;
        unanswered--;
        if (life.out == null) {
            calls.remove(life.id);
        }
        how.run();
    }

    /** Answers at once; an attempt still out is given up, as no answer of it could be passed on. */
    private void answerNow(long call, Consumer<Life<P>> how) {
        Life<P> life = calls.get(call);
        if (life != null && !life.answered) {
            answer(life, () -> how.accept(life));
            if (life.out != null) {
                giveUp(life, State.CANCELED);
            }
        }
    }

    /** The process ends: who still waits has its answer now. */
    public void answerAll() {
        turn(() -> List.copyOf(calls.keySet()).forEach(this::lastAnswer));
    }

    /** The way to a caller ends from this side: it has its answer now, if it still waits. */
    public void answer(long call) {
        turn(() -> lastAnswer(call));
    }

    /** A refusal where no server can have run the call. */
    private void lastAnswer(long call) {
        answerNow(call, life -> {
            if ((life.out == null || !life.out.left) && !life.mayHaveRun) {
                life.caller.refused(call, set.bounds().maxRetryAfterUs());
            } else {
                life.caller.failed(call);
            }
            inbox.add(new Hangup(call));
        });
    }

    // ---- news of the servers

    /** News of the list; a call that stood at one of {@code dead} before the moment given is cut. */
    public void fleet(Fleet news, Map<String, Long> dead) {
        turn(() -> {
            if (news.scope() != Scope.PARTIAL && news.scope() != Scope.ERROR) {
                fleet.clear();
            }
            for (ServerEntry entry : news.entries()) {
                fleet.put(entry.server(), entry.stage());
            }
            inbox.add(news);
            new TreeMap<>(dead).forEach(this::cut);
        });
    }

    /** The server's process is known to be dead: it refuses connections. */
    public void died(String server) {
        turn(() -> cut(server, Long.MAX_VALUE));
    }

    /** A call that stood there before {@code beforeUs} can't stand any more. */
    private void cut(String server, long beforeUs) {
        List<Life<P>> lost = new ArrayList<>();
        for (Life<P> life : calls.values()) {
            if (server.equals(life.standsAt) && life.stoodUs < beforeUs) {
                lost.add(life);
            }
        }
        lost.sort(Comparator.comparingLong(life -> life.id));
        for (Life<P> life : lost) {
            if (!life.cut) {
                life.cut = true;
                cuts.add(life.id);
            }
        }
        workCuts();
    }

    /** Ends one slice of the calls that were cut; the rest follows in turns of its own, and before what is new. */
    private void workCuts() {
        // One slice a turn, whatever asks for it.
        for (int i = 0; i < CUTS_A_TURN && !cuts.isEmpty() && turnNo != cutsTurn; i++) {
            Life<P> life = calls.get(cuts.poll());
            if (life != null && life.standsAt != null) {
                servers.release(life.id, life.standsAt);
                finish(life, Ending.CUT, List.of());
            }
        }
        cutsTurn = turnNo;
        if (!cuts.isEmpty() && !cutsArmed) {
            cutsArmed = true;
            at(nowUs + CUTS_GAP_US, CUTS, 0);
        }
    }

    /** A report that came unasked, or the end of a probe. */
    public void checked(String server, State state, long costUs, List<Double> metrics) {
        turn(() -> inbox.add(new Checked(state, server, costUs, metrics)));
    }

    /** Bytes from another gatekeeper. */
    public void neighbourSays(int peer, byte[] bytes) {
        turn(() -> inbox.add(new NeighbourSays(peer, bytes)));
    }

    // ---- turns and time

    private void wake() {
        armedUs = Long.MAX_VALUE;
        turn(() -> {});
    }

    /** Calls that still want their answer. */
    public int unanswered() {
        return unanswered;
    }

    /** Calls that have an attempt out, wait or stand: nothing is kept of any other. */
    public int calls() {
        return calls.size();
    }

    /** One turn: time is read once; what a step or the module brings about is told before the turn ends. */
    private void turn(Runnable step) {
        if (turning) {
            step.run();
            return;
        }
        turning = true;
        turnNo++;
        nowUs = Math.max(nowUs, clock.nowUs());
        try {
            step.run();
            deliver();
            while (!wakes.isEmpty() && wakes.peek().atUs <= nowUs) {
                due(wakes.poll());
                deliver();
            }
        } finally {
            turning = false;
        }
        if (!wakes.isEmpty() && wakes.peek().atUs < armedUs) {
            armedUs = wakes.peek().atUs;
            armed.run();
            armed = timers.after(armedUs - nowUs, this::wake);
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

    private void due(Wake wake) {
        if (wake.call == CUTS) {
            cutsArmed = false;
            workCuts();
            return;
        }
        if (wake.call == 0) {
            inbox.add(new Due(wake.name));
            return;
        }
        Life<P> life = calls.get(wake.call);
        if (life == null || life.standsAt != null) {
            return;
        }
        if (life.out != null && (wake.name < 0 || wake.name == life.out.copy)) {
            giveUp(life, State.TIMED_OUT);
            deliver();
        }
        if (wake.name < 0 && !life.answered) {
            // Guards the first rule: whatever the module holds back, the caller has its answer in time.
            log.accept("guard: call " + life.id + " had no answer at its end");
            answer(life, () -> life.caller.failed(life.id));
            inbox.add(new Hangup(life.id));
        }
    }

    private void at(long momentUs, long call, long name) {
        wakes.add(new Wake(momentUs, order++, call, name));
    }

    private void act(Action action) {
        if (action instanceof Attempt a) {
            attempt(a);
        } else if (action instanceof Withdraw a) {
            Life<P> life = calls.get(a.call());
            if (life != null && life.out != null && life.out.copy == a.copy()) {
                giveUp(life, State.CANCELED);
            }
        } else if (action instanceof Refuse a) {
            answerNow(a.call(), life -> life.caller.refused(life.id, a.notBeforeForUs()));
        } else if (action instanceof Surrender a) {
            answerNow(a.call(), life -> life.caller.failed(life.id));
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

    private static final class Life<P> {
        final long id;
        final Offer<P> offer;
        final Callers<P> caller;
        final long dropDeadUs;
        int copies;
        Out out;
        boolean answered;
        boolean cut;
        /** An attempt ended in a way that does not prove that it never ran. */
        boolean mayHaveRun;
        String standsAt;
        long stoodUs;
        long notBeforeUs = Long.MIN_VALUE;

        Life(long id, Offer<P> offer, Callers<P> caller, long dropDeadUs) {
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
     * {@code call} 0: the module's reminder; {@link #CUTS}: more calls to cut; else the end of attempt {@code name},
     * negative: of the call.
     */
    private record Wake(long atUs, long order, long call, long name) {}
}
