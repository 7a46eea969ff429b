package grebewick.lab.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import grebewick.config.Address;
import grebewick.discovery.replica.ReplicaConfig;
import grebewick.discovery.replica.ReplicaProcess;
import grebewick.lab.StandInFleet;
import grebewick.lab.StandInNames.Host;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** The files of control machines, read by the product itself. */
@Timeout(100)
class ControlFilesTest {
    private static final Address LISTEN = new Address("127.0.0.1", 5_301);
    private static final List<Address> PRIMARIES = List.of(new Address("127.0.0.1", 5_302), new Address("127.0.0.1", 5_303));

    private final FleetPlan plan = new FleetPlan(100, 7, 3, 2);
    private ControlFiles files;

    @BeforeEach
    void open() throws Exception {
        files = new ControlFiles(plan);
    }

    @AfterEach
    void delete() throws Exception {
        files.delete();
    }

    private ReplicaConfig replica(int number, boolean isSplit) throws Exception {
        return ReplicaConfig.load(files.writeReplica(number, LISTEN, PRIMARIES, isSplit).toString());
    }

    private static List<Integer> upstreamPorts(ReplicaConfig config) {
        return config.sources().stream().map(source -> source.replicas().get(0).address().port()).toList();
    }

    @Test
    void aReplicaFollowsTheZonesOfEachRegionAtItsPrimary() throws Exception {
        ReplicaConfig config = replica(1, false);
        assertThat(config.listen()).isEqualTo(LISTEN);
        assertThat(upstreamPorts(config)).containsExactly(5_302, 5_303);
        assertThat(config.sources().get(0).zones()).isEqualTo(plan.zonesOfRegion(0));
        assertThat(config.sources().get(1).zones()).isEqualTo(plan.zonesOfRegion(1));
    }

    @Test
    void inASplitItHearsThePrimaryOfItsOwnRegionAlone() throws Exception {
        int nobody = 9;
        assertThat(upstreamPorts(replica(0, true))).containsExactly(5_302, nobody);
        assertThat(upstreamPorts(replica(1, true))).containsExactly(nobody, 5_303);
        assertThat(replica(1, true).sources().get(0).zones()).isEqualTo(plan.zonesOfRegion(0));
    }

    @Test
    void aPrimaryServesTheServersOfItsRegionAndZonesThatHaveNone() throws Exception {
        List<Host> listed = StandInFleet.hosts(plan.servers(), List.of(7_000));
        Map<Integer, Host> hosts = new TreeMap<>();
        for (int place = 0; place < plan.servers(); place += 9) {
            hosts.put(place, listed.get(place));
        }
        files.writeZones(1, hosts);
        Path file = files.writePrimary(1);
        List<String> texts = new ArrayList<>();
        hosts.forEach((place, host) -> {
            if (plan.regionOfServer(place) == 1) {
                texts.add("\"name\":\"" + host.id() + "\"");
            }
        });
        assertThat(Files.readString(file.resolveSibling("zones-1.json"))).contains(texts);
        BlockingQueue<String> log = new LinkedBlockingQueue<>();
        ReplicaProcess primary = ReplicaProcess.start(file.toString(), log::add);
        try {
            assertThat(log.take()).startsWith("replica serves 7 of 7 zones at ");
        } finally {
            primary.close();
        }
    }
}
