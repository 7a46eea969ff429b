package grebewick.lab.faults;

import static org.assertj.core.api.Assertions.assertThat;

import grebewick.lab.JavaCommand;
import java.util.List;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The fault soak, short: plans of fixed seeds, each played once in some 35 s. {@code make soak} plays more of them. */
@Timeout(200)
class FaultSoakTest {
    private static final List<String> GATEKEEPER = JavaCommand.of(List.of("-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1"),
        "grebewick.Main", List.of("serve"));

    /** 4: a rolling restart, a server that leaves the list, one that starts anew. 6: a crowd, reloads, a server that is back. */
    @ParameterizedTest
    @ValueSource(longs = {4, 6})
    void everyRuleIsKeptThroughCombinedFaults(long seed) throws Exception {
        try (SoakRun run = new SoakRun(SoakPlan.draw(seed), GATEKEEPER)) {
            assertThat(run.play()).as(() -> String.join("\n", run.log())).isEmpty();
            assertThat(run.calls()).isPositive();
            assertThat(run.ended()).isPositive();
        }
    }
}
