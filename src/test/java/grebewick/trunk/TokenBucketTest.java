package grebewick.trunk;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.junit.jupiter.api.Test;

class TokenBucketTest {
    @Test
    void isFullAtFirstAndRefilledEvenly() {
        TokenBucket bucket = new TokenBucket(2, 4);
        bucket.take(1_000_000);
        bucket.take(1_000_000);
        assertThat(bucket.waitUs(1_000_000)).isEqualTo(250_000);
        assertThat(bucket.waitUs(1_100_000)).isEqualTo(150_000);
        assertThat(bucket.waitUs(1_250_000)).isZero();
        bucket.take(1_250_000);
        assertThat(bucket.waitUs(1_250_000)).isEqualTo(250_000);
    }

    @Test
    void neverHoldsMoreThanItsCapacity() {
        TokenBucket bucket = new TokenBucket(2, 4);
        bucket.take(0);
        bucket.take(3_600_000_000L);
        bucket.take(3_600_000_000L);
        assertThat(bucket.waitUs(3_600_000_000L)).isPositive();
    }

    @Test
    void aClockThatStandsStillOrGoesBackRefillsNothing() {
        TokenBucket bucket = new TokenBucket(1, 1);
        bucket.take(5_000_000);
        assertThat(bucket.waitUs(5_000_000)).isEqualTo(1_000_000);
        assertThat(bucket.waitUs(4_000_000)).isEqualTo(1_000_000);
    }

    @Test
    void refusesWhatNeverHasAToken() {
        assertThatThrownBy(() -> new TokenBucket(0.5, 1)).isInstanceOf(IllegalArgumentException.class);
        assertThatThrownBy(() -> new TokenBucket(1, 0)).isInstanceOf(IllegalArgumentException.class);
        TokenBucket empty = new TokenBucket(1, 1);
        empty.take(0);
        assertThatThrownBy(() -> empty.take(0)).isInstanceOf(IllegalStateException.class);
    }
}
