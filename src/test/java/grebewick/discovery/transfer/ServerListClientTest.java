package grebewick.discovery.transfer;

import static org.assertj.core.api.Assertions.assertThat;

import grebewick.config.Endpoint;
import grebewick.core.CallControl.Stage;
import grebewick.discovery.transfer.SimReplica.Mode;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** A client among replicas with faults. {@link SimClient} checks versions and contents at each step. */
class ServerListClientTest {
    private static final String ZONE = "s12.east.fleet.local.";
    private static final String OTHER = "s12.west.fleet.local.";
    /** s. In which each change has to hold. */
    private static final double IN_FORCE = 9;

    private final SimNetwork net = new SimNetwork(20261202);

    private SimClient start(int size) {
        net.primary.create(ZONE, "s", size);
        net.addReplicas(2, "east", "east-1");
        net.addReplicas(1, "east", "east-2");
        net.addReplicas(1, "west", "west-1");
        SimClient client = net.client(net.config());
        net.pass(IN_FORCE);
        assertCurrent(client);
        return client;
    }

    private SimReplica replica(int number) {
        return new ArrayList<>(net.replicas.values()).get(number);
    }

    private void assertCurrent(SimClient client) {
        assertThat(client.published).isEqualTo(net.primary.list());
    }

    private static Stage stage(SimClient client, String id) {
        return client.published.stream().filter(e -> e.entry().server().equals(id)).findFirst().orElseThrow().entry().stage();
    }

    @Test
    void aChangeComesAsASequenceInADatagram() {
        SimClient client = start(100);
        net.primary.drain(ZONE, "s-3");
        net.pass(IN_FORCE);
        assertCurrent(client);
        assertThat(stage(client, "s-3")).isEqualTo(Stage.DRAINING);
        assertThat(client.client().statistics().copies()).as("of the start").isEqualTo(1);
        assertThat(client.client().statistics().incrementals()).isEqualTo(1);
    }

    /** Lost, doubled and overtaken datagrams; 6,100 changes a day are one in 14 s. */
    @Test
    void aChangeEvery14SecondsHoldsInTimeOverABadNetwork() {
        SimClient client = start(20);
        net.lost = 0.2;
        net.doubled = 0.2;
        net.reordered = 0.3;
        for (int i = 0; i < 60; i++) {
            net.primary.put(ZONE, "s-" + i % 30);
            net.pass(IN_FORCE);
            assertCurrent(client);
            net.pass(14 - IN_FORCE);
        }
        assertThat(client.client().statistics().copies()).as("of the start").isEqualTo(1);
    }

    @Test
    void aBurstOf240ChangesHoldsInTimeAndIsPutTogether() {
        SimClient client = start(300);
        for (int i = 0; i < 240; i++) {
            net.primary.put(ZONE, "s-" + i);
        }
        net.pass(IN_FORCE);
        assertCurrent(client);
        assertThat(client.publications).as("the start and the burst").isEqualTo(2);
    }

    /** Two in a row die, a change comes at once after each. */
    @Test
    void aDeadReplicaIsLeftForAnotherInTime() {
        SimClient client = start(10);
        replica(0).mode = Mode.DEAD;
        net.primary.put(ZONE, "s-1");
        net.pass(IN_FORCE);
        assertCurrent(client);
        replica(1).mode = Mode.DEAD;
        replica(2).mode = Mode.DEAD;
        net.primary.put(ZONE, "s-2");
        net.pass(IN_FORCE);
        assertCurrent(client);
        net.pass(60);
        assertThat(client.log).anyMatch(line -> line.contains("10.0.0.1:53 failed 3 times in a row, now: TIMEOUT"));
        replica(0).mode = Mode.WELL;
        net.pass(60);
        assertThat(client.log).contains("server list: replica 10.0.0.1:53 answers again");
    }

    /** It says "up to date" for ever: only another one shows that it is not. */
    @Test
    void aReplicaThatIsCutOffHidesNothing() {
        SimClient client = start(10);
        for (int i = 0; i < 10; i++) {
            replica(0).isCutOff = i % 2 == 0;
            replica(1).isCutOff = i % 2 == 1;
            net.primary.put(ZONE, "s-" + i);
            net.pass(IN_FORCE);
            assertCurrent(client);
        }
        assertThat(client.client().statistics().failures(TransferFailure.BEHIND)).isPositive();
    }

    /** A replica restarts with what it had long ago, another with nothing: {@link SimClient} sees that no version goes back. */
    @Test
    void aReplicaThatRestartsWithALowerVersionOrNoneIsPassedOver() {
        SimClient client = start(10);
        ZoneContent old = net.primary.content(ZONE);
        for (int i = 0; i < 5; i++) {
            net.primary.drain(ZONE, "s-" + i);
        }
        net.pass(IN_FORCE);
        replica(0).isCutOff = true;
        replica(0).restartWith(ZONE, old);
        replica(1).isCutOff = true;
        replica(1).restartWith(ZONE, null);
        net.pass(30);
        assertCurrent(client);
        net.primary.put(ZONE, "s-9");
        net.pass(IN_FORCE);
        assertCurrent(client);
        assertThat(client.client().statistics().failures(TransferFailure.BEHIND)).isPositive();
        assertThat(client.client().statistics().failures(TransferFailure.ERROR_CODE)).isPositive();
    }

    @Test
    void slowCutShortGarbageAndAnothersDataChangeNothingAndHinderNothing() {
        SimClient client = start(10);
        for (Mode mode : List.of(Mode.SLOW, Mode.CUT_SHORT, Mode.GARBAGE, Mode.OTHER_ZONE, Mode.REFUSING)) {
            replica(0).mode = mode;
            replica(1).mode = mode;
            net.primary.put(ZONE, "s-1");
            net.pass(IN_FORCE);
            assertCurrent(client);
            replica(0).mode = Mode.WELL;
            replica(1).mode = Mode.WELL;
            net.pass(IN_FORCE);
        }
        assertThat(client.client().statistics().failures(TransferFailure.MALFORMED)).isPositive();
        assertThat(client.client().statistics().failures(TransferFailure.REFUSED)).isPositive();
    }

    /** Guards against a fleet that learns nothing because all replicas are a little late: a late answer still counts. */
    @Test
    void whereAllReplicasAreSlowTheirLateAnswersAreTaken() {
        SimClient client = start(3);
        net.replicas.values().forEach(each -> each.mode = Mode.SLOW);
        net.primary.drain(ZONE, "s-1");
        net.pass(IN_FORCE);
        assertCurrent(client);
        assertThat(client.client().statistics().lateAnswers()).isPositive();
    }

    @Test
    void whenNobodyAnswersTheLastListServesAndItsAgeIsLogged() {
        SimClient client = start(10);
        List<Endpoint> before = client.published;
        net.replicas.values().forEach(each -> each.mode = Mode.DEAD);
        int lines = client.log.size();
        long queries = client.client().statistics().queries();
        net.pass(3_600);
        assertThat(client.published).isEqualTo(before);
        assertThat(client.client().ageUs(net.clock.nowUs())).isGreaterThan(3_595_000_000L);
        // Four replicas, and an age that doubles from 10 s to 5,120 s.
        assertThat(client.log.size() - lines).isLessThanOrEqualTo(4 + 10);
        assertThat(client.client().statistics().queries() - queries).as("no more than 5 a second").isLessThan(5 * 3_600);
        net.primary.drain(ZONE, "s-1");
        net.replicas.values().forEach(each -> each.mode = Mode.WELL);
        net.pass(IN_FORCE);
        assertCurrent(client);
        assertThat(client.log).contains("server list: all zones are confirmed again");
    }

    @Test
    void aNewEpochIsCopiedWholeThoughItsNumbersAreLower() {
        SimClient client = start(50);
        net.primary.put(ZONE, "s-1");
        net.pass(IN_FORCE);
        net.primary.renumber(ZONE);
        net.primary.put(ZONE, "s-50");
        net.pass(IN_FORCE);
        assertCurrent(client);
        assertThat(client.client().held(ZONE)).contains(new ZoneVersion(2, 2));
        assertThat(client.client().statistics().copies()).isEqualTo(2);
    }

    /** The moment between the answer "too large" and the copy: the copy of an older replica must not bring a server back. */
    @Test
    void aDrainToldJustAsTheCopyIsReplacedStays() {
        SimClient client = start(50);
        for (int i = 0; i < 20; i++) {
            replica(0).isCutOff = false;
            replica(1).isCutOff = false;
            net.primary.renumber(ZONE);
            // One has the new epoch without the drain, and is cut off; the others have both.
            replica(i % 2).refresh();
            net.pass(0.3);
            net.primary.drain(ZONE, "s-" + i);
            replica(i % 2).isCutOff = true;
            replica(1 - i % 2).refresh();
            net.pass(IN_FORCE);
            for (int s = 0; s < 20; s++) {
                assertThat(stage(client, "s-" + i)).isEqualTo(Stage.DRAINING);
                net.pass(0.5);
            }
        }
        assertCurrent(client);
    }

    /** Guards against a client that asks those near it alone. */
    @Test
    void whereAllThatAreNearAreCutOffTheOthersAreHeard() {
        SimClient client = start(10);
        for (int i = 0; i < 20; i++) {
            replica(0).isCutOff = true;
            replica(1).isCutOff = true;
            net.primary.put(ZONE, "s-" + i);
            net.pass(2 * IN_FORCE);
            assertCurrent(client);
            replica(0).isCutOff = false;
            replica(1).isCutOff = false;
            net.pass(IN_FORCE);
        }
    }

    /** Each region writes its own zones, so there is nothing to settle between them. */
    @Test
    void twoRegionsThatBothChangeForAnHourMeetAgain() {
        net.primary.create(ZONE, "e", 30);
        net.primary.create(OTHER, "w", 30);
        SimPrimary west = net.primary;
        List<SimReplica> near = net.addReplicas(3, "east", "east-1");
        List<SimReplica> far = net.addReplicas(3, "west", "west-1");
        SimClient client = net.client(net.config());
        net.pass(IN_FORCE);
        far.forEach(each -> each.mode = Mode.DEAD);
        ZoneContent farBefore = west.content(OTHER);
        // East's replicas go on hearing of their own zone alone.
        near.forEach(each -> each.isolate(OTHER));
        for (int i = 0; i < 250; i++) {
            net.primary.put(ZONE, "e-" + i % 40);
            net.primary.drain(OTHER, "w-" + i % 30);
            net.pass(14.4);
        }
        assertThat(client.client().held(ZONE)).contains(net.primary.content(ZONE).version());
        assertThat(client.client().held(OTHER)).contains(farBefore.version());
        far.forEach(each -> each.mode = Mode.WELL);
        near.forEach(each -> each.isolate(null));
        net.pass(IN_FORCE);
        assertCurrent(client);
        assertThat(client.client().statistics().copies()).as("of the start").isEqualTo(2);
    }

    @Test
    void aZoneOf760ServersGoneAndBackWithinSeconds() {
        SimClient client = start(800);
        ZoneContent whole = net.primary.content(ZONE);
        for (int i = 0; i < 5; i++) {
            net.primary.change(ZONE, servers -> servers.keySet().removeIf(id -> Integer.parseInt(id.substring(2)) < 760));
            net.pass(1 + i);
            net.primary.change(ZONE, servers -> servers.putAll(whole.servers()));
            net.pass(1);
        }
        // Some 100 KB each time, at 12 KB a second.
        net.pass(60);
        assertCurrent(client);
    }

    /** At once and by one, as the list of the fleet grows: what is held and what comes is merged without a copy. */
    @Test
    void aListGrownTenfold() {
        SimClient client = start(38);
        for (int i = 38; i < 380; i++) {
            net.primary.put(ZONE, "s-" + i);
            net.pass(0.1);
        }
        net.pass(IN_FORCE);
        assertCurrent(client);
        assertThat(client.published).hasSize(380);
        assertThat(client.client().statistics().copies()).as("of the start").isEqualTo(1);
    }

    @Test
    void knownServersServeUntilAllZonesCameAndThoseNamedSinceAreTheZones() {
        net.primary.create(ZONE, "e", 2);
        net.addReplicas(2, "east", "east-1").forEach(each -> each.isolate(OTHER));
        net.primary.create(OTHER, "w", 2);
        Endpoint old = SimPrimary.server("old", Stage.HEALTHY, 1);
        Endpoint known = SimPrimary.server("e-0", Stage.HEALTHY, 1);
        SimClient client = new SimClient(net, net.config(), List.of(old, known), 1);
        net.pass(IN_FORCE);
        assertThat(client.published).contains(old).hasSize(3);
        net.primary.remove(ZONE, "e-0");
        net.pass(IN_FORCE);
        assertThat(client.published).as("gone, though known from the start").noneMatch(e -> e.entry().server().equals("e-0"));
        net.replicas.values().forEach(each -> each.isolate(null));
        net.pass(IN_FORCE);
        assertCurrent(client);
    }

    /** The plan's 20 services in two regions: 44 KB, within the budgets. */
    @Test
    void fortyZonesAreThereInTime() {
        for (int i = 0; i < 40; i++) {
            net.primary.create("s" + i + ".east.fleet.local.", "z" + i, 7);
        }
        net.addReplicas(13, "east", "east-1");
        SimClient client = net.client(net.config());
        net.pass(IN_FORCE);
        assertCurrent(client);
        long bytes = client.client().bytes();
        net.pass(100);
        System.out.println("bytes of the start " + bytes + ", then " + (client.client().bytes() - bytes) / 100 + " a second");
        assertThat(client.client().bytes() - bytes).as("of 8,000 a second").isLessThan(100 * 8_000);
    }

    @Test
    void anotherConfigurationKeepsWhatIsHeld() {
        SimClient client = start(10);
        net.primary.create(OTHER, "w", 5);
        net.replicas.values().forEach(SimReplica::refresh);
        client.configure(net.config());
        net.pass(IN_FORCE);
        assertCurrent(client);
        assertThat(client.client().statistics().copies()).isEqualTo(2);
        client.configure(net.config(List.of(OTHER)));
        net.pass(IN_FORCE);
        assertThat(client.published).allMatch(e -> e.entry().server().startsWith("w-")).hasSize(5);
        assertThat(client.client().statistics().copies()).isEqualTo(2);
    }
}
