package grebewick.core;

import grebewick.core.CallControl.Grade;
import grebewick.core.CallControl.Rules;
import grebewick.core.CallControl.Settings;
import java.util.List;
import java.util.Map;

/** Refuses settings that decisions cannot be made by, with the field named. */
final class SettingsCheck {
    private SettingsCheck() {}

    static void check(Settings set) {
        check(!set.grades().isEmpty(), "Grades");
        check(set.replicasOfMe() >= 1, "ReplicasOfMe");
        check(set.bounds().attemptsCap() >= 1, "Bounds.AttemptsCap");
        Rules rules = set.rules();
        Map<String, Number> notNegative = Map.of("Rules.AskWithin", rules.askWithinUs(),
            "Rules.Cold", rules.coldUs(), "Rules.ColdFrom", rules.coldFrom(),
            "Rules.DrainGrace", rules.drainGraceUs(), "Rules.Fall", rules.fallUs(),
            "Rules.OverloadFactor", rules.overloadFactor(), "Rules.AnswerSlack", rules.answerSlackUs(),
            "FamilyInfo.Release", set.familyInfo().releaseUs(),
            "FamilyInfo.Resend", set.familyInfo().resendUs(), "Bounds.ConnectTimeout",
            set.bounds().connectTimeoutUs());
        notNegative.forEach((field, value) -> check(value.doubleValue() >= 0, field));
        check(set.bounds().maxRetryAfterUs() >= 0, "Bounds.MaxRetryAfter");
        check(set.periodUs() >= 0, "Period");
        checkGrades(set);
    }

    private static void checkGrades(Settings set) {
        boolean pools = set.familyInfo().shape().equals("pools");
        List<List<Integer>> byClass = set.familyInfo().poolsByClass();
        check(!pools || byClass.size() >= set.grades().size(), "FamilyInfo.PoolsByClass");
        for (int i = 0; i < set.grades().size(); i++) {
            Grade grade = set.grades().get(i);
            check(grade.goalTimeUs() > 0, "Grades.GoalTime");
            check(grade.hardLimitUs() > 0, "Grades.HardLimit");
            check(grade.windowUs() >= 0, "Grades.Window");
            check(!pools || !byClass.get(i).isEmpty(), "FamilyInfo.PoolsByClass");
        }
    }

    private static void check(boolean holds, String field) {
        if (!holds) {
            throw new IllegalArgumentException("settings: field " + field + " cannot work");
        }
    }
}
