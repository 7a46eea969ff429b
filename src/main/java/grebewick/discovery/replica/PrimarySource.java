package grebewick.discovery.replica;

import grebewick.config.ConfigurationException;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * The one writer of its zones: reads them from a file, and numbers what has changed. Marks are on the disk before a version
 * is given out, so that none is given out twice. A file that cannot work changes nothing.
 */
final class PrimarySource implements ZoneSource {
    private final Vertx vertx;
    private final Path file;
    private final MarkFile markFile;
    /** Read and replaced by one reading of the file at a time. */
    private volatile PrimaryZones zones;
    private Listener listener;

    /**
     * Reads the zones for the first time, before the event loop has anything to do.
     *
     * @param newEpoch the epoch where none was kept: the Unix time in ms
     * @throws ConfigurationException a file cannot be read or written, or cannot work
     */
    PrimarySource(Vertx vertx, Path file, Path marks, long newEpoch) {
        this.vertx = vertx;
        this.file = file;
        markFile = new MarkFile(marks);
        zones = markFile.read(newEpoch);
        read();
    }

    private void read() {
        PrimaryZones next;
        try {
            next = zones.next(ZoneFile.parse(Files.readString(file)));
        } catch (IOException e) {
            throw new ConfigurationException(file + ": cannot be read: " + e);
        } catch (ConfigurationException e) {
            throw new ConfigurationException(file + ": " + e.getMessage());
        }
        if (!next.marks().equals(zones.marks())) {
            try {
                markFile.write(next);
            } catch (IOException e) {
                throw new ConfigurationException(file + ": the marks of its zones cannot be written: " + e);
            }
        }
        zones = next;
    }

    @Override
    public void start(Listener to) {
        listener = to;
        tell();
    }

    @Override
    public Future<Void> reread() {
        // In order, one at a time: the blocking calls of one context.
        return vertx.executeBlocking(() -> {
            read();
            return zones;
        }).onSuccess(read -> tell()).mapEmpty();
    }

    private void tell() {
        PrimaryZones now = zones;
        listener.serve(now.contents().keySet());
        now.contents().forEach(listener::news);
    }

    @Override
    public Future<Void> close() {
        return Future.succeededFuture();
    }
}
