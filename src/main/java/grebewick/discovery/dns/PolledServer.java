package grebewick.discovery.dns;

import grebewick.config.Address;
import grebewick.config.Endpoint;
import grebewick.core.CallControl.ServerEntry;
import grebewick.core.CallControl.Stage;
import grebewick.discovery.dns.ServerListMessage.Question;
import java.util.List;
import org.xbill.DNS.ARecord;
import org.xbill.DNS.Record;
import org.xbill.DNS.SRVRecord;
import org.xbill.DNS.TXTRecord;
import org.xbill.DNS.Type;

/** One server of the list that is being put together: its entry (SRV), its address (A) and its text (TXT). */
final class PolledServer {
    final String name;
    private final SRVRecord srv;
    /** What was told of it before; null: nothing. */
    final Endpoint before;
    private ARecord address;
    private int place;
    private long startedAtUs;
    private String model;
    private boolean asksAddress;
    /** Heard with this list or since. */
    private boolean sureOfAddress;
    private boolean asksText = true;

    PolledServer(SRVRecord srv, PolledServer earlier, Endpoint before) {
        name = srv.getTarget().toString();
        this.srv = srv;
        this.before = before;
        address = earlier == null ? null : earlier.address;
        asksAddress = address == null && before == null;
    }

    boolean isUnsure() {
        return asksAddress || asksText;
    }

    /** Takes a record of it; false: it was none that is asked for. */
    boolean hear(Record r) {
        if (r instanceof ARecord a) {
            boolean heard = asksAddress || !a.equals(address);
            address = a;
            asksAddress = false;
            sureOfAddress = true;
            return heard;
        }
        if (r instanceof TXTRecord text && asksText) {
            // Read before anything is changed: what makes no sense changes nothing.
            long started = Long.parseLong(fact(text, "started", "0")) * 1000;
            place = Integer.parseInt(fact(text, "cell", "-1"));
            startedAtUs = started;
            model = fact(text, "kind", "");
            asksText = false;
            // Its address may be another's by now, if this is a new start.
            asksAddress |= !sureOfAddress && before != null && startedAtUs > before.entry().startedAtUs();
            return true;
        }
        return false;
    }

    /** Asks for what is not known yet. */
    void addQuestions(List<Question> questions) {
        if (asksAddress) {
            questions.add(new Question(name, Type.A));
        }
        if (asksText) {
            questions.add(new Question(name, Type.TXT));
        }
    }

    private static String fact(TXTRecord text, String key, String other) {
        for (String each : text.getStrings()) {
            if (each.startsWith(key + "=")) {
                return each.substring(key.length() + 1);
            }
        }
        return other;
    }

    /** Null while it was never told and its records are not all there. */
    Endpoint endpoint() {
        if (before == null && isUnsure()) {
            return null;
        }
        String[] labels = name.split("\\.");
        Stage stage = srv.getPriority() == 0 ? Stage.HEALTHY : Stage.DRAINING;
        String zone = labels.length > 1 ? labels[1] : "";
        double weight = srv.getWeight() / 10.0;
        Address at = new Address(address != null ? address.getAddress().getHostAddress() : before.address().host(),
            srv.getPort());
        boolean sure = !isUnsure();
        return new Endpoint(new ServerEntry(labels[0], sure ? place : before.entry().placeNo(), stage,
            sure ? startedAtUs : before.entry().startedAtUs(), sure ? model : before.entry().model(), zone, weight), at);
    }
}
