package grebewick.core;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import grebewick.core.CallControl.*;
import grebewick.play.HandClock;
import grebewick.play.Sites;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** The guards of the core, against a module that breaks the rules. */
class GatekeeperTest implements Callers<String>, Servers<String> {
    private final HandClock clock = new HandClock();
    private final List<String> happened = new ArrayList<>();
    private final List<Event> seen = new ArrayList<>();
    private Consumer<Action> module;
    private long calls;
    private boolean outlivesCaller;
    private boolean giveUpUnheard;
    private final CallControl broken = (now, event, out) -> {
        seen.add(event);
        module = out;
    };
    private final Gatekeeper<String> core = new Gatekeeper<>(Sites.settings(), broken, clock, clock, this, (peer, bytes) -> {},
        line -> {});

    private long call() {
        core.fleet(new Fleet(Scope.PERSISTED, 1, List.of(Sites.entry("s1", 0, Stage.HEALTHY, 0),
            Sites.entry("s2", 1, Stage.DRAINING, 0))), Map.of());
        return offer(++calls);
    }

    private long offer(long id) {
        return core.offer(new Offer<>(id, "a", "55", 3_000_000, false, false, 1, 0, -1, "offer"), this);
    }

    /** What the module does comes within a turn, as it would from its own code. */
    private void acts(Action action) {
        core.checked("s1", State.OK, 0, List.of());
        module.accept(action);
        core.checked("s1", State.OK, 0, List.of());
    }

    @Test
    void neverTwoAttemptsOutTogether() {
        long c = call();
        acts(new Attempt(c, "s1", 0));
        acts(new Attempt(c, "s1", 0));
        assertThat(happened).containsExactly("set-up s1");
        assertThat(seen).contains(new Result(c, 1, State.IGNORED, false, "s1", 0, 0, List.of()));
    }

    @Test
    void nothingNewToADrainingOrUnknownServer() {
        long c = call();
        acts(new Attempt(c, "s2", 0));
        acts(new Attempt(c, "s3", 0));
        assertThat(happened).isEmpty();
    }

    @Test
    void noSecondSendWithinTheReleaseTime() {
        long c = call();
        acts(new Attempt(c, "s1", 100_000));
        clock.pass(100_000);
        acts(new Attempt(c, "s1", 0));
        clock.pass(499_999);
        acts(new Attempt(c, "s1", 0));
        assertThat(happened).containsExactly("set-up s1", "give-up s1");
        clock.pass(1);
        acts(new Attempt(c, "s1", 0));
        assertThat(happened).hasSize(3);
    }

    @Test
    void aCallThatTheModuleForgetsIsAnsweredBeforeItsCallerGivesUp() {
        call();
        clock.pass(2_999_999);
        assertThat(happened).containsExactly("failed");
        assertThat(core.calls() + core.unanswered()).isZero();
    }

    /** One whose clock is ahead of its timers, as that of a loop which stood still; it sends each call to s1. */
    private Gatekeeper<String> late(AtomicLong stoodStillUs) {
        Gatekeeper<String> late = new Gatekeeper<>(Sites.settings(), (now, event, out) -> {
            if (event instanceof Call call) {
                out.accept(new Attempt(call.call(), "s1", 0));
            }
        }, () -> clock.nowUs() + stoodStillUs.get(), clock, this, (peer, bytes) -> {}, line -> {});
        late.fleet(new Fleet(Scope.PERSISTED, 1, List.of(Sites.entry("s1", 0, Stage.HEALTHY, 0))), Map.of());
        return late;
    }

    /** Guards servers against set-ups that a loop which stood still would send and give up in one breath. */
    @Test
    void whatHasNoTimeLeftWhenItMayLeaveDoesNotLeave() {
        AtomicLong stoodStillUs = new AtomicLong();
        Gatekeeper<String> late = late(stoodStillUs);
        clock.late(true);
        late.offer(new Offer<>(1, "a", "55", 1_000_000, false, false, 1, 0, -1, "offer"), this);
        stoodStillUs.set(1_000_000);
        clock.late(false);
        assertThat(happened).containsExactly("failed");
        assertThat(late.calls()).isZero();
    }

    /** Guards the one answer: a loop that came late reads the server's at the call's end, before the timer of it. */
    @Test
    void anAnswerInTheTurnOfTheDeadlineIsTheOnlyOne() {
        AtomicLong stoodStillUs = new AtomicLong();
        Gatekeeper<String> late = late(stoodStillUs);
        long c = late.offer(new Offer<>(1, "a", "55", 1_000_000, false, false, 1, 0, -1, "offer"), this);
        stoodStillUs.set(950_000);
        assertThat(late.stood(c, 0, "desc", List.of())).isTrue();
        clock.pass(2_000_000);
        late.over(c, Ending.NORMAL, List.of());
        assertThat(happened).hasSize(3).doesNotContain("failed", "refused", "give-up s1");
        assertThat(late.calls()).isZero();
    }

    @Test
    void aCallAnsweredAfterItsServerLeftTheListIsReleasedOnBothSides() {
        long c = call();
        acts(new Attempt(c, "s1", 0));
        core.fleet(new Fleet(Scope.COMPLETE, 2, List.of(Sites.entry("s2", 1, Stage.HEALTHY, 0))), Map.of("s1", Long.MAX_VALUE));
        assertThat(core.stood(c, 0, "desc", List.of())).isTrue();
        assertThat(happened).containsExactly("set-up s1", "stands", "release s1", "released CUT");
        assertThat(core.calls() + core.unanswered()).isZero();
        assertThat(seen.get(seen.size() - 1)).isInstanceOfSatisfying(Result.class,
            result -> assertThat(result.state()).isEqualTo(State.RESET_BY_PEER));
    }

    @Test
    void aCallerThatCannotBeAnsweredKeepsNoOtherWaiting() {
        core.fleet(new Fleet(Scope.PERSISTED, 1, List.of()), Map.of());
        Callers<String> broken = new Callers<>() {
            @Override
            public void stands(long call, String description) {}

            @Override
            public void refused(long call, long comeBackUs) {}

            @Override
            public void failed(long call) {
                throw new IllegalStateException("cannot be written");
            }

            @Override
            public void released(long call, Ending ending) {}
        };
        core.offer(new Offer<>(1, "a", "55", 1_000_000, false, false, 1, 0, -1, "offer"), broken);
        core.offer(new Offer<>(2, "a", "55", 2_000_000, false, false, 1, 0, -1, "offer"), this);
        assertThatThrownBy(() -> clock.pass(1_500_000)).hasMessage("cannot be written");
        clock.pass(2_000_000);
        assertThat(happened).containsExactly("failed");
    }

    /** Guards calls that may not be repeated: a refusal says that trying again is harmless. */
    @Test
    void whoIsAnsweredAtTheEndIsRefusedOnlyIfNothingCanHaveRun() {
        for (State state : new State[] {State.QUEUE_FULL, State.CONNECT_ERROR, State.IGNORED, State.FAILED,
            State.RESET_BY_PEER}) {
            happened.clear();
            long c = call();
            acts(new Attempt(c, "s1", 0));
            core.ended(c, 0, state, 0, List.of());
            core.answerAll();
            boolean never = state == State.QUEUE_FULL || state == State.CONNECT_ERROR || state == State.IGNORED;
            assertThat(happened).as(state.name()).containsExactly("set-up s1", never ? "refused" : "failed");
        }
    }

    /** Guards the release time, and servers against running a call twice, where the id of a lost caller comes again. */
    @Test
    void anIdThatAServerMayHaveRunIsNotSentAgain() {
        long c = call();
        acts(new Attempt(c, "s1", 0));
        core.hangup(c);
        clock.pass(SpentCalls.REMEMBERED_US - 1);
        offer(calls);
        assertThat(happened).containsExactly("set-up s1", "give-up s1", "failed");
        assertThat(core.calls() + core.unanswered()).isZero();
        clock.pass(1);
        acts(new Attempt(offer(calls), "s1", 0));
        assertThat(happened).hasSize(4).endsWith("set-up s1");
    }

    @Test
    void anIdThatNoServerHasSeenMayComeAgain() {
        core.hangup(call());
        acts(new Attempt(offer(calls), "s1", 0));
        assertThat(happened).containsExactly("set-up s1");
    }

    /** Guards the memory against ever new ids. */
    @Test
    void idsThatAreRememberedAreBounded() {
        SpentCalls spent = new SpentCalls();
        for (long id = 1; id <= 2 * SpentCalls.MOST; id++) {
            spent.add(id, 0);
        }
        assertThat(spent.size()).isEqualTo(SpentCalls.MOST);
        spent.add(0, SpentCalls.REMEMBERED_US);
        assertThat(spent.size()).isEqualTo(1);
    }

    @Test
    void aDetachedCallIsAnsweredOnceItsCallerIsBack() {
        outlivesCaller = true;
        long c = call();
        acts(new Attempt(c, "s1", 0));
        assertThat(core.detach(c)).isTrue();
        core.reattach(c);
        assertThat(core.stood(c, 0, "desc", List.of())).isTrue();
        assertThat(happened).containsExactly("set-up s1", "stands");
    }

    /** Guards servers against attempts for a caller that is lost. */
    @Test
    void noAttemptFollowsThatOfADetachedCall() {
        outlivesCaller = true;
        long c = call();
        acts(new Attempt(c, "s1", 0));
        core.detach(c);
        core.ended(c, 0, State.QUEUE_FULL, 0, List.of());
        acts(new Attempt(c, "s1", 0));
        assertThat(happened).containsExactly("set-up s1", "failed");
        assertThat(core.calls() + core.unanswered()).isZero();
    }

    @Test
    void aDetachedCallDoesNotStandForNobody() {
        outlivesCaller = true;
        long c = call();
        acts(new Attempt(c, "s1", 0));
        core.detach(c);
        assertThat(core.stood(c, 0, "desc", List.of())).isFalse();
        assertThat(happened).containsExactly("set-up s1", "failed");
        assertThat(core.calls() + core.unanswered()).isZero();
    }

    private void giveUpIsHeard(long call) {
        giveUpUnheard = false;
        core.giveUpHeard(call);
    }

    /** Guards against a call that is out at two servers, and the release time, where a server hears late that it is given up. */
    @Test
    void noAttemptLeavesBeforeTheGiveUpOfTheOneBeforeIsHeard() {
        long c = call();
        acts(new Attempt(c, "s1", 100_000));
        giveUpUnheard = true;
        clock.pass(600_000);
        acts(new Attempt(c, "s1", 100_000));
        clock.pass(400_000);
        assertThat(happened).containsExactly("set-up s1", "give-up s1");
        giveUpIsHeard(c);
        clock.pass(499_999);
        assertThat(happened).hasSize(2);
        clock.pass(1);
        assertThat(happened).containsExactly("set-up s1", "give-up s1", "set-up s1");
        clock.pass(99_999);
        assertThat(happened).as("its time begins as it leaves").hasSize(3);
        clock.pass(1);
        assertThat(happened).hasSize(4).endsWith("give-up s1");
    }

    /** Guards the one answer in time, and servers against blame for what has never come to them. */
    @Test
    void aCallWhoseAttemptIsHeldBackIsAnsweredInTimeAndBlamesNoServer() {
        long c = call();
        acts(new Attempt(c, "s1", 100_000));
        giveUpUnheard = true;
        clock.pass(600_000);
        acts(new Attempt(c, "s1", 100_000));
        clock.pass(2_400_000);
        assertThat(happened).containsExactly("set-up s1", "give-up s1", "failed");
        assertThat(seen.stream().filter(e -> e instanceof Result r && r.copy() == 1).map(e -> ((Result) e).state()))
            .containsExactly(State.CANCELED);
        giveUpIsHeard(c);
        clock.pass(1_000_000);
        assertThat(happened).hasSize(3);
        assertThat(core.calls() + core.unanswered()).isZero();
    }

    /** Guards against set-ups for a caller that has left, and to a server that drains, while they are held back. */
    @Test
    void whatIsHeldBackIsNotSentForACallerThatHasLeftNorToAServerThatDrains() {
        long left = call();
        long drained = offer(++calls);
        for (long c : new long[] {left, drained}) {
            acts(new Attempt(c, "s1", 100_000));
        }
        giveUpUnheard = true;
        clock.pass(600_000);
        for (long c : new long[] {left, drained}) {
            acts(new Attempt(c, "s1", 100_000));
        }
        core.hangup(left);
        core.fleet(new Fleet(Scope.COMPLETE, 2, List.of(Sites.entry("s1", 0, Stage.DRAINING, 0))), Map.of());
        giveUpIsHeard(left);
        giveUpIsHeard(drained);
        clock.pass(600_000);
        assertThat(happened).containsExactly("set-up s1", "set-up s1", "give-up s1", "give-up s1");
    }

    @Test
    void oneAnswerWhateverTheModuleSaysAfterIt() {
        long c = call();
        acts(new Attempt(c, "s1", 0));
        acts(new Refuse(c, 5));
        acts(new Surrender(c));
        acts(new Attempt(c, "s1", 0));
        assertThat(core.stood(c, 0, "late", List.of())).isFalse();
        assertThat(happened).containsExactly("set-up s1", "refused", "give-up s1");
        assertThat(core.calls() + core.unanswered()).isZero();
    }

    @Test
    void aBrokenModuleDoesNotTakeTheProcessDown() {
        Gatekeeper<String> other = new Gatekeeper<>(Sites.settings(), (now, event, out) -> {
            throw new IllegalStateException("broken");
        }, clock, clock, this, (peer, bytes) -> {}, line -> {});
        other.offer(new Offer<>(1, "a", "55", 1_000_000, false, false, 1, 0, -1, "offer"), this);
        clock.pass(1_000_000);
        assertThat(happened).containsExactly("failed");
    }

    /** The core knows no wire: it uses the JDK and itself, nothing else. */
    @Test
    void theCoreImportsTheJdkAlone() throws IOException {
        try (Stream<Path> files = Files.list(Path.of("src/main/java/grebewick/core"))) {
            for (Path file : files.toList()) {
                assertThat(Files.readAllLines(file)).as(file.toString()).noneMatch(line -> line.startsWith("import ")
                    && !line.startsWith("import java.util.") && !line.startsWith("import grebewick.core."));
                assertThat(Files.readString(file)).doesNotContain("io.vertx", "jackson", "java.net");
            }
        }
    }

    @Override
    public void stands(long call, String description) {
        happened.add("stands");
    }

    @Override
    public void refused(long call, long comeBackUs) {
        happened.add("refused");
    }

    @Override
    public void failed(long call) {
        happened.add("failed");
    }

    @Override
    public void released(long call, Ending ending) {
        happened.add("released " + ending);
    }

    @Override
    public void setUp(long call, int copy, String server, Offer<String> offer, long waitUs) {
        happened.add("set-up " + server);
    }

    @Override
    public boolean isGiveUpUnheard(long call) {
        return giveUpUnheard;
    }

    @Override
    public boolean outlivesCaller(long call) {
        return outlivesCaller;
    }

    @Override
    public void giveUp(long call, int copy, String server) {
        happened.add("give-up " + server);
    }

    @Override
    public void release(long call, String server) {
        happened.add("release " + server);
    }

    @Override
    public void probe(String server) {}

    @Override
    public void closeIdle(String server) {}

    /** Guards set-ups against a burst of ends: no turn ends more than a slice of them, and what is new comes between. */
    @Test
    void fiveHundredCutCallsAreEndedInSlicesBeforeWhatIsNew() {
        call();
        for (int i = 0; i < 500; i++) {
            long c = core.offer(new Offer<>(i, "a", "55", 3_000_000, false, false, 1, 0, -1, "offer"), this);
            acts(new Attempt(c, "s1", 0));
            assertThat(core.stood(c, 0, "desc", List.of())).isTrue();
        }
        happened.clear();
        core.died("s1");
        int first = ended();
        assertThat(first).isBetween(1, 50);
        core.offer(new Offer<>(501, "a", "55", 3_000_000, false, false, 1, 0, -1, "offer"), this);
        assertThat(ended() - first).as("a slice goes before a new call").isBetween(1, 50);
        int turns = 0;
        for (int before = ended(); before < 500; before = ended(), turns++) {
            clock.pass(1_000);
            assertThat(ended() - before).isBetween(1, 50);
        }
        assertThat(turns).isLessThan(30);
        clock.pass(100_000);
        assertThat(ended()).as("each once").isEqualTo(500);
    }

    private int ended() {
        return (int) happened.stream().filter(h -> h.startsWith("released")).count();
    }
}
