package grebewick.discovery.transfer;

import grebewick.config.Address;
import grebewick.config.Endpoint;
import grebewick.core.CallControl.ServerEntry;
import grebewick.core.CallControl.Stage;
import grebewick.discovery.transfer.TransferException.Kind;
import java.net.InetAddress;
import java.net.UnknownHostException;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Pattern;
import org.xbill.DNS.ARecord;
import org.xbill.DNS.DClass;
import org.xbill.DNS.Name;
import org.xbill.DNS.Record;
import org.xbill.DNS.SRVRecord;
import org.xbill.DNS.TXTRecord;
import org.xbill.DNS.TextParseException;

/**
 * The three records of a server, as the platform's name service has them: SRV at {@code _work._tcp.<zone>}, A and TXT at
 * its target {@code <id>.<availability zone>.<zone>}.
 */
final class ServerRecords {
    /** Records of one server. */
    static final int PER_SERVER = 3;
    /** Weights are tenths. */
    private static final double WEIGHT_SCALE = 10.0;
    private static final int MOST_16_BITS = 0xffff;
    private static final long US_PER_MS = 1000;
    /** Ids and availability zones: one label, in lower case, as compression of names does not keep the case. */
    private static final Pattern LABEL = Pattern.compile("[a-z0-9_]([a-z0-9_-]{0,61}[a-z0-9_])?");
    /** Kinds: printable, and nothing that the text form of a TXT record escapes. */
    private static final Pattern KIND = Pattern.compile("[ !#-\\[\\]-~]{0,200}");

    private ServerRecords() {}

    /** The records of a server. */
    static List<Record> of(Name zone, Endpoint server) {
        ServerEntry entry = server.entry();
        int weight = (int) Math.round(entry.weight() * WEIGHT_SCALE);
        if (entry.stage() == Stage.DEREGISTERED || weight < 0 || weight > MOST_16_BITS || !isSayable(entry)) {
            throw new IllegalArgumentException("a server that no record can say: " + entry);
        }
        try {
            Name target = Name.fromString(entry.server() + "." + entry.zone(), zone);
            InetAddress address = org.xbill.DNS.Address.getByAddress(server.address().host(), org.xbill.DNS.Address.IPv4);
            return List.of(
                new SRVRecord(work(zone), DClass.IN, 0, entry.stage() == Stage.HEALTHY ? 0 : 1, weight,
                    server.address().port(), target),
                new ARecord(target, DClass.IN, 0, address),
                new TXTRecord(target, DClass.IN, 0, List.of("kind=" + entry.model(), "cell=" + entry.placeNo(),
                    "started=" + entry.startedAtUs() / US_PER_MS)));
        } catch (TextParseException | UnknownHostException e) {
            throw new IllegalArgumentException("a server that no record can say: " + server, e);
        }
    }

    private static boolean isSayable(ServerEntry entry) {
        return LABEL.matcher(entry.server()).matches() && LABEL.matcher(entry.zone()).matches()
            && KIND.matcher(entry.model()).matches();
    }

    private static Name work(Name zone) throws TextParseException {
        return Name.fromString("_work._tcp", zone);
    }

    /**
     * Reads the servers of one list from records that come in any order. Each server is made as soon as its three records are
     * there, so that the work is spread over the records and the end costs nothing.
     */
    static final class Reader {
        private final Name zone;
        private final Name work;
        private final Map<Name, Parts> incomplete = new HashMap<>();
        private final Set<Name> complete = new HashSet<>();
        private final Map<String, Endpoint> servers = new LinkedHashMap<>();

        /** A reader of a zone's records. */
        Reader(Name zone) throws TransferException {
            this.zone = zone;
            try {
                work = work(zone);
            } catch (TextParseException e) {
                throw malformed("no name of a zone: " + zone);
            }
        }

        /** Takes the next record. */
        void take(Record record) throws TransferException {
            boolean isService = record instanceof SRVRecord && record.getName().equals(work);
            Name target = isService ? ((SRVRecord) record).getTarget() : record.getName();
            if (!target.subdomain(zone)) {
                throw new TransferException(Kind.WRONG_ZONE, "a record of " + target + " instead of " + zone);
            }
            if (target.labels() != zone.labels() + 2 || record.getDClass() != DClass.IN) {
                throw malformed("a record that is no server's: " + record.getName());
            }
            Parts parts = complete.contains(target) ? null : incomplete.computeIfAbsent(target, t -> new Parts());
            if (parts == null || !parts.take(record, isService)) {
                throw malformed("a record twice or of another type: " + record.getName());
            }
            if (parts.isComplete()) {
                incomplete.remove(target);
                complete.add(target);
                add(target, parts);
            }
        }

        private void add(Name target, Parts parts) throws TransferException {
            Endpoint server;
            try {
                server = endpoint(target, parts);
            } catch (RuntimeException e) {
                throw malformed("records of a server: " + e.getMessage());
            }
            if (servers.put(server.entry().server(), server) != null) {
                throw malformed("server " + server.entry().server() + " is there twice");
            }
        }

        /** The servers by id, once all records were taken; each must have had its three records. */
        Map<String, Endpoint> servers() throws TransferException {
            if (!incomplete.isEmpty()) {
                throw malformed("a server without all of its records: " + incomplete.keySet().iterator().next());
            }
            return servers;
        }
    }

    private static Endpoint endpoint(Name target, Parts parts) throws TransferException {
        int priority = parts.service.getPriority();
        List<String> facts = parts.text.getStrings();
        if (priority > 1 || facts.size() != PER_SERVER) {
            throw malformed("a server with other facts: " + target);
        }
        ServerEntry entry = new ServerEntry(target.getLabelString(0), Integer.parseInt(fact(facts.get(1), "cell=")),
            priority == 0 ? Stage.HEALTHY : Stage.DRAINING,
            Math.multiplyExact(Long.parseLong(fact(facts.get(2), "started=")), US_PER_MS), fact(facts.get(0), "kind="),
            target.getLabelString(1), parts.service.getWeight() / WEIGHT_SCALE);
        if (!isSayable(entry)) {
            throw malformed("a server with other names: " + target);
        }
        return new Endpoint(entry, new Address(parts.address.getAddress().getHostAddress(), parts.service.getPort()));
    }

    private static String fact(String text, String key) throws TransferException {
        if (!text.startsWith(key)) {
            throw malformed("'" + text + "' instead of " + key);
        }
        return text.substring(key.length());
    }

    private static TransferException malformed(String text) {
        return new TransferException(Kind.MALFORMED, text);
    }

    /** What was read of one server so far. */
    private static final class Parts {
        private SRVRecord service;
        private ARecord address;
        private TXTRecord text;

        /** False: it is there already, or none of the three. */
        private boolean take(Record record, boolean isService) {
            if (isService && service == null) {
                service = (SRVRecord) record;
                return true;
            }
            if (record instanceof ARecord of && address == null) {
                address = of;
                return true;
            }
            if (record instanceof TXTRecord of && text == null) {
                text = of;
                return true;
            }
            return false;
        }

        private boolean isComplete() {
            return service != null && address != null && text != null;
        }
    }
}
