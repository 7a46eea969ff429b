package grebewick.trunk;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.Random;
import org.junit.jupiter.api.Test;

class ReconnectBackoffTest {
    private static final long SEED = 26;
    private static final long NOW = 1_700_000_000_000_000L;

    private final ReconnectBackoff backoff = new ReconnectBackoff(2, 20_000, 500_000, 1_000_000, new Random(SEED));

    @Test
    void delaysDoubleUpToTheLongestWithTheUpperHalfAtRandom() {
        long now = NOW;
        for (long delayUs : new long[] {20_000, 40_000, 80_000, 160_000, 320_000, 500_000, 500_000, 500_000}) {
            backoff.failed(now);
            assertThat(backoff.waitUs(now)).as("seed %d", SEED).isBetween(delayUs / 2, delayUs);
            now += backoff.waitUs(now);
            assertThat(backoff.waitUs(now)).isZero();
        }
    }

    @Test
    void delaysOfManyFailuresAreSpread() {
        long shortest = Long.MAX_VALUE;
        long longest = 0;
        for (int i = 0; i < 1_000; i++) {
            backoff.failed(NOW);
            if (i > 10) {
                shortest = Math.min(shortest, backoff.waitUs(NOW));
                longest = Math.max(longest, backoff.waitUs(NOW));
            }
        }
        assertThat(shortest).as("seed %d", SEED).isBetween(250_000L, 260_000L);
        assertThat(longest).as("seed %d", SEED).isBetween(490_000L, 500_000L);
    }

    @Test
    void theFirstTryIsFreeAndSoAreTheFirstEarlyEnds() {
        assertThat(backoff.waitUs(NOW)).isZero();
        backoff.ended(NOW - 10, NOW);
        backoff.ended(NOW - 10, NOW);
        assertThat(backoff.waitUs(NOW)).isZero();
        backoff.ended(NOW - 10, NOW);
        assertThat(backoff.waitUs(NOW)).isPositive();
    }

    @Test
    void theEndOfAStableConnectionClearsWhatWasBefore() {
        for (int i = 0; i < 10; i++) {
            backoff.ended(NOW - 10, NOW);
        }
        long later = NOW + 5_000_000;
        backoff.ended(later - 1_000_000, later);
        assertThat(backoff.failures()).isZero();
        assertThat(backoff.waitUs(later)).isZero();
    }

    @Test
    void theEndOfAStableConnectionCutsNoWaitShort() {
        backoff.failed(NOW);
        long waitUs = backoff.waitUs(NOW);
        backoff.ended(NOW - 60_000_000, NOW);
        assertThat(backoff.waitUs(NOW)).isEqualTo(waitUs);
    }

    @Test
    void aNewStartOfTheServerClearsIt() {
        backoff.failed(NOW);
        backoff.reset();
        assertThat(backoff.waitUs(NOW)).isZero();
    }

    @Test
    void refusesWhatCannotWork() {
        assertThatThrownBy(() -> new ReconnectBackoff(0, 0, 1, 1, new Random(SEED))).isInstanceOf(IllegalArgumentException.class);
        assertThatThrownBy(() -> new ReconnectBackoff(0, 9, 8, 1, new Random(SEED))).isInstanceOf(IllegalArgumentException.class);
    }
}
