package grebewick.diameter;

import static org.assertj.core.api.Assertions.assertThat;

import grebewick.diameter.SilenceMonitor.Action;
import grebewick.liveness.LeaseTimes;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** A server that was last heard at time 0, looked at each half second. */
class SilenceMonitorTest {
    private static final long SECOND_US = 1_000_000;
    private final SilenceMonitor<String> monitor = new SilenceMonitor<>(LeaseTimes.DEFAULT);

    private List<Long> actionsUntil(long endUs, Action wanted) {
        List<Long> at = new ArrayList<>();
        for (long nowUs = SilenceMonitor.LOOK_US; nowUs <= endUs; nowUs += SilenceMonitor.LOOK_US) {
            monitor.look(nowUs);
            if (monitor.of("p", 0) == wanted) {
                at.add(nowUs);
            }
        }
        return at;
    }

    @Test
    void aSilentServerIsAskedOnce() {
        assertThat(actionsUntil(20 * SECOND_US, Action.ASK)).containsExactly(5 * SECOND_US);
    }

    @Test
    void itsSessionsAreOverOnceWithTheLease() {
        assertThat(actionsUntil(20 * SECOND_US, Action.EXPIRE)).containsExactly(7_500_000L);
    }

    @Test
    void aGatekeeperThatStoodStillListensBeforeItEndsSessions() {
        monitor.look(SECOND_US);
        monitor.look(60 * SECOND_US);
        assertThat(monitor.of("p", 0)).isEqualTo(Action.ASK);
        monitor.look(60 * SECOND_US + SilenceMonitor.LOOK_US);
        assertThat(monitor.of("p", 0)).isEqualTo(Action.NOTHING);
        monitor.look(60 * SECOND_US + 2 * SilenceMonitor.LOOK_US);
        assertThat(monitor.of("p", 60 * SECOND_US)).as("it was heard").isEqualTo(Action.NOTHING);
    }

    @Test
    void aServerThatIsHeardAgainIsAskedAgainAfterItsNextSilence() {
        actionsUntil(8 * SECOND_US, Action.EXPIRE);
        monitor.look(8 * SECOND_US);
        assertThat(monitor.of("p", 8 * SECOND_US)).isEqualTo(Action.NOTHING);
        monitor.look(13 * SECOND_US);
        assertThat(monitor.of("p", 8 * SECOND_US)).isEqualTo(Action.ASK);
        monitor.retainAll(Set.of());
        assertThat(monitor.of("p", 8 * SECOND_US)).as("nothing is kept of it").isEqualTo(Action.ASK);
    }
}
