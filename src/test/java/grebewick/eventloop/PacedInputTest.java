package grebewick.eventloop;

import static org.assertj.core.api.Assertions.assertThat;

import grebewick.core.ByteBudget;
import grebewick.play.HandClock;
import io.vertx.core.buffer.Buffer;
import org.junit.jupiter.api.Test;

/** Messages of one byte each, of which one takes 100 us. */
class PacedInputTest {
    private static final int BUDGET = 100_000;
    private final HandClock clock = new HandClock();
    private final InputBuffer buffer = new InputBuffer();
    private final ByteBudget budget = new ByteBudget(BUDGET);
    private long workedUs;
    private int taken;
    private final PacedInput input = new PacedInput(buffer, budget, () -> clock.nowUs() + workedUs, clock, this::takeNext);

    private boolean takeNext() {
        if (buffer.size() == 0) {
            return false;
        }
        buffer.skip(1);
        taken++;
        workedUs += 100;
        return true;
    }

    /** Guards other connections against one that sends at full speed. */
    @Test
    void messagesAreTakenInSlicesWithPauses() {
        assertThat(input.arrived(Buffer.buffer(new byte[12]))).isTrue();
        assertThat(taken).isEqualTo(5);
        assertThat(input.arrived(Buffer.buffer(new byte[1]))).isTrue();
        assertThat(taken).as("what comes meanwhile waits its turn").isEqualTo(5);
        clock.pass(1_000);
        assertThat(taken).isEqualTo(10);
        clock.pass(1_000);
        assertThat(taken).isEqualTo(13);
        assertThat(input.pauses()).isFalse();
    }

    /** Guards servers against requests of a client that closed its connection with much unread. */
    @Test
    void whatWasNotTakenOfAConnectionThatHasEndedIsDropped() {
        input.arrived(Buffer.buffer(new byte[50_000]));
        assertThat(budget.taken()).isPositive();
        input.end();
        clock.pass(10_000);
        assertThat(taken).isEqualTo(5);
        assertThat(buffer.size()).isZero();
        assertThat(budget.taken()).isZero();
    }

    /** Guards the memory against many connections that send faster than can be taken. */
    @Test
    void moreThanTheBudgetEndsTheConnection() {
        assertThat(input.arrived(Buffer.buffer(new byte[BUDGET]))).isTrue();
        assertThat(input.arrived(Buffer.buffer(new byte[BUDGET]))).isFalse();
    }

    /** Guards the loop against slow writers: a byte at a time costs no copy of what came before. */
    @Test
    void aBufferHoldsWhatCameInOrder() {
        InputBuffer bytes = new InputBuffer();
        for (int i = 0; i < 5_000; i++) {
            bytes.append(Buffer.buffer(new byte[] {(byte) i}));
            if (i % 3 == 0) {
                bytes.skip(1);
            }
        }
        int skipped = 1_667;
        assertThat(bytes.size()).isEqualTo(5_000 - skipped);
        assertThat(bytes.at(0)).isEqualTo((byte) skipped);
        assertThat(bytes.copy(bytes.size() - 1, 1)).containsExactly((byte) 4_999);
    }
}
