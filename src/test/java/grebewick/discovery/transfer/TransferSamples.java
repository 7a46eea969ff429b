package grebewick.discovery.transfer;

import grebewick.config.Address;
import grebewick.config.Endpoint;
import grebewick.core.CallControl.ServerEntry;
import grebewick.core.CallControl.Stage;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

/** Zones and changes drawn from a seed. */
public final class TransferSamples {
    /** The zone of all samples. */
    public static final String ZONE = "s12.east.fleet.local.";
    private static final int LATE_STARTS_MS = 2_000_000_000;

    private final Random random;
    private int last;

    /** Draws from this seed. */
    public TransferSamples(long seed) {
        System.out.println("transfer samples: seed " + seed);
        random = new Random(seed);
    }

    /** A server that was never drawn before. */
    public Endpoint server() {
        last++;
        String id = String.format("s-%06x%02x", last, random.nextInt(256));
        return server(id);
    }

    private Endpoint server(String id) {
        long startedMs = random.nextBoolean() ? 0 : 1_700_000_000_000L + random.nextInt(LATE_STARTS_MS);
        ServerEntry entry = new ServerEntry(id, random.nextInt(9) - 1, random.nextInt(4) == 0 ? Stage.DRAINING : Stage.HEALTHY,
            startedMs * 1000, random.nextBoolean() ? "std" : "big one", "east-" + random.nextInt(5), random.nextInt(100) / 10.0);
        return new Endpoint(entry, new Address("10." + random.nextInt(256) + "." + random.nextInt(256) + ".9",
            1 + random.nextInt(65_535)));
    }

    /** A zone of so many servers. */
    public ZoneContent content(ZoneVersion version, int size) {
        List<Endpoint> servers = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            servers.add(server());
        }
        return ZoneContent.of(version, servers);
    }

    /** The content after some servers were changed, removed and added. */
    public ZoneContent next(ZoneContent content, int touched) {
        List<Endpoint> servers = new ArrayList<>(content.servers().values());
        Collections.shuffle(servers, random);
        for (int i = 0; i < touched; i++) {
            int kind = servers.isEmpty() ? 0 : random.nextInt(3);
            if (kind == 0) {
                servers.add(server());
            } else if (kind == 1) {
                servers.remove(0);
            } else {
                int at = random.nextInt(servers.size());
                servers.set(at, server(servers.get(at).entry().server()));
            }
        }
        return ZoneContent.of(content.version().next(), servers);
    }

    /** A chain of changes that starts at a content. */
    public List<ZoneChange> chain(ZoneContent start, int length) {
        List<ZoneChange> changes = new ArrayList<>();
        ZoneContent at = start;
        for (int i = 0; i < length; i++) {
            ZoneContent next = next(at, 1 + random.nextInt(3));
            changes.add(at.changeTo(next));
            at = next;
        }
        return changes;
    }
}
