package grebewick.config;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import grebewick.core.CallControl.Stage;
import grebewick.diameter.DiameterConfig;
import grebewick.play.Sites;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class NodeConfigTest {
    private static final String FILE = """
        {"name":"n3","listen":"127.0.0.4:5070","seed":"ffffffffffffffff","peer_listen":"127.0.0.4:7946",
         "peers":["127.3.0.1:7946"],"peers_all":"127.3.255.1:7946","names":"127.2.0.1:1053",
         "known":{"index":41,"updates":[
          {"index":7,"endpoints":{"index":7,"snapshot":true,"endpoints":[
           {"name":"s-1","address":"127.1.0.9:5070","zone":"east","type":"std","group":2,
            "status":"up","weight":4,"since_ms":5},
           {"name":"s-2","address":"127.1.0.8:5070","zone":"east","type":"std","group":1,
            "status":"up","weight":4,"since_ms":0}]}},
          {"index":41,"snapshot":false,"endpoints":[
           {"name":"s-1","address":"127.1.0.9:5070","zone":"east","type":"std","group":2,
            "status":"draining","weight":4,"since_ms":5},
           {"name":"s-2","address":"127.1.0.8:5070","status":"removed"}]}]},
         "settings":""" + Sites.SETTINGS + "}";

    @Test
    void theFileIsReadAndItsEventsAreAppliedInOrder() {
        NodeConfig c = NodeConfig.parse(FILE, Map.of("RELAY_NAME", "n4"));
        assertThat(c.name()).isEqualTo("n4");
        assertThat(c.listen()).isEqualTo(new Address("127.0.0.4", 5070));
        assertThat(c.seed()).isEqualTo(-1);
        assertThat(c.index()).isEqualTo(41);
        assertThat(c.known()).singleElement().satisfies(e -> {
            assertThat(e.entry().stage()).isEqualTo(Stage.DRAINING);
            assertThat(e.entry().startedAtUs()).isEqualTo(5000);
            assertThat(e.entry().placeNo()).isEqualTo(2);
        });
        assertThat(c.settings().familyInfo().releaseUs()).as("with its margin").isEqualTo(560_000);
    }

    @Test
    void aThousandServersAndPeersAreRead() {
        String servers = IntStream.range(0, 1024).mapToObj(i -> ("{\"name\":\"s-%d\",\"address\":\"127.1.0.9:%d\",\"group\":%d,"
            + "\"status\":\"up\"}").formatted(i, 5070 + i, i)).collect(Collectors.joining(","));
        String peers = IntStream.range(0, 1024).mapToObj(i -> "\"127.3.0.1:" + (7000 + i) + "\"")
            .collect(Collectors.joining(","));
        NodeConfig c = NodeConfig.parse(FILE.replace("\"127.3.0.1:7946\"", peers).replaceAll("(?s)\"known\":.*\"settings\":",
            "\"known\":{\"index\":1,\"updates\":[{\"snapshot\":true,\"endpoints\":[" + servers + "]}]},\"settings\":"), Map.of());
        assertThat(c.peers().get(1023)).isEqualTo(new Address("127.3.0.1", 8023));
        assertThat(c.known().get(1023).entry().placeNo()).isEqualTo(1023);
    }

    @Test
    void whatCannotWorkIsSaidInOneLine() {
        for (String bad : new String[] {"{", "[]", FILE.replace("127.0.0.4:5070", "nowhere"), FILE.replace("Grades", "G"),
            FILE.replace("ffffffffffffffff", "xyz"),
            FILE.replace("\"GoalTime\":2000000", "\"GoalTime\":0"), FILE.replace("\"ReplicasOfMe\":1", "\"ReplicasOfMe\":0")}) {
            assertThatThrownBy(() -> NodeConfig.parse(bad, Map.of())).isInstanceOf(ConfigurationException.class)
                .message().isNotBlank().doesNotContain("\n");
        }
        assertThatThrownBy(() -> NodeConfig.load(Map.of())).hasMessage("RELAY_CONFIG is not set");
        assertThatThrownBy(() -> DiameterConfig.load("no/such/file")).isInstanceOf(ConfigurationException.class);
    }

    @Test
    void theDiameterFileThatIsDeliveredCanBeRead() {
        DiameterConfig c = DiameterConfig.load("deploy/diameter.json");
        assertThat(c.listen().host()).startsWith("127.");
        assertThat(c.settings().grades()).hasSize(1);
    }
}
