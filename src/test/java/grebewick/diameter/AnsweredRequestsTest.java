package grebewick.diameter;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

/** The memory for repeats. */
class AnsweredRequestsTest {
    private static final int LARGE = 15_000;
    private final AnsweredRequests requests = new AnsweredRequests();

    private static DiameterMessage answer(int bytes) {
        return new DiameterMessage(0, DiameterMessage.AA, DiameterMessage.NASREQ, 1, 1,
            List.of(new Avp(Avp.PROXY_INFO, true, 0, new byte[bytes])));
    }

    /** Guards the memory against large answers under ever new names. */
    @Test
    void theEldestAnswersAreForgottenByTheirBytes() {
        for (int i = 0; i < AnsweredRequests.MOST_ANSWERS; i++) {
            requests.answered("k" + i, answer(LARGE));
        }
        assertThat(requests.answer("k0")).isNull();
        assertThat(requests.answer("k" + (AnsweredRequests.MOST_ANSWERS - 1))).isNotNull();
        long kept = java.util.stream.IntStream.range(0, AnsweredRequests.MOST_ANSWERS)
            .filter(i -> requests.answer("k" + i) != null)
            .count();
        assertThat(kept * LARGE).isLessThan(AnsweredRequests.MOST_BYTES);
    }

    /** Guards a request in hand against being forgotten in a flood of others: its repeat would be a second one. */
    @Test
    void whatIsInHandIsNotForgotten() {
        requests.taken("mine");
        for (int i = 0; i < 2 * AnsweredRequests.MOST_ANSWERS; i++) {
            requests.answered("k" + i, answer(1));
        }
        assertThat(requests.isInHand("mine")).isTrue();
        requests.answered("mine", answer(1));
        assertThat(requests.isInHand("mine")).isFalse();
        assertThat(requests.answer("mine")).isNotNull();
    }
}
