package grebewick.lab.measure;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class DecilesTest {
    @Test
    void eachIsTheValueThatSoManyTenthsDoNotPass() {
        List<Double> values = IntStream.rangeClosed(1, 30).mapToObj(i -> 31.0 - i).toList();
        Deciles deciles = Deciles.of(values);
        assertThat(IntStream.rangeClosed(1, 10).mapToObj(deciles::get))
            .containsExactly(3.0, 6.0, 9.0, 12.0, 15.0, 18.0, 21.0, 24.0, 27.0, 30.0);
    }

    @Test
    void ofFewerValuesEachIsStillOneOfThem() {
        assertThat(IntStream.rangeClosed(1, 10).mapToObj(Deciles.of(List.of(7.0, 5.0, 6.0))::get))
            .containsExactly(5.0, 5.0, 5.0, 6.0, 6.0, 6.0, 7.0, 7.0, 7.0, 7.0);
        assertThat(Deciles.of(List.of(4.0)).get(1)).isEqualTo(4.0);
    }

    @Test
    void noValuesAreRefused() {
        assertThatThrownBy(() -> Deciles.of(List.of())).isInstanceOf(IllegalArgumentException.class);
    }
}
