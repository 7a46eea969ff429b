package grebewick.sip;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import grebewick.sip.SipMessage.Header;
import io.vertx.core.buffer.Buffer;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class SipCodecTest {
    private static final String INVITE = "INVITE sip:7f@net SIP/2.0\r\ncall-id: 01\r\nCSeq: 1 INVITE\r\n"
        + "Content-Length: 4\r\n\r\na\r\nb";
    private static final String ANSWER = "SIP/2.0 200 OK\r\nCall-ID: 02\r\nCSeq: 1 BYE\r\nContent-Length: 0\r\n\r\n";
    private final List<SipMessage> got = new ArrayList<>();

    @Test
    void messagesSurviveAnyCutOfTheBytes() {
        SipCodec codec = new SipCodec();
        Buffer all = Buffer.buffer(INVITE + "\r\n" + ANSWER);
        for (int i = 0; i < all.length(); i++) {
            codec.read(all.getBuffer(i, i + 1), got::add);
        }
        codec.read(all, got::add);
        assertThat(got).extracting(SipMessage::method).containsExactly("INVITE", "BYE", "INVITE", "BYE");
        assertThat(got.get(0).header("Call-ID")).isEqualTo("01");
        assertThat(new String(got.get(2).body())).isEqualTo("a\r\nb");
        assertThat(got.get(1).status()).isEqualTo(200);
    }

    @Test
    void whatIsNotSipOrTooLargeIsRefused() {
        for (String bad : List.of("HELLO\r\n\r\n", INVITE.replace("Content-Length: 4\r\n", ""), INVITE.replace(": 4", ": -4"),
            INVITE.replace(": 4", ": 17000"), "INVITE sip:x@net SIP/2.0\r\nX: " + "y".repeat(17_000))) {
            assertThatThrownBy(() -> new SipCodec().read(Buffer.buffer(bad), got::add))
                .isInstanceOf(IllegalArgumentException.class);
        }
        assertThat(got).isEmpty();
    }

    @Test
    void aValueCannotAddAHeader() {
        String text = SipCodec.encode(SipMessage.request("BYE", "sip:x@net", new Header("Reason", "a\r\nEvil: 1"))).toString();
        assertThat(text.lines()).noneMatch(line -> line.startsWith("Evil"));
    }

    /** Guards the memory against heads of very many short fields: what nobody reads is not kept, and Via fields are one. */
    @Test
    void veryManyShortFieldsAreNotKept() {
        List<SipMessage> got = new ArrayList<>();
        String text = "INVITE sip:1@net SIP/2.0\r\n" + "v:1\r\n".repeat(1_000) + "Via: a\r\n".repeat(500)
            + "To: t\r\n".repeat(100)
            + "Content-Length: 0\r\n\r\n";
        new SipCodec().read(Buffer.buffer(text), got::add);
        assertThat(got).hasSize(1);
        assertThat(got.get(0).headers()).hasSize(3);
        assertThat(got.get(0).header("Via")).startsWith("a, a, ");
    }
}
