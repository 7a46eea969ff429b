package grebewick.discovery.transfer;

import static org.assertj.core.api.Assertions.assertThat;

import grebewick.config.Endpoint;
import grebewick.discovery.transfer.LoopbackReplica.Fault;
import grebewick.play.Scenario;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Many transfers over few connections: the client's sockets against two stand-in replicas, on a hand-driven clock. */
class TransferReuseTest {
    private static final long SEED = 40;
    private static final int ZONES = 40;
    /** Too many for a datagram. */
    private static final int SERVERS = 14;

    private final Scenario s = new Scenario();
    private final SimPrimary primary = new SimPrimary();
    private final List<List<Endpoint>> published = new ArrayList<>();
    private final List<String> log = new ArrayList<>();
    private LoopbackReplica near;
    private LoopbackReplica far;
    private DnsTransferClient client;

    private void start(Fault fault) {
        System.out.println("seed " + SEED);
        for (int i = 0; i < ZONES; i++) {
            primary.create("s" + i + ".east.fleet.local.", "z" + i, SERVERS);
        }
        near = new LoopbackReplica(s, primary, "east-1");
        far = new LoopbackReplica(s, primary, "east-2");
        near.fault = fault;
        DiscoveryConfig config = new DiscoveryConfig("east", "east-1", List.of(near.replica(), far.replica()), primary.zones(),
            2_000_000, 500_000, 3_000_000, 80_000, 1_000_000, 1 << 20);
        client = s.on(() -> {
            DnsTransferClient made = new DnsTransferClient(s.vertx, s.clock, s.clock, new SplittableRandom(SEED), config,
                List.of(), published::add, log::add);
            made.start();
            return made;
        });
    }

    @AfterEach
    void end() {
        s.await(() -> client.close());
        s.close();
    }

    /** Time passes while the client waits for nothing from the network. */
    private void until(Callable<Boolean> condition) {
        s.until(() -> {
            if (client.client().requestsOut() == 0) {
                s.clock.pass(10_000);
            }
            return condition.call();
        });
    }

    /** Time passes also while answers are out that are not to come. */
    private void untilTimedOut(Callable<Boolean> condition) {
        s.until(() -> {
            s.clock.pass(1_000);
            return condition.call();
        });
    }

    private boolean isCurrent() {
        return !published.isEmpty() && published.get(published.size() - 1).equals(primary.list());
    }

    private long failures(TransferFailure failure) {
        return client.client().statistics().failures(failure);
    }

    @Test
    void fortyZonesComeOverOneConnectionThatIsClosedWhenIdle() {
        start(Fault.NONE);
        until(this::isCurrent);
        ClientStatistics counts = client.client().statistics();
        assertThat(counts.transfers()).isEqualTo(ZONES);
        assertThat(counts.copies()).isEqualTo(ZONES);
        assertThat(counts.connections()).isEqualTo(1);
        assertThat(s.on(() -> near.connections + far.connections)).isEqualTo(1);
        untilTimedOut(() -> near.open() + far.open() == 0);
        assertThat(log).as("an idle end is no fault").noneMatch(line -> line.contains("closed"));
        assertThat(counts.connections()).isEqualTo(1);
    }

    @Test
    void whereAReplicaClosesAfterItsFirstAnswerAllOthersAreAskedAgain() {
        start(Fault.CLOSES_AFTER_ONE);
        until(this::isCurrent);
        assertThat(client.client().statistics().copies()).as("each zone is taken once").isEqualTo(ZONES);
        assertThat(s.on(() -> near.transfers)).isPositive();
    }

    @Test
    void answersOutOfTurnAreToldApartByTheirIds() {
        start(Fault.OUT_OF_TURN);
        untilTimedOut(this::isCurrent);
        ClientStatistics counts = client.client().statistics();
        assertThat(counts.copies()).isEqualTo(ZONES);
        assertThat(counts.transfers()).as("none was asked for twice").isEqualTo(ZONES);
        assertThat(s.on(() -> near.connections + far.connections)).isEqualTo(1);
    }

    /** What is behind the spoilt answer goes to the other replica, and nothing of the spoilt one is used. */
    @ParameterizedTest
    @EnumSource(names = {"OTHER_ZONE", "OTHER_ID"})
    void anothersDataEndsTheConnectionAndAllIsAskedOfAnother(Fault fault) {
        start(fault);
        until(this::isCurrent);
        assertThat(failures(TransferFailure.MALFORMED)).isPositive();
        assertThat(client.client().statistics().copies()).isEqualTo(ZONES);
        assertThat(s.on(() -> far.transfers)).isEqualTo(ZONES);
    }

    @ParameterizedTest
    @EnumSource(names = {"MUTE", "HALF"})
    void whatIsBehindATransferThatStallsIsAskedOfAnother(Fault fault) {
        start(fault);
        untilTimedOut(this::isCurrent);
        assertThat(failures(TransferFailure.TIMEOUT)).isPositive();
        assertThat(client.client().statistics().copies()).isEqualTo(ZONES);
        assertThat(s.on(() -> far.transfers)).isEqualTo(ZONES);
        assertThat(s.on(() -> near.open())).as("the one that stalled is closed").isZero();
    }
}
