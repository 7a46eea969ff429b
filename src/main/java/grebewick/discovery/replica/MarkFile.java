package grebewick.discovery.replica;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import grebewick.config.ConfigurationException;
import grebewick.discovery.transfer.ZoneVersion;
import grebewick.json.Fields;
import grebewick.json.JsonException;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * What a primary keeps over a restart: its epoch, and the mark of each zone. Written to a temporary file beside it, which then
 * takes its place, so that it is always whole.
 */
final class MarkFile {
    private static final JsonFactory JSON = new JsonFactory();

    private final Path path;

    MarkFile(Path path) {
        this.path = path;
    }

    /** The epoch and marks that were kept, without contents; with the epoch given where there is no such file. */
    PrimaryZones read(long newEpoch) {
        try {
            Fields file = Fields.parse(path.toString(), Files.readString(path));
            Fields zones = file.object("zones");
            Map<String, ZoneMark> marks = new LinkedHashMap<>();
            for (String zone : zones.values().keySet()) {
                Fields mark = zones.object(zone);
                marks.put(zone,
                    new ZoneMark(new ZoneVersion(mark.integer("epoch"), mark.integer("serial")), mark.string("digest")));
            }
            return new PrimaryZones(file.integer("epoch"), marks, Map.of());
        } catch (NoSuchFileException e) {
            return new PrimaryZones(newEpoch, Map.of(), Map.of());
        } catch (IOException e) {
            throw new ConfigurationException(path + ": cannot be read: " + e);
        } catch (JsonException | IllegalArgumentException e) {
            throw new ConfigurationException(path + ": " + e.getMessage());
        }
    }

    /** Keeps the epoch and the marks, on the disk when this returns. */
    void write(PrimaryZones zones) throws IOException {
        Path temporary = path.resolveSibling(path.getFileName() + ".tmp");
        try (OutputStream out = Files.newOutputStream(temporary); JsonGenerator json = JSON.createGenerator(out)) {
            write(zones, json);
        }
        try (FileChannel channel = FileChannel.open(temporary, StandardOpenOption.WRITE)) {
            channel.force(true);
        }
        Files.move(temporary, path, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    }

    private static void write(PrimaryZones zones, JsonGenerator json) throws IOException {
        json.writeStartObject();
        json.writeNumberField("epoch", zones.epoch());
        json.writeObjectFieldStart("zones");
        for (Map.Entry<String, ZoneMark> zone : new TreeMap<>(zones.marks()).entrySet()) {
            json.writeObjectFieldStart(zone.getKey());
            json.writeNumberField("epoch", zone.getValue().version().epoch());
            json.writeNumberField("serial", zone.getValue().version().serial());
            json.writeStringField("digest", zone.getValue().digest());
            json.writeEndObject();
        }
        json.writeEndObject();
        json.writeEndObject();
    }
}
