package grebewick.discovery.replica;

import static grebewick.discovery.replica.ZoneFiles.ZONE;
import static grebewick.discovery.replica.ZoneFiles.of;
import static grebewick.discovery.replica.ZoneFiles.server;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import grebewick.config.Address;
import grebewick.config.ConfigurationException;
import grebewick.config.Endpoint;
import grebewick.core.CallControl.ServerEntry;
import grebewick.core.CallControl.Stage;
import grebewick.discovery.transfer.ZoneContent;
import grebewick.discovery.transfer.ZoneVersion;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The primary's file, its numbers, and what it keeps over a restart. */
class PrimaryZonesTest {
    private static final long EPOCH = 1_764_650_000_000L;
    private static final PrimaryZones NEW = new PrimaryZones(EPOCH, Map.of(), Map.of());

    @TempDir
    private Path folder;

    private static ZoneVersion version(PrimaryZones zones) {
        return zones.contents().get(ZONE).version();
    }

    @Test
    void aFileIsReadInFull() {
        Map<String, List<Endpoint>> zones = ZoneFile.parse(of(server(1, "up"), server(2, "draining"),
            "{\"name\":\"s-3\",\"address\":\"10.1.0.3:1\",\"zone\":\"b\"}"));
        assertThat(zones.get(ZONE)).containsExactly(
            new Endpoint(new ServerEntry("s-1", 2, Stage.HEALTHY, 1_700_000_000_000_000L, "std", "east-1", 4),
                new Address("10.1.0.1", 5070)),
            new Endpoint(new ServerEntry("s-2", 2, Stage.DRAINING, 1_700_000_000_000_000L, "std", "east-1", 4),
                new Address("10.1.0.2", 5070)),
            new Endpoint(new ServerEntry("s-3", -1, Stage.HEALTHY, 0, "", "b", 1), new Address("10.1.0.3", 1)));
        assertThat(ZoneFile.parse(of()).get(ZONE)).isEmpty();
    }

    @Test
    void whatIsWrongInAFileIsNamedWithItsField() {
        String list = "zones." + ZONE;
        Map<String, String> faults = Map.ofEntries(
            Map.entry("", "the file is empty"),
            Map.entry("{", "not JSON"),
            Map.entry("{}", "field zones is missing"),
            Map.entry("{\"zones\": {\"" + ZONE + "\": 1}}", list + " is not a list"),
            Map.entry("{\"zones\": {\"s1.east.fleet.local\": []}}", "no absolute name"),
            Map.entry("{\"zones\": {\"S1.east.\": []}}", "lower case"),
            Map.entry(of("1"), list + "[0] is not an object"),
            Map.entry(of(server(1, "up"), server(1, "up")), list + "[1]: server s-1 is there twice"),
            Map.entry(of(server(1, "up"), server(2, "gone")), list + "[1]: field status"),
            Map.entry(of("{\"name\":\"s-1\",\"zone\":\"b\"}"), list + "[0]: field address is missing"),
            Map.entry(of("{\"name\":\"s-1\",\"address\":\"10.1.0.1\",\"zone\":\"b\"}"),
                list + "[0]: '10.1.0.1' is not host:port"),
            Map.entry(of("{\"name\":\"s.1\",\"address\":\"10.1.0.1:1\",\"zone\":\"b\"}"), list + "[0]: a server that no record"),
            Map.entry(of("{\"name\":\"s-1\",\"address\":\"host:1\",\"zone\":\"b\"}"), list + "[0]: a server that no record"),
            Map.entry(of("{\"name\":\"s-1\",\"address\":\"10.1.0.1:1\",\"zone\":\"b\",\"weight\":0.25}"), "field weight"),
            Map.entry(of("{\"name\":\"s-1\",\"address\":\"10.1.0.1:1\",\"zone\":\"b\",\"group\":5000000000}"), list + "[0]"));
        faults.forEach(
            (text, message) -> assertThatThrownBy(() -> ZoneFile.parse(text)).as(text).isInstanceOf(ConfigurationException.class)
                .hasMessageContaining(message));
    }

    /** Files of marks outlive an update of the program: the digest of the same servers may not change. */
    @Test
    void theDigestOfAZoneIsTheSameFromReleaseToRelease() {
        List<Endpoint> servers = ZoneFile.parse(of(server(1, "up"), server(2, "draining"))).get(ZONE);
        assertThat(PrimaryZones.digest(servers))
            .isEqualTo("b3199e8fda5435164337353ba94815f092c43fee79b9d4c49fdc2610b8eed30b");
    }

    @Test
    void aZoneGetsTheNextNumberWhenItsServersDiffer() {
        PrimaryZones first = NEW.next(ZoneFile.parse(of(server(1, "up"), server(2, "up"))));
        assertThat(version(first)).isEqualTo(new ZoneVersion(EPOCH, 1));
        PrimaryZones same = first.next(ZoneFile.parse(of(server(2, "up"), server(1, "up"))));
        assertThat(version(same)).as("in another order").isEqualTo(version(first));
        PrimaryZones drains = same.next(ZoneFile.parse(of(server(1, "up"), server(2, "draining"))));
        assertThat(version(drains)).isEqualTo(new ZoneVersion(EPOCH, 2));
        PrimaryZones empty = drains.next(ZoneFile.parse(of()));
        assertThat(version(empty)).isEqualTo(new ZoneVersion(EPOCH, 3));
        assertThatThrownBy(() -> empty.next(Map.of())).isInstanceOf(ConfigurationException.class)
            .hasMessageContaining(ZONE + " is missing");
    }

    /** Guards against one version with two contents: over restarts, numbers go on from what was kept. */
    @Test
    void numbersGoOnOverARestart() throws Exception {
        MarkFile file = new MarkFile(folder.resolve("zones.json.marks"));
        PrimaryZones first = file.read(EPOCH).next(ZoneFile.parse(of(server(1, "up"))));
        PrimaryZones second = first.next(ZoneFile.parse(of(server(1, "draining"))));
        file.write(second);
        PrimaryZones kept = file.read(EPOCH + 99);
        assertThat(kept.epoch()).isEqualTo(EPOCH);
        assertThat(kept.contents()).isEmpty();
        assertThat(version(kept.next(ZoneFile.parse(of(server(1, "draining")))))).isEqualTo(new ZoneVersion(EPOCH, 2));
        assertThat(version(kept.next(ZoneFile.parse(of(server(1, "up")))))).isEqualTo(new ZoneVersion(EPOCH, 3));
        PrimaryZones without = kept.next(Map.of("s9.east.fleet.local.", List.of()));
        assertThat(version(without.next(ZoneFile.parse("{\"zones\":{\"s9.east.fleet.local.\":[],\"" + ZONE + "\":[]}}"))))
            .as("a zone that was not listed for a while").isEqualTo(new ZoneVersion(EPOCH, 3));
    }

    @Test
    void marksThatAreLostAreANewEpoch() {
        MarkFile file = new MarkFile(folder.resolve("none"));
        assertThat(file.read(EPOCH + 99).epoch()).isEqualTo(EPOCH + 99);
    }

    @Test
    void marksThatCannotBeReadAreAnError() throws Exception {
        Path path = folder.resolve("marks");
        for (String text : List.of("", "{\"epoch\": 5", "{\"epoch\": 5}", "{\"epoch\": 5, \"zones\": {\"z.\": {\"serial\": 1}}}",
            "{\"epoch\": 5, \"zones\": {\"z.\": {\"epoch\": 0, \"serial\": 1, \"digest\": \"\"}}}")) {
            Files.writeString(path, text);
            assertThatThrownBy(() -> new MarkFile(path).read(EPOCH)).as(text).isInstanceOf(ConfigurationException.class)
                .hasMessageContaining(path.toString());
        }
    }

    /** A write that is interrupted leaves the file before it, and its own rest is no obstacle. */
    @Test
    void marksAreReplacedAsAWhole() throws Exception {
        Path path = folder.resolve("marks");
        Files.writeString(folder.resolve("marks.tmp"), "{\"epoch\": 5, \"zon");
        MarkFile file = new MarkFile(path);
        PrimaryZones zones = NEW.next(ZoneFile.parse(of(server(1, "up"))));
        file.write(zones);
        assertThat(file.read(1)).isEqualTo(new PrimaryZones(EPOCH, zones.marks(), Map.of()));
        assertThat(folder.resolve("marks.tmp")).doesNotExist();
    }

    @Test
    void aContentIsNotCopiedWhileItIsTheSame() {
        PrimaryZones first = NEW.next(ZoneFile.parse(of(server(1, "up"))));
        ZoneContent content = first.contents().get(ZONE);
        assertThat(first.next(ZoneFile.parse(of(server(1, "up")))).contents().get(ZONE)).isSameAs(content);
    }
}
