package grebewick.config;

import grebewick.core.CallControl.Blend;
import grebewick.core.CallControl.Bounds;
import grebewick.core.CallControl.Clients;
import grebewick.core.CallControl.FamilyInfo;
import grebewick.core.CallControl.Fees;
import grebewick.core.CallControl.Grade;
import grebewick.core.CallControl.Realm;
import grebewick.core.CallControl.Report;
import grebewick.core.CallControl.Rules;
import grebewick.core.CallControl.Settings;
import grebewick.json.Fields;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Reads the module's settings from JSON. */
public final class SettingsReader {
    private SettingsReader() {}

    /** The settings, as {@code Launch} and a gatekeeper's configuration give them; unknown keys are skipped. */
    public static Settings read(Fields o) {
        List<Grade> grades = new ArrayList<>();
        o.neededList("Grades");
        for (Fields g : o.objects("Grades")) {
            grades.add(new Grade(g.string("Name"), g.string("DedupScope", "all"), g.string("Effect", "retryable"),
                g.integer("GoalTime"), g.integer("HardLimit"), g.number("LateValue", 0), g.flag("Stream"),
                g.integer("Window", 0), g.number("Worth", 1), g.number("AimStretch", 0)));
        }
        List<Realm> realms = new ArrayList<>();
        for (Fields r : o.objects("Realms")) {
            realms.add(new Realm(r.string("Name"), r.number("AllowancePerS", 0), r.number("Share", 0)));
        }
        return new Settings(blend(part(o, "Blend")), bounds(o.object("Bounds")),
            new Clients(part(o, "Clients").flag("MarksRetry")), o.string("Family", ""),
            familyInfo(o.object("FamilyInfo")), fees(part(o, "Fees")), o.strings("Flavors"), grades,
            (int) o.integer("Me", 0), o.number("OverShareWorth", 1), o.integer("Period", 0), realms,
            o.string("RegistryMode", "push"), (int) o.integer("ReplicasOfMe"), report(part(o, "Report")),
            rules(o.object("Rules")), (int) o.integer("Stage", 0), o.strings("Tiers"),
            o.string("WeightSource", "off"), o.string("WorthBy", "request"), o.string("Zone", ""),
            o.strings("Zones"));
    }

    private static Fields part(Fields o, String name) {
        return o.has(name) ? o.object(name) : new Fields(o.message() + "." + name, Map.of());
    }

    private static Blend blend(Fields f) {
        return new Blend(f.number("Whole", 1), f.number("WorstClass", 0), f.number("WorstTenant", 0),
            f.number("WorstWindow", 0));
    }

    private static Bounds bounds(Fields f) {
        return new Bounds((int) f.integer("AttemptsCap"), f.flag("Cancel"), f.integer("ConnectTimeout", 0),
            f.number("CpuUsPerRequest", 0), f.integer("CpuUsPerS", 0), f.integer("IdleClose", 0),
            (int) f.integer("MaxOpen", Integer.MAX_VALUE), f.integer("MaxRetryAfter", 0), f.flag("Peers"),
            f.flag("Probes"), f.flag("RetryAfter"), f.flag("SecondCopies"), (int) f.integer("StreamsPerConn", 1));
    }

    private static FamilyInfo familyInfo(Fields f) {
        List<Long> holds = new ArrayList<>();
        for (double hold : f.numbers("MeanHold")) {
            holds.add((long) hold);
        }
        List<List<Integer>> pools = new ArrayList<>();
        for (Object row : f.list("PoolsByClass")) {
            List<Integer> numbers = new ArrayList<>();
            for (double n : new Fields(f.message(), Map.of("PoolsByClass", row)).numbers("PoolsByClass")) {
                numbers.add((int) n);
            }
            pools.add(numbers);
        }
        return new FamilyInfo(f.string("FarState", "off"), f.flag("HintsRoute"), (int) f.integer("HomeNo", -1),
            holds, pools, f.integer("Release", 0), f.integer("Resend", 0), f.flag("RetryHint"),
            f.string("Shape"), f.numbers("Widths"));
    }

    private static Fees fees(Fields f) {
        return new Fees(f.number("Connection", 0), f.number("CrossZone", 0), f.number("Handshake", 0),
            f.number("LateFail", 0), f.number("Moves", 0), f.number("Origin", 0), f.number("Peer", 0),
            f.number("Probe", 0), f.number("RegistryMode", 0), f.number("Waste", 0));
    }

    private static Report report(Fields f) {
        return new Report(f.strings("Fields"), f.string("How", "off"));
    }

    private static Rules rules(Fields f) {
        return new Rules(f.integer("AnswerSlack", 0), f.integer("AskWithin", 0), f.integer("Cold"),
            f.number("ColdFrom"), f.integer("DrainGrace"), f.integer("Fall"), f.number("OverloadFactor"));
    }
}
