package grebewick.lab.faults;

import static org.assertj.core.api.Assertions.assertThat;

import grebewick.lab.JavaCommand;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Real gatekeeper processes between stand-ins, one fault each. Waits for events; how soon they come is the trials' matter. */
@Timeout(200)
class VanishingTrialTest {
    private static final int CALLS = 8;
    /** s. For an event, on a busy machine. */
    private static final int PATIENCE_S = 40;
    private static final List<String> GATEKEEPER = JavaCommand.of(List.of("-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1"),
        "grebewick.Main", List.of("serve"));

    private static TrialResult play(VanishingFault fault) throws Exception {
        try (VanishingTrial trial = new VanishingTrial(fault, 1, true, 0, GATEKEEPER)) {
            return trial.playUntilTold(CALLS, PATIENCE_S);
        }
    }

    private static void assertAllTold(TrialResult result) {
        assertThat(result.calls()).isGreaterThanOrEqualTo(CALLS);
        assertThat(result.untold()).as(() -> String.join("\n", result.log())).isEmpty();
        assertThat(result.runs()).isTrue();
    }

    /** Incident 7fd730: machines vanish, and discovery tells nothing. */
    @Test
    void callersAreToldOfCallsAtServersThatVanished() throws Exception {
        assertAllTold(play(VanishingFault.VANISH_DISCOVERY_SILENT));
    }

    @ParameterizedTest
    @EnumSource(names = {"DIE", "HANG_THEN_DIE"})
    void callersAreToldOfCallsAtServersThatDied(VanishingFault fault) throws Exception {
        assertAllTold(play(fault));
    }

    /** Incident 8a922c: the server's answer comes after the news that it is gone. */
    @ParameterizedTest
    @EnumSource(names = {"UNLISTED_THEN_VANISH", "UNLISTED_THEN_DIE"})
    void callersAreToldOfCallsAnsweredAfterTheirServerLeftTheList(VanishingFault fault) throws Exception {
        TrialResult result = play(fault);
        assertThat(result.log()).anyMatch(line -> line.contains("reason=server-gone-from-list"));
        assertAllTold(result);
    }
}
