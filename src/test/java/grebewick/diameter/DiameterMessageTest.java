package grebewick.diameter;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

class DiameterMessageTest {
    private static final int MUCH = 15_000;
    private final Identity me = new Identity("gk", "realm", 0);

    /** Guards the memory against many requests that wait for their answer: each may be as long as a message. */
    @Test
    void aRequestThatWaitsHoldsWhatItsAnswerIsMadeOfAndNothingElse() {
        Avp proxy = Avp.group(Avp.PROXY_INFO, Avp.text(Avp.ORIGIN_HOST, "proxy"));
        DiameterMessage request = new DiameterMessage(DiameterMessage.REQUEST | DiameterMessage.PROXIABLE,
            DiameterMessage.SESSION_TERMINATION, DiameterMessage.NASREQ, 7, 8,
            List.of(Avp.text(Avp.SESSION_ID, "c;1"), Avp.text(Avp.USER_NAME, "x".repeat(MUCH)), proxy));
        DiameterMessage kept = request.forAnswer();
        assertThat(kept.weight()).isLessThan(request.weight() - MUCH);
        assertThat(DiameterCodec.encode(kept.answer(me, DiameterMessage.SUCCESS)))
            .isEqualTo(DiameterCodec.encode(request.answer(me, DiameterMessage.SUCCESS)));
    }
}
