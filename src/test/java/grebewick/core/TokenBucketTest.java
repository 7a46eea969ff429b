package grebewick.core;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.junit.jupiter.api.Test;

/** Refilling, refusals, amounts above the capacity and debts. */
class TokenBucketTest {
    @Test
    void isFullAtFirstAndRefilledEvenly() {
        TokenBucket bucket = new TokenBucket(2, 4);
        bucket.take(1, 1_000_000);
        bucket.take(1, 1_000_000);
        assertThat(bucket.waitUs(1, 1_000_000)).isEqualTo(250_000);
        assertThat(bucket.waitUs(1, 1_100_000)).isEqualTo(150_000);
        assertThat(bucket.waitUs(1, 1_250_000)).isZero();
        bucket.take(1, 1_250_000);
        assertThat(bucket.waitUs(1, 1_250_000)).isEqualTo(250_000);
    }

    @Test
    void neverHoldsMoreThanItsCapacity() {
        TokenBucket bucket = new TokenBucket(2, 4);
        bucket.take(1, 0);
        bucket.take(1, 3_600_000_000L);
        bucket.take(1, 3_600_000_000L);
        assertThat(bucket.waitUs(1, 3_600_000_000L)).isPositive();
    }

    @Test
    void aClockThatStandsStillOrGoesBackRefillsNothing() {
        TokenBucket bucket = new TokenBucket(1, 1);
        bucket.take(1, 5_000_000);
        assertThat(bucket.waitUs(1, 5_000_000)).isEqualTo(1_000_000);
        assertThat(bucket.waitUs(1, 4_000_000)).isEqualTo(1_000_000);
    }

    @Test
    void refusesWhatNeverHasAToken() {
        assertThatThrownBy(() -> new TokenBucket(0.5, 1)).isInstanceOf(IllegalArgumentException.class);
        assertThatThrownBy(() -> new TokenBucket(1, 0)).isInstanceOf(IllegalArgumentException.class);
        TokenBucket empty = new TokenBucket(1, 1);
        empty.take(1, 0);
        assertThatThrownBy(() -> empty.take(1, 0)).isInstanceOf(IllegalStateException.class);
    }

    @Test
    void whatIsNotThereIsRefusedAndNothingTaken() {
        TokenBucket bucket = new TokenBucket(10, 10);
        assertThat(bucket.tryTake(7, 0)).isTrue();
        assertThat(bucket.tryTake(4, 0)).isFalse();
        assertThat(bucket.tryTake(3, 0)).isTrue();
        assertThat(bucket.tryTake(1, 99_999)).isFalse();
        assertThat(bucket.tryTake(1, 100_000)).isTrue();
    }

    @Test
    void anAmountAboveTheCapacityIsGivenWhenItIsFullAndLeavesADebt() {
        TokenBucket bucket = new TokenBucket(10, 10);
        assertThat(bucket.tryTake(25, 0)).isTrue();
        assertThat(bucket.tokens(0)).isEqualTo(-15);
        assertThat(bucket.waitUs(1, 0)).isEqualTo(1_600_000);
        assertThat(bucket.waitUs(25, 0)).isEqualTo(2_500_000);
        assertThat(bucket.tryTake(25, 2_499_999)).isFalse();
        assertThat(bucket.tryTake(25, 2_500_000)).isTrue();
    }

    @Test
    void aDebtIsPaidBeforeAnythingIsThere() {
        TokenBucket bucket = new TokenBucket(2_000, 1_000);
        bucket.spend(5_000, 0);
        assertThat(bucket.tokens(2_000_000)).isEqualTo(-1_000);
        assertThat(bucket.waitUs(0, 2_000_000)).isEqualTo(1_000_000);
        assertThat(bucket.waitUs(1, 2_000_000)).isEqualTo(1_001_000);
        assertThat(bucket.tokens(3_000_000)).isZero();
        assertThat(bucket.waitUs(0, 3_000_000)).isZero();
    }

    @Test
    void whatIsDepositedIsThereAtOnceUpToTheCapacity() {
        TokenBucket bucket = new TokenBucket(2, 1);
        assertThat(bucket.tryTake(2, 0)).isTrue();
        bucket.deposit(0.5, 0);
        assertThat(bucket.tryTake(1, 0)).isFalse();
        bucket.deposit(0.5, 0);
        assertThat(bucket.tryTake(1, 0)).isTrue();
        bucket.deposit(7, 0);
        assertThat(bucket.tokens(0)).isEqualTo(2);
        bucket.spend(5, 0);
        bucket.deposit(1, 0);
        assertThat(bucket.tokens(0)).as("a debt is paid first").isEqualTo(-2);
    }
}
