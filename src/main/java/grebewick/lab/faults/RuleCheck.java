package grebewick.lab.faults;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/** Holds the records of all parties against the rules. No I/O. */
final class RuleCheck {
    /** us. By then the caller of a call that is over is told. */
    static final long TOLD_WITHIN_US = 8_050_000;

    /** A rule that can be broken. */
    enum Rule {
        /** A request had no final answer before its caller gave up. */
        NO_ANSWER,
        /** A request had more than one final answer. */
        TWO_ANSWERS,
        /** Two servers held the same call at once. */
        TWO_ATTEMPTS,
        /** The caller of a call that is over was told late or never. */
        UNTOLD,
        /** A call that its server still held was ended. */
        ENDED_WHILE_STANDING,
        /** A gatekeeper ended by itself. */
        CRASH
    }

    /** One breach: the rule, the call (0: none) and what the records say. */
    record Finding(Rule rule, long call, String text) {}

    /** A time from which until which a gatekeeper did not run, or was about to end. */
    record Outage(int gatekeeper, long fromUs, long toUs) {}

    private final List<Outage> outages;
    private final long endUs;

    /** {@code endUs}: when the records end. */
    RuleCheck(List<Outage> outages, long endUs) {
        this.outages = List.copyOf(outages);
        this.endUs = endUs;
    }

    List<Finding> check(Collection<CallRecord> calls) {
        List<Finding> findings = new ArrayList<>();
        for (CallRecord call : calls) {
            if (call.finalAnswers == 0 && call.gaveUpUs > 0 && !isOut(call.gatekeeper, call.askedUs, call.gaveUpUs)) {
                findings.add(finding(Rule.NO_ANSWER, call));
            }
            if (call.finalAnswers > 1) {
                findings.add(finding(Rule.TWO_ANSWERS, call));
            }
            if (call.heldTwice) {
                findings.add(finding(Rule.TWO_ATTEMPTS, call));
            }
            if (call.stood()) {
                checkEnd(call, findings);
            }
        }
        return findings;
    }

    private void checkEnd(CallRecord call, List<Finding> findings) {
        if (call.overUs == 0) {
            if (call.toldUs > 0 && !isOut(call.gatekeeper, call.answeredUs, call.toldUs)) {
                findings.add(finding(Rule.ENDED_WHILE_STANDING, call));
            }
            return;
        }
        long byUs = call.overUs + TOLD_WITHIN_US;
        boolean late = call.toldUs > byUs || call.toldUs == 0 && endUs > byUs;
        // A process that starts anew knows no call of the one before: who vanishes with it is told of by nobody.
        if (late && !isOut(call.gatekeeper, call.answeredUs, byUs)) {
            findings.add(finding(Rule.UNTOLD, call));
        }
    }

    private boolean isOut(int gatekeeper, long fromUs, long toUs) {
        return outages.stream().anyMatch(o -> o.gatekeeper == gatekeeper && o.fromUs <= toUs && o.toUs >= fromUs);
    }

    private static Finding finding(Rule rule, CallRecord call) {
        return new Finding(rule, call.id, String.format("call=%016x gatekeeper=%d server=%d status=%d answers=%d asked=%d "
            + "answered=+%d gave-up=+%d over=+%d told=+%d (us)", call.id, call.gatekeeper, call.server, call.status,
            call.finalAnswers, call.askedUs, after(call, call.answeredUs), after(call, call.gaveUpUs), after(call, call.overUs),
            after(call, call.toldUs)));
    }

    private static long after(CallRecord call, long us) {
        return us == 0 ? 0 : us - call.askedUs;
    }
}
