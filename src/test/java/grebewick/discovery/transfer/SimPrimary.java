package grebewick.discovery.transfer;

import static org.assertj.core.api.Assertions.assertThat;

import grebewick.config.Address;
import grebewick.config.Endpoint;
import grebewick.core.CallControl.ServerEntry;
import grebewick.core.CallControl.Stage;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/** The one writer of zones, with all that it ever wrote. */
final class SimPrimary {
    private final Map<String, ZoneContent> zones = new LinkedHashMap<>();
    private final Map<String, Map<ZoneVersion, ZoneContent>> written = new HashMap<>();
    private final Map<String, List<ZoneChange>> changes = new HashMap<>();
    private int lastAddress;

    /** A server as zones list it; its port tells versions of it apart. */
    static Endpoint server(String id, Stage stage, int port) {
        return new Endpoint(new ServerEntry(id, 1, stage, 0, "std", "east-1", 4), new Address("10.1.0.9", port));
    }

    /** A zone of {@code size} servers named {@code prefix-0} and so on, at version 1 of epoch 1. */
    void create(String zone, String prefix, int size) {
        List<Endpoint> servers = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            servers.add(server(prefix + "-" + i, Stage.HEALTHY, nextPort()));
        }
        write(zone, ZoneContent.of(new ZoneVersion(1, 1), servers));
    }

    private int nextPort() {
        return 1 + lastAddress++ % 65_535;
    }

    private void write(String zone, ZoneContent content) {
        zones.put(zone, content);
        Map<ZoneVersion, ZoneContent> versions = written.computeIfAbsent(zone, z -> new HashMap<>());
        assertThat(versions.put(content.version(), content)).as("one content a version").isNull();
    }

    /** One change of a zone: one version more. */
    void change(String zone, Consumer<Map<String, Endpoint>> edit) {
        ZoneContent before = zones.get(zone);
        Map<String, Endpoint> servers = new LinkedHashMap<>(before.servers());
        edit.accept(servers);
        ZoneContent after = new ZoneContent(before.version().next(), servers);
        write(zone, after);
        changes.computeIfAbsent(zone, z -> new ArrayList<>()).add(before.changeTo(after));
    }

    /** Adds a server, or replaces it. */
    void put(String zone, String id) {
        change(zone, servers -> servers.put(id, server(id, Stage.HEALTHY, nextPort())));
    }

    /** Removes a server. */
    void remove(String zone, String id) {
        change(zone, servers -> servers.remove(id));
    }

    /** Sets a server draining. */
    void drain(String zone, String id) {
        change(zone, servers -> servers.computeIfPresent(id, (name, e) -> server(name, Stage.DRAINING, e.address().port())));
    }

    /** Numbering starts anew, at a low serial of the next epoch. */
    void renumber(String zone) {
        ZoneContent before = zones.get(zone);
        write(zone, new ZoneContent(new ZoneVersion(before.version().epoch() + 1, 1), before.servers()));
        changes.put(zone, new ArrayList<>());
    }

    /** The names of all zones. */
    List<String> zones() {
        return List.copyOf(zones.keySet());
    }

    /** What a zone is now. */
    ZoneContent content(String zone) {
        return zones.get(zone);
    }

    /** What a zone was at a version; null: never written. */
    ZoneContent at(String zone, ZoneVersion version) {
        return written.get(zone).get(version);
    }

    /** One of all contents that a zone ever had. */
    ZoneContent anyOf(String zone, SplittableRandom random) {
        List<ZoneVersion> versions = written.get(zone).keySet().stream().sorted().toList();
        return at(zone, versions.get(random.nextInt(versions.size())));
    }

    /** The changes from one version to another; empty: no chain leads there. */
    List<ZoneChange> changes(String zone, ZoneVersion from, ZoneVersion to) {
        return changes.getOrDefault(zone, List.of()).stream()
            .filter(change -> change.from().compareTo(from) >= 0 && change.to().compareTo(to) <= 0).toList();
    }

    /** All servers of all zones as one list. */
    List<Endpoint> list() {
        return ServerListMerger.merge(zones.values().stream().map(content -> content.servers().values()).toList());
    }
}
