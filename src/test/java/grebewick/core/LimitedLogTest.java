package grebewick.core;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class LimitedLogTest {
    @Test
    void theFirstOnesAreWrittenThenEveryHundredth() {
        List<String> lines = new ArrayList<>();
        LimitedLog log = new LimitedLog(lines::add, "dns: ", 2);
        for (int i = 0; i < 250; i++) {
            log.complain("no answer");
        }
        assertThat(lines).containsExactly("dns: no answer (1 so far)", "dns: no answer (2 so far)",
            "dns: no answer (100 so far)", "dns: no answer (200 so far)");
    }
}
