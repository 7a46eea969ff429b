package grebewick.discovery.replica;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import grebewick.config.Address;
import grebewick.config.ConfigurationException;
import grebewick.discovery.transfer.DiscoveryConfig;
import grebewick.discovery.transfer.Replica;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** A replica's own file. */
class ReplicaConfigTest {
    private static final Path FOLDER = Path.of("/etc/grebewick");
    private static final String SOURCES = "{\"listen\":\"127.0.0.1:1\",\"role\":\"secondary\",\"sources\":[";
    private static final String SOURCE = "{\"upstreams\":[\"127.0.0.1:2\"],\"zones\":[\"a.\"]}";
    private static final String SECONDARY = "{\"listen\":\"127.0.0.1:1\",\"role\":\"secondary\",\"upstreams\":[\"127.0.0.1:2\"],";

    @Test
    void theFilesOfTheRepositoryAreRead() {
        ReplicaConfig primary = ReplicaConfig.load("deploy/replica.json");
        assertThat(primary.listen()).isEqualTo(new Address("127.0.0.1", 5300));
        assertThat(primary.zoneFile()).hasFileName("replica-zones.json").exists();
        assertThat(primary.markFile()).hasFileName("replica-zones.json.marks");
        ReplicaConfig secondary = ReplicaConfig.load("deploy/replica-secondary.json");
        assertThat(secondary.zoneFile()).isNull();
        assertThat(primary.sources()).isEmpty();
        assertThat(secondary.sources()).singleElement().satisfies(source -> {
            assertThat(source.replicas()).containsExactly(new Replica(new Address("127.0.0.1", 5300), "", ""));
            assertThat(source.zones()).contains("s1.east.fleet.local.");
        });
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
    void eachRegionsPrimaryIsASourceOfItsOwnZones() {
        ReplicaConfig given = ReplicaConfig.parse("""
            {"listen":"127.0.0.1:1","role":"secondary","poll_ms":700,"counters_ms":250,"sources":[
             {"upstreams":["127.0.0.1:2"],"zones":["s1.east.","s2.east."]},
             {"upstreams":["127.0.0.1:3","127.0.0.1:4"],"zones":["s1.west."]}]}""", FOLDER);
        assertThat(given.sources()).extracting(DiscoveryConfig::zones)
            .containsExactly(List.of("s1.east.", "s2.east."), List.of("s1.west."));
        assertThat(given.sources().get(1).replicas()).extracting(each -> each.address().port()).containsExactly(3, 4);
        assertThat(given.sources()).allMatch(source -> source.pollUs() == 700_000);
        assertThat(given.countersUs()).isEqualTo(250_000);
    }

    @Test
    void whatIsWrongIsNamed() {
        Map<String, String> faults = faults(
            "{\"role\":\"primary\"}", "field listen is missing",
            "{\"listen\":\"here\",\"role\":\"primary\"}", "field listen: 'here' is not host:port",
            "{\"listen\":\"127.0.0.1:1\"}", "field role is missing",
            "{\"listen\":\"127.0.0.1:1\",\"role\":\"third\"}", "field role is neither",
            "{\"listen\":\"127.0.0.1:1\",\"role\":\"primary\"}", "field zone_file is missing",
            "{\"listen\":\"127.0.0.1:1\",\"role\":\"secondary\",\"zones\":[\"a.\"]}", "field upstreams is missing or empty",
            SOURCES + "]}", "field sources is empty",
            SOURCES + "{\"zones\":[\"a.\"]}]}", "field upstreams is missing or empty",
            SOURCES + SOURCE + "," + SOURCE + "]}", "field sources has zone a. twice",
            SOURCES + SOURCE + "],\"zones\":[\"b.\"]}", "field sources stands beside upstreams or zones",
            SECONDARY + "\"zones\":[]}", "field zones is missing or empty",
            SECONDARY + "\"zones\":[\"s1\"]}", "field zones: 's1' is no absolute name",
            SECONDARY + "\"zones\":[\"a.\"],\"limits\":{\"transfers\":0}}", "replica.limits: field transfers",
            SECONDARY + "\"zones\":[\"a.\"],\"limits\":{\"queries_per_s\":3000000000}}", "replica.limits: field queries_per_s");
        faults.forEach((text, message) -> assertThatThrownBy(() -> ReplicaConfig.parse(text, FOLDER)).as(text)
            .isInstanceOf(ConfigurationException.class).hasMessageContaining(message));
        assertThatThrownBy(() -> ReplicaConfig.load("deploy/none.json")).isInstanceOf(ConfigurationException.class)
            .hasMessageContaining("deploy/none.json");
    }

    private static Map<String, String> faults(String... textsAndMessages) {
        Map<String, String> faults = new LinkedHashMap<>();
        for (int i = 0; i < textsAndMessages.length; i += 2) {
            faults.put(textsAndMessages[i], textsAndMessages[i + 1]);
        }
        return faults;
    }
}
