package grebewick.discovery.replica;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import grebewick.config.Address;
import grebewick.config.ConfigurationException;
import grebewick.discovery.transfer.Replica;
import java.nio.file.Path;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** A replica's own file. */
class ReplicaConfigTest {
    private static final Path FOLDER = Path.of("/etc/grebewick");
    private static final String SECONDARY = "{\"listen\":\"127.0.0.1:1\",\"role\":\"secondary\",\"upstreams\":[\"127.0.0.1:2\"],";

    @Test
    void theFilesOfTheRepositoryAreRead() {
        ReplicaConfig primary = ReplicaConfig.load("deploy/replica.json");
        assertThat(primary.listen()).isEqualTo(new Address("127.0.0.1", 5300));
        assertThat(primary.zoneFile()).hasFileName("replica-zones.json").exists();
        assertThat(primary.markFile()).hasFileName("replica-zones.json.marks");
        ReplicaConfig secondary = ReplicaConfig.load("deploy/replica-secondary.json");
        assertThat(secondary.zoneFile()).isNull();
        assertThat(primary.follow()).isNull();
        assertThat(secondary.follow().replicas()).containsExactly(new Replica(new Address("127.0.0.1", 5300), "", ""));
        assertThat(secondary.follow().zones()).contains("s1.east.fleet.local.");
    }

    @Test
    void limitsAreReadAndOtherwiseUsual() {
        ReplicaConfig given = ReplicaConfig.parse(SECONDARY + """
            "zones":["s1.east."],"limits":{"transfers":2,"copy_bytes_per_s":3,"queries_per_s":4,"history_changes":5,
             "history_bytes":6,"connections":7}}""", FOLDER);
        assertThat(given.limits()).isEqualTo(new LimitSettings(2, 3, 4));
        assertThat(given.history()).isEqualTo(new HistoryLimits(5, 6));
        assertThat(given.server().connections()).isEqualTo(7);
        ReplicaConfig usual = ReplicaConfig.parse(SECONDARY + "\"zones\":[\"s1.east.\"]}", FOLDER);
        assertThat(usual.limits()).isEqualTo(LimitSettings.DEFAULT);
        assertThat(usual.server()).isEqualTo(ServerLimits.DEFAULT);
    }

    @Test
    void whatIsWrongIsNamed() {
        Map<String, String> faults = Map.of(
            "{\"role\":\"primary\"}", "field listen is missing",
            "{\"listen\":\"here\",\"role\":\"primary\"}", "field listen: 'here' is not host:port",
            "{\"listen\":\"127.0.0.1:1\"}", "field role is missing",
            "{\"listen\":\"127.0.0.1:1\",\"role\":\"third\"}", "field role is neither",
            "{\"listen\":\"127.0.0.1:1\",\"role\":\"primary\"}", "field zone_file is missing",
            "{\"listen\":\"127.0.0.1:1\",\"role\":\"secondary\",\"zones\":[\"a.\"]}", "field upstreams is missing or empty",
            SECONDARY + "\"zones\":[]}", "field zones is missing or empty",
            SECONDARY + "\"zones\":[\"s1\"]}", "field zones: 's1' is no absolute name",
            SECONDARY + "\"zones\":[\"a.\"],\"limits\":{\"transfers\":0}}", "replica.limits: field transfers",
            SECONDARY + "\"zones\":[\"a.\"],\"limits\":{\"queries_per_s\":3000000000}}", "replica.limits: field queries_per_s");
        faults.forEach((text, message) -> assertThatThrownBy(() -> ReplicaConfig.parse(text, FOLDER)).as(text)
            .isInstanceOf(ConfigurationException.class).hasMessageContaining(message));
        assertThatThrownBy(() -> ReplicaConfig.load("deploy/none.json")).isInstanceOf(ConfigurationException.class)
            .hasMessageContaining("deploy/none.json");
    }
}
