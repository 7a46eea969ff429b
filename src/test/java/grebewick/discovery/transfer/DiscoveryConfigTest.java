package grebewick.discovery.transfer;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import grebewick.config.Address;
import grebewick.config.ConfigurationException;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The file of {@code RELAY_DISCOVERY}. */
class DiscoveryConfigTest {
    private static final String FILE = """
        {"region":"east","zone":"east-1","replicas":[{"address":"10.0.0.1:53","region":"east","zone":"east-1"}],
         "zones":["S1.east.fleet.local."],"poll_ms":1500}""";

    @Test
    void theDeployedFileIsRead() {
        DiscoveryConfig config = DiscoveryConfig.load("deploy/discovery.json");
        assertThat(config.replicas()).hasSize(3);
        assertThat(config.zones()).containsExactly("s1.east.fleet.local.", "s1.west.fleet.local.");
    }

    @Test
    void whatAFileLeavesOutHasItsUsualValue() {
        DiscoveryConfig config = DiscoveryConfig.parse(FILE);
        assertThat(config.replicas()).containsExactly(new Replica(new Address("10.0.0.1", 53), "east", "east-1"));
        assertThat(config).extracting(DiscoveryConfig::pollUs, DiscoveryConfig::timeoutUs, DiscoveryConfig::transferUs,
            DiscoveryConfig::pollBytesPerSecond, DiscoveryConfig::transferBytesPerSecond, DiscoveryConfig::maxTransferBytes)
            .containsExactly(1_500_000L, 500_000L, 3_000_000L, 8_000L, 12_000L, 8L << 20);
        assertThat(config.zones()).as("in lower case").containsExactly("s1.east.fleet.local.");
    }

    /** What cannot work is said with the file's variable and the field. */
    @ParameterizedTest
    @CsvSource(delimiter = '|', value = {
        "\"region\":\"east\",\"zone\":\"east-1\",|\"zone\":\"east-1\",|field region is missing",
        "\"poll_ms\":1500|\"poll_ms\":0|field poll_ms is 0, not between 1 and",
        "\"poll_ms\":1500|\"poll_ms\":\"soon\"|field poll_ms is not of the expected type",
        "\"S1.east.fleet.local.\"|\"s1.east\"|field zones has 's1.east', which is no absolute name",
        "\"S1.east.fleet.local.\"|\"a.\",\"A.\"|field zones has a. twice",
        "[\"S1.east.fleet.local.\"]|[]|field zones is empty",
        "10.0.0.1:53|10.0.0.1|field replicas.address '10.0.0.1' is not host:port",
        "10.0.0.1:53|10.0.0.1:0|field replicas.address has port 0",
        "\"10.0.0.1:53\",\"region\":\"east\"|\"10.0.0.1:53\"|field region is missing",
        "}],|},{\"address\":\"10.0.0.1:53\",\"region\":\"west\"}],|field replicas has 10.0.0.1:53 twice",
        "\"poll_ms\":1500}|\"poll_ms\":1500|not JSON"})
    void whatCannotWorkIsNamed(String part, String instead, String fault) {
        assertThat(FILE).contains(part);
        assertThatThrownBy(() -> DiscoveryConfig.parse(FILE.replace(part, instead))).isInstanceOf(ConfigurationException.class)
            .hasMessageStartingWith("RELAY_DISCOVERY: ").hasMessageContaining(fault);
    }

    @Test
    void aFileThatIsNotThereIsNamed() {
        assertThatThrownBy(() -> DiscoveryConfig.load("/nowhere.json")).isInstanceOf(ConfigurationException.class)
            .hasMessage("RELAY_DISCOVERY: cannot read the file /nowhere.json");
    }

    /** Guards against a cap on lists. */
    @Test
    void thousandsOfZonesAndReplicasAreTaken() {
        String zones = IntStream.range(0, 3_800).mapToObj(i -> "\"s" + i + ".\"").collect(Collectors.joining(","));
        String replicas = IntStream.range(0, 1_024)
            .mapToObj(i -> "{\"address\":\"10.0.0.1:" + (1 + i) + "\",\"region\":\"east\"}")
            .collect(Collectors.joining(","));
        DiscoveryConfig config = DiscoveryConfig
            .parse("{\"region\":\"east\",\"replicas\":[" + replicas + "],\"zones\":[" + zones + "]}");
        assertThat(config.zones()).hasSize(3_800);
        assertThat(config.replicas()).hasSize(1_024);
    }
}
