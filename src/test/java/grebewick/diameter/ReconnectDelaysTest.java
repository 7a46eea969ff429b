package grebewick.diameter;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Random;
import org.junit.jupiter.api.Test;

class ReconnectDelaysTest {
    private static final long FIXED_US = 30_000_000;
    private final ReconnectDelays delays = new ReconnectDelays(FIXED_US, new Random(1), 0);

    /** Guards ends of sessions against waiting for a server that is back, and a server against all that connect at once. */
    @Test
    void aServerThatIsAwayIsTriedSoonAndThenLaterEachTime() {
        long[] mostMs = {100, 200, 400, 800, 1600, 2000, 2000};
        for (long ms : mostMs) {
            assertThat(delays.afterFailure(1)).as("at most " + ms + " ms").isBetween(ms * 500, ms * 1000);
        }
    }

    @Test
    void aServerThatHasBeenAwayForLongIsTriedAfterTheFixedDelay() {
        assertThat(delays.afterFailure(ReconnectDelays.SOON_FOR_US - 1)).isLessThan(FIXED_US);
        assertThat(delays.afterFailure(ReconnectDelays.SOON_FOR_US)).isEqualTo(FIXED_US);
    }

    @Test
    void aConnectionThatWasOfUseIsReplacedAtOnceAndAShortOneIsAFailure() {
        long nowUs = 100_000_000;
        assertThat(delays.afterBreak(nowUs - ReconnectDelays.STABLE_US, nowUs)).isLessThan(ReconnectDelays.FIRST_US);
        assertThat(delays.afterBreak(nowUs - 1, nowUs)).isBetween(50_000L, 100_000L);
        assertThat(delays.afterBreak(nowUs - 1, nowUs)).isBetween(100_000L, 200_000L);
    }

    @Test
    void whoHasAskedToLeaveIsTriedAfterTheFixedDelay() {
        assertThat(delays.afterLeave(10)).isEqualTo(FIXED_US);
        assertThat(delays.afterFailure(20)).isEqualTo(FIXED_US);
    }

    /** A fixed delay that is shorter than the others holds for all. */
    @Test
    void noDelayIsLongerThanTheFixedOne() {
        ReconnectDelays quick = new ReconnectDelays(10, new Random(1), 0);
        assertThat(quick.afterFailure(1)).isLessThanOrEqualTo(10);
        assertThat(quick.afterBreak(0, ReconnectDelays.STABLE_US)).isLessThanOrEqualTo(10);
    }
}
