package grebewick.discovery.replica;

import static grebewick.discovery.transfer.TransferSamples.ZONE;
import static org.assertj.core.api.Assertions.assertThat;

import grebewick.config.Address;
import grebewick.config.ConfigurationException;
import grebewick.discovery.transfer.DiscoveryConfig;
import grebewick.discovery.transfer.FailureReason;
import grebewick.discovery.transfer.Replica;
import grebewick.discovery.transfer.TransferRequest;
import grebewick.discovery.transfer.TransferResponse.Failed;
import grebewick.discovery.transfer.TransferResponse.FullCopy;
import grebewick.discovery.transfer.TransferResponse.UpToDate;
import grebewick.discovery.transfer.TransferSamples;
import grebewick.discovery.transfer.ZoneContent;
import grebewick.discovery.transfer.ZoneVersion;
import grebewick.play.Scenario;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A secondary behind two upstreams on loopback sockets, on a hand-driven clock. */
@Timeout(100)
class SecondarySourceTest {
    private static final ZoneVersion FIRST = new ZoneVersion(1_764_650_000_000L, 1);
    private static final String OTHER_ZONE = "s13.east.fleet.local.";
    private static final long STEP_US = 20_000;
    private static final long SEED = 531;

    private final Scenario s = new Scenario();
    private final TransferSamples samples = new TransferSamples(SEED);
    private final List<String> log = new ArrayList<>();
    private final List<Upstream> upstreams = new ArrayList<>();
    private Upstream secondary;
    private SecondarySource source;
    private BlockingClient client;
    private List<DiscoveryConfig> next;

    /** A replica with its server. */
    private final class Upstream {
        private final ReplicaState state;
        private final ReplicaServer server;
        private final Address address;

        Upstream(Set<String> zones, int port) {
            state = new ReplicaState(new HistoryLimits(4_096, 1 << 20), LimitSettings.DEFAULT);
            state.serve(zones);
            server = new ReplicaServer(s.vertx, state, ServerLimits.DEFAULT, s.clock, s.clock, log::add);
            address = s.await(() -> listen(new Address("127.0.0.1", port)));
        }

        /** The descriptor of a socket that was closed goes with the loop's next select: until then its port is taken. */
        private Future<Address> listen(Address at) {
            return server.listen(at).recover(taken -> {
                Promise<Address> again = Promise.promise();
                s.vertx.runOnContext(v -> listen(at).onComplete(again));
                return again.future();
            });
        }

        void take(ZoneContent content) {
            assertThat(s.on(() -> state.take(ZONE, content))).isTrue();
        }

        Optional<ZoneVersion> version(String zone) {
            return state.content(zone).map(ZoneContent::version);
        }

        void close() {
            s.await(() -> server.close(0));
        }
    }

    private final class Events implements ZoneSource.Listener {
        @Override
        public void serve(Set<String> zones) {
            secondary.state.serve(zones);
        }

        @Override
        public void news(String zone, ZoneContent content) {
            secondary.state.take(zone, content);
        }

        @Override
        public void confirmed(String zone, long asOfUs) {
            secondary.state.confirmed(zone, asOfUs);
        }
    }

    @BeforeEach
    void start() throws Exception {
        upstreams.add(new Upstream(Set.of(ZONE), 0));
        upstreams.add(new Upstream(Set.of(ZONE), 0));
        startSecondary(0);
    }

    private void startSecondary(int port) throws Exception {
        secondary = new Upstream(Set.of(), port);
        client = new BlockingClient(secondary.address.port());
        List<DiscoveryConfig> configs = List.of(config(ZONE));
        source = s.on(() -> {
            SecondarySource made = new SecondarySource(s.vertx, s.clock, s.clock, new SplittableRandom(SEED), configs,
                () -> next, log::add);
            made.start(new Events());
            return made;
        });
    }

    private DiscoveryConfig config(String... zones) {
        List<Replica> replicas = upstreams.stream().map(upstream -> new Replica(upstream.address, "", "")).toList();
        return new DiscoveryConfig("", "", replicas, Arrays.asList(zones), 1_000_000, 500_000, 10_000_000, 256_000, 4_000_000,
            1 << 26);
    }

    @AfterEach
    void end() throws Exception {
        client.close();
        s.await(() -> source.close());
        secondary.close();
        upstreams.forEach(Upstream::close);
        s.close();
    }

    /** Until it has come to that; time passes while the secondary waits for nothing from the network. */
    private void until(Callable<Boolean> condition) {
        s.until(() -> {
            if (source.requestsOut() == 0) {
                s.clock.pass(STEP_US);
            }
            return condition.call();
        });
    }

    private void untilHeld(ZoneVersion version) {
        until(() -> secondary.version(ZONE).equals(Optional.of(version)));
    }

    private static TransferRequest query(ZoneVersion held) {
        return new TransferRequest(9, ZONE, Optional.ofNullable(held));
    }

    @Test
    void anEmptySecondarySaysSoAndThenServesWhatItHolds() throws Exception {
        assertThat(client.ask(query(null))).isEqualTo(new Failed(FailureReason.SERVFAIL));
        assertThat(client.askStream(query(null))).isEqualTo(new Failed(FailureReason.SERVFAIL));
        ZoneContent content = samples.content(FIRST, 190);
        upstreams.forEach(upstream -> upstream.take(content));
        untilHeld(FIRST);
        assertThat(client.askStream(query(null))).isEqualTo(new FullCopy(content));
        ZoneContent changed = samples.next(content, 2);
        upstreams.forEach(upstream -> upstream.take(changed));
        untilHeld(changed.version());
        assertThat(client.ask(query(changed.version()))).isEqualTo(new UpToDate(changed.version()));
        assertThat(s.on(() -> upstreams.stream().mapToLong(upstream -> upstream.state.counters().wholeCopies()).sum()))
            .as("the change came as a change").isEqualTo(1);
    }

    /** One upstream restarts with a lower version, then all with a new epoch: the lower one is not followed, the epoch is. */
    @Test
    void aLowerVersionIsNotFollowedAndANewEpochIs() {
        ZoneContent high = samples.content(new ZoneVersion(FIRST.epoch(), 50), 20);
        upstreams.forEach(upstream -> upstream.take(high));
        untilHeld(high.version());
        Upstream old = upstreams.remove(0);
        old.close();
        Upstream restarted = new Upstream(Set.of(ZONE), old.address.port());
        upstreams.add(0, restarted);
        restarted.take(samples.content(new ZoneVersion(FIRST.epoch(), 3), 20));
        until(() -> restarted.state.counters().queries() >= 3);
        assertThat(s.on(() -> secondary.version(ZONE))).contains(high.version());
        ZoneVersion anew = new ZoneVersion(FIRST.epoch() + 1, 1);
        restarted.take(samples.content(anew, 20));
        untilHeld(anew);
        upstreams.get(1).take(samples.content(new ZoneVersion(FIRST.epoch(), 51), 20));
        until(() -> upstreams.get(1).state.counters().queries() >= 10);
        assertThat(s.on(() -> secondary.version(ZONE))).contains(anew);
    }

    @Test
    void aSecondaryThatRestartsEmptyCatchesUp() throws Exception {
        ZoneContent content = samples.content(FIRST, 190);
        upstreams.forEach(upstream -> upstream.take(content));
        untilHeld(FIRST);
        s.await(() -> source.close());
        secondary.close();
        client.close();
        startSecondary(secondary.address.port());
        assertThat(client.ask(query(FIRST))).isEqualTo(new Failed(FailureReason.SERVFAIL));
        untilHeld(FIRST);
        assertThat(client.ask(query(FIRST))).isEqualTo(new UpToDate(FIRST));
    }

    /** Guards gatekeepers against a secondary whose "up to date" is old news, as it is cut off from its upstreams. */
    @Test
    void aSecondarySaysHowOldItsOwnWordIs() throws Exception {
        upstreams.forEach(upstream -> upstream.take(samples.content(FIRST, 2)));
        untilHeld(FIRST);
        assertThat(client.ask(query(FIRST))).isEqualTo(new UpToDate(FIRST));
        assertThat(client.ageUs).isBetween(1L, 4_000_000L);
        upstreams.forEach(Upstream::close);
        long cutOffUs = s.on(() -> secondary.state.ageUs(ZONE, s.clock.nowUs()));
        s.play("wait 20000");
        assertThat(client.ask(query(FIRST))).isEqualTo(new UpToDate(FIRST));
        assertThat(client.ageUs).isBetween(cutOffUs + 20_000_000, cutOffUs + 21_000_000);
        client.askStream(query(null));
        assertThat(client.ageUs).isBetween(cutOffUs + 20_000_000, cutOffUs + 21_000_000);
        // Who does not ask for it is not told.
        client.ask(new TransferRequest(9, ZONE, Optional.of(FIRST), false));
        assertThat(client.ageUs).isZero();
    }

    @Test
    void oneUpstreamThatIsGoneIsNotMissed() {
        ZoneContent content = samples.content(FIRST, 20);
        upstreams.forEach(upstream -> upstream.take(content));
        untilHeld(FIRST);
        upstreams.get(0).close();
        ZoneContent changed = samples.next(content, 1);
        upstreams.get(1).take(changed);
        // Nobody answers at the closed one: queries there end by their time.
        s.until(() -> {
            s.clock.pass(STEP_US / 20);
            return secondary.version(ZONE).equals(Optional.of(changed.version()));
        });
    }

    @Test
    void zonesAreReadAnewAndAFaultChangesNothing() throws Exception {
        upstreams.forEach(upstream -> upstream.take(samples.content(FIRST, 2)));
        untilHeld(FIRST);
        next = List.of(config(ZONE, OTHER_ZONE));
        s.await(source::reread);
        assertThat(s.on(() -> secondary.state.served())).containsExactlyInAnyOrder(ZONE, OTHER_ZONE);
        assertThat(client.ask(new TransferRequest(9, OTHER_ZONE, Optional.empty())))
            .isEqualTo(new Failed(FailureReason.SERVFAIL));
        assertThat(client.ask(query(FIRST))).isEqualTo(new UpToDate(FIRST));
        SecondarySource faulty = new SecondarySource(s.vertx, s.clock, s.clock, new SplittableRandom(SEED),
            List.of(config(ZONE)), () -> {
                throw new ConfigurationException("no");
            }, log::add);
        assertThat(s.await(() -> faulty.reread().map(done -> "read").otherwise(Throwable::getMessage))).isEqualTo("no");
        s.await(faulty::close);
    }
}
