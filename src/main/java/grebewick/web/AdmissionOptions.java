package grebewick.web;

import grebewick.core.CallControl.Blend;
import grebewick.core.CallControl.Bounds;
import grebewick.core.CallControl.Clients;
import grebewick.core.CallControl.FamilyInfo;
import grebewick.core.CallControl.Fees;
import grebewick.core.CallControl.Grade;
import grebewick.core.CallControl.Report;
import grebewick.core.CallControl.Rules;
import grebewick.core.CallControl.Settings;
import java.util.List;

/** What a route is to keep: answers within {@code aimUs}, at the latest within {@code deadlineUs}. */
public record AdmissionOptions(long aimUs, long deadlineUs, int maxOpen) {
    /** Refuses what cannot work. */
    public AdmissionOptions {
        if (aimUs <= 0 || deadlineUs < aimUs || maxOpen < 1) {
            throw new IllegalArgumentException("needs 0 < aim <= deadline and room for one request");
        }
    }

    /** The module's settings for one route of this process: a request is tried once, as a handler can't run again. */
    Settings settings() {
        return new Settings(new Blend(1, 0, 0, 0),
            new Bounds(1, true, 1, 0, 0, 0, maxOpen, 10 * aimUs, false, false, true, false, 1), new Clients(false), "web",
            new FamilyInfo("off", false, -1, List.of(aimUs), List.of(List.of(0)), 0, 0, false, "pools", List.of(1.0)),
            new Fees(0, 0, 0, 0, 0, 0, 0, 0, 0, 0), List.of(),
            List.of(new Grade("route", "all", "retryable", aimUs, deadlineUs, 0.1, true, 0, 1, 0)), 0, 1, 1000, List.of(),
            "push", 1, new Report(List.of(), "off"), new Rules(0, 0, 0, 1, 0, 1, 3), 0, List.of("web"), "off", "request", "",
            List.of());
    }
}
