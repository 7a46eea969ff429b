package grebewick.trunk;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class CutDetectorTest {
    private static final long NOW = 1_700_000_000_000_000L;

    private final CutDetector detector = new CutDetector();

    @Test
    void aResetAloneIsNoCut() {
        assertThat(detector.reset(1, NOW)).isFalse();
    }

    @Test
    void aResetJustAfterACutIsOne() {
        assertThat(detector.cut(NOW)).isEmpty();
        assertThat(detector.reset(1, NOW + CutDetector.WINDOW_US)).isTrue();
        assertThat(detector.reset(2, NOW + CutDetector.WINDOW_US + 1)).isFalse();
    }

    @Test
    void resetsJustBeforeACutAreGivenOnce() {
        detector.reset(1, NOW);
        detector.reset(2, NOW + 1);
        assertThat(detector.cut(NOW + CutDetector.WINDOW_US + 1)).containsExactly(2L);
        assertThat(detector.cut(NOW + CutDetector.WINDOW_US + 1)).isEmpty();
    }
}
