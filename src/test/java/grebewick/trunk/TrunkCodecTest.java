package grebewick.trunk;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.vertx.core.buffer.Buffer;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class TrunkCodecTest {
    private final List<TrunkMessage> got = new ArrayList<>();
    private final TrunkCodec codec = new TrunkCodec();

    @Test
    void messagesSurviveAnyCutOfTheBytes() {
        Buffer two = TrunkCodec.encode(TrunkMessage.setUp(-2, "a", "55", 1500, new byte[] {1, 2}))
            .appendBuffer(TrunkCodec.encode(TrunkMessage.of(TrunkMessage.RELEASE, 7, 34)));
        for (int i = 0; i < two.length(); i++) {
            codec.read(two.getBuffer(i, i + 1), got::add);
        }
        codec.read(two, got::add);
        assertThat(got).hasSize(4);
        assertThat(got.get(2)).usingRecursiveComparison().isEqualTo(got.get(0));
        assertThat(got.get(0).waitMs()).isEqualTo(1500);
        assertThat(got.get(0).description()).containsExactly(1, 2);
        assertThat(got.get(3).cause()).isEqualTo(34);
    }

    @Test
    void whatIsNotTheProtocolsIsRefused() {
        for (Buffer bad : List.of(Buffer.buffer(new byte[] {0, 3, 1, 1, 1}), Buffer.buffer(new byte[] {0x7f, 0, 1}),
            Buffer.buffer(new byte[] {0, 9, 123, 0, 0, 0, 0, 0, 0, 0, 1}),
            Buffer.buffer(new byte[] {0, 9, TrunkMessage.ANSWER, 0, 0, 0, 0, 0, 0, 0, 1}),
            Buffer.buffer(new byte[] {0, 9, TrunkMessage.RELEASE, 0, 0, 0, 0, 0, 0, 0, 1}),
            Buffer.buffer(new byte[] {0, 12, 9, 0, 0, 0, 0, 0, 0, 0, 1, (byte) 210, 0, 9}))) {
            assertThatThrownBy(() -> new TrunkCodec().read(bad, got::add)).isInstanceOf(IllegalArgumentException.class);
        }
    }

    @Test
    void reportsAreReadByEitherNameAndMissingFiguresAreMinusOne() {
        Reports reports = new Reports(List.of("free", "size", "can_take"));
        assertThat(reports.read("x0:12;qps:3.5;new:1")).containsExactly(12.0, -1.0, 3.5);
        assertThat(reports.read("free:x;size:40")).containsExactly(-1.0, 40.0, -1.0);
        assertThat(reports.read("")).isEmpty();
    }
}
