package grebewick.lab.faults;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/** Holds the records of all parties against the rules. No I/O. */
final class RuleCheck {
    /** us. By then the caller of a call that is over is told. */
    static final long TOLD_WITHIN_US = 8_050_000;
    /** us. By then after its server's release. */
    static final long RELEASED_WITHIN_US = 1_050_000;
    /** Set-ups for callers that have left, from which on they break the rule. */
    static final int MOST_AFTER_LEAVE = 2;

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
        /** The caller of a call that its server released was told late or never. */
        RELEASE_LATE,
        /** A call that its server still held was ended. */
        ENDED_WHILE_STANDING,
        /** A set-up went to a server that the list had told to be draining or gone. */
        SENT_TO_GONE,
        /** Set-ups went out for callers that had left. */
        SENT_AFTER_LEAVE,
        /** A gatekeeper ended by itself. */
        CRASH
    }

    /** One breach: the rule, the call (0: none) and what the records say. */
    record Finding(Rule rule, long call, String text) {}

    /**
     * A time in which a gatekeeper did not run, or was about to end.
     *
     * @param toldUs when it was told to end, or killed: calls that stand from before are known to it alone
     * @param fromUs from when requests may have no answer
     * @param toUs when it served again
     */
    record Outage(int gatekeeper, long toldUs, long fromUs, long toUs) {}

    /** A time in which a gatekeeper's callers had no connection with it. */
    record Absence(int gatekeeper, long fromUs, long toUs) {}

    private final List<Outage> outages;
    private final List<Absence> absences;
    private final long endUs;

    /** {@code endUs}: when the records end. */
    RuleCheck(List<Outage> outages, List<Absence> absences, long endUs) {
        this.outages = List.copyOf(outages);
        this.absences = List.copyOf(absences);
        this.endUs = endUs;
    }

    List<Finding> check(Collection<CallRecord> calls) {
        List<Finding> findings = new ArrayList<>();
        for (CallRecord call : calls) {
            checkAnswer(call, findings);
            if (call.heldTwice) {
                findings.add(finding(Rule.TWO_ATTEMPTS, call));
            }
            if (call.sentToGone) {
                findings.add(finding(Rule.SENT_TO_GONE, call));
            }
            if (call.stood()) {
                checkEnd(call, findings);
            }
        }
        calls.stream().filter(call -> call.sentAfterLeave).skip(MOST_AFTER_LEAVE)
            .forEach(call -> findings.add(finding(Rule.SENT_AFTER_LEAVE, call)));
        return findings;
    }

    private void checkAnswer(CallRecord call, List<Finding> findings) {
        boolean excused = outages.stream()
            .anyMatch(o -> o.gatekeeper == call.gatekeeper && o.fromUs <= call.askedUs && call.askedUs <= o.toUs);
        if (call.finalAnswers == 0 && call.gaveUpUs > 0 && !excused) {
            findings.add(finding(Rule.NO_ANSWER, call));
        }
        if (call.finalAnswers > 1) {
            findings.add(finding(Rule.TWO_ANSWERS, call));
        }
    }

    private void checkEnd(CallRecord call, List<Finding> findings) {
        long releasedByUs = call.releasedUs + RELEASED_WITHIN_US;
        if (call.releasedUs > 0 && isLate(call, releasedByUs) && !isAway(call.gatekeeper, call.releasedUs, releasedByUs)
            && !isOut(call.gatekeeper, call.answeredUs, releasedByUs)) {
            findings.add(finding(Rule.RELEASE_LATE, call));
            return;
        }
        if (call.overUs == 0) {
            boolean mayEnd = call.mayEndFromUs > 0 && call.mayEndFromUs <= call.toldUs;
            if (call.toldUs > 0 && !mayEnd && !isOut(call.gatekeeper, call.answeredUs, call.toldUs)) {
                findings.add(finding(Rule.ENDED_WHILE_STANDING, call));
            }
            return;
        }
        long byUs = call.overUs + TOLD_WITHIN_US;
        // A process that starts anew knows no call of the one before: who vanishes with it is told of by nobody.
        if (isLate(call, byUs) && !isOut(call.gatekeeper, call.answeredUs, byUs)) {
            findings.add(finding(Rule.UNTOLD, call));
        }
    }

    private boolean isLate(CallRecord call, long byUs) {
        return call.toldUs > byUs || call.toldUs == 0 && endUs > byUs;
    }

    private boolean isOut(int gatekeeper, long fromUs, long toUs) {
        return outages.stream().anyMatch(o -> o.gatekeeper == gatekeeper && o.toldUs <= toUs && o.toUs >= fromUs);
    }

    private boolean isAway(int gatekeeper, long fromUs, long toUs) {
        return absences.stream().anyMatch(a -> a.gatekeeper == gatekeeper && a.fromUs <= toUs && a.toUs >= fromUs);
    }

    private static Finding finding(Rule rule, CallRecord call) {
        return new Finding(rule, call.id, String.format("call=%016x gatekeeper=%d server=%d status=%d answers=%d asked=%d "
            + "answered=+%d gave-up=+%d left=+%d released=+%d over=+%d told=+%d (us)", call.id, call.gatekeeper, call.server,
            call.status, call.finalAnswers, call.askedUs, after(call, call.answeredUs), after(call, call.gaveUpUs),
            after(call, call.leftUs), after(call, call.releasedUs), after(call, call.overUs), after(call, call.toldUs)));
    }

    private static long after(CallRecord call, long us) {
        return us == 0 ? 0 : us - call.askedUs;
    }
}
