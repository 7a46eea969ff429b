package grebewick.discovery.replica;

import grebewick.config.ConfigurationException;
import grebewick.config.Endpoint;
import grebewick.core.CallControl.ServerEntry;
import grebewick.core.CallControl.Stage;
import grebewick.discovery.transfer.ZoneContent;
import grebewick.discovery.transfer.ZoneVersion;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Collection;
import java.util.Comparator;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Numbers the versions of a primary's zones; never changes itself. A zone keeps its version while its servers are the same,
 * also over a restart with the marks that were kept, and gets the next one when they differ.
 *
 * @param epoch of zones that were never numbered
 * @param marks by zone, of all zones that were ever listed
 * @param contents by zone, of the zones that are listed
 */
record PrimaryZones(long epoch, Map<String, ZoneMark> marks, Map<String, ZoneContent> contents) {
    private static final long FIRST_SERIAL = 1;

    /** Copies the maps. */
    PrimaryZones {
        marks = Map.copyOf(marks);
        contents = Map.copyOf(contents);
    }

    /** The zones after a file was read; refuses one in which a zone is missing that is served now. */
    PrimaryZones next(Map<String, List<Endpoint>> listed) {
        for (String zone : contents.keySet()) {
            if (!listed.containsKey(zone)) {
                throw new ConfigurationException("zones." + zone + " is missing; an empty list ends a zone");
            }
        }
        Map<String, ZoneMark> nextMarks = new LinkedHashMap<>(marks);
        Map<String, ZoneContent> nextContents = new LinkedHashMap<>();
        listed.forEach((zone, servers) -> {
            ZoneMark mark = next(marks.get(zone), digest(servers));
            nextMarks.put(zone, mark);
            ZoneContent held = contents.get(zone);
            nextContents.put(zone, held != null && held.version().equals(mark.version()) ? held
                : ZoneContent.of(mark.version(), servers));
        });
        return new PrimaryZones(epoch, nextMarks, nextContents);
    }

    private ZoneMark next(ZoneMark before, String digest) {
        if (before == null) {
            return new ZoneMark(new ZoneVersion(epoch, FIRST_SERIAL), digest);
        }
        return before.digest().equals(digest) ? before : new ZoneMark(before.version().next(), digest);
    }

    /** The same for the same servers in any order. */
    static String digest(Collection<Endpoint> servers) {
        MessageDigest digest;
        try {
            digest = MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every JDK has SHA-256", e);
        }
        servers.stream().sorted(Comparator.comparing(server -> server.entry().server()))
            .forEach(server -> digest.update(line(server).getBytes(StandardCharsets.UTF_8)));
        return HexFormat.of().formatHex(digest.digest());
    }

    private static String line(Endpoint server) {
        ServerEntry e = server.entry();
        return String.join("|", e.server(), e.zone(), server.address().toString(), word(e.stage()), e.model(),
            Integer.toString(e.placeNo()), Long.toString(e.startedAtUs()), Double.toString(e.weight())) + "\n";
    }

    /** The words of the digests in files of marks: another word would give each zone with a draining server a new version. */
    private static String word(Stage stage) {
        return stage == Stage.DRAINING ? "CORDONED" : stage.name();
    }
}
