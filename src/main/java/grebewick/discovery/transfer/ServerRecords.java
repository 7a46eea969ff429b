package grebewick.discovery.transfer;

import grebewick.config.Address;
import grebewick.config.Endpoint;
import grebewick.core.CallControl.ServerEntry;
import grebewick.core.CallControl.Stage;
import grebewick.discovery.transfer.TransferException.Kind;
import java.io.IOException;
import java.net.InetAddress;
import java.net.UnknownHostException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
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

    /** The servers of records in any order; each must have its three records, once. */
    static List<Endpoint> read(Name zone, List<Record> records) throws TransferException {
        Map<Name, Parts> targets = new LinkedHashMap<>();
        try {
            Name work = work(zone);
            for (Record record : records) {
                take(zone, work, record, targets);
            }
            List<Endpoint> servers = new ArrayList<>(targets.size());
            for (Map.Entry<Name, Parts> target : targets.entrySet()) {
                servers.add(endpoint(target.getKey(), target.getValue()));
            }
            return servers;
        } catch (IOException | RuntimeException e) {
            throw malformed("records of a server: " + e.getMessage());
        }
    }

    private static void take(Name zone, Name work, Record record, Map<Name, Parts> targets) throws TransferException {
        boolean isService = record instanceof SRVRecord && record.getName().equals(work);
        Name target = isService ? ((SRVRecord) record).getTarget() : record.getName();
        if (!target.subdomain(zone)) {
            throw new TransferException(Kind.WRONG_ZONE, "a record of " + target + " instead of " + zone);
        }
        if (target.labels() != zone.labels() + 2 || record.getDClass() != DClass.IN) {
            throw malformed("a record that is no server's: " + record.getName());
        }
        Parts parts = targets.computeIfAbsent(target, t -> new Parts());
        boolean taken = false;
        if (isService && parts.service == null) {
            parts.service = (SRVRecord) record;
            taken = true;
        } else if (record instanceof ARecord address && parts.address == null) {
            parts.address = address;
            taken = true;
        } else if (record instanceof TXTRecord text && parts.text == null) {
            parts.text = text;
            taken = true;
        }
        if (!taken) {
            throw malformed("a record twice or of another type: " + record.getName());
        }
    }

    private static Endpoint endpoint(Name target, Parts parts) throws TransferException {
        if (parts.service == null || parts.address == null || parts.text == null) {
            throw malformed("a server without all of its records: " + target);
        }
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
    }
}
