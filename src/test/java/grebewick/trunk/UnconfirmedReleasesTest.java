package grebewick.trunk;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class UnconfirmedReleasesTest {
    private static final long READ_US = UnconfirmedReleases.READ_US;
    private final UnconfirmedReleases releases = new UnconfirmedReleases();

    @Test
    void whatIsConfirmedIsNotSentAgain() {
        releases.written(1, 10, 0);
        releases.written(2, 20, 0);
        releases.forget(1);
        assertThat(releases.unread(0)).containsExactly(2L);
    }

    /** Guards the servers against releases again that they have read: they need not confirm them. */
    @Test
    void whatWasWrittenSomeTimeBeforeTheServerWasHeardIsRead() {
        releases.written(1, 10, 0);
        releases.written(2, 11, 0);
        assertThat(releases.unread(10 + READ_US - 1)).containsExactly(1L, 2L);
        assertThat(releases.unread(10 + READ_US)).containsExactly(2L);
    }

    @Test
    void oneThatIsWrittenAnewIsAsYoungAsItsLastCopy() {
        releases.written(1, 10, 0);
        releases.written(2, 20, 0);
        releases.written(1, 30, 0);
        assertThat(releases.unread(20 + READ_US)).containsExactly(1L);
    }

    @Test
    void itsMemoryIsBounded() {
        for (int i = 0; i <= UnconfirmedReleases.MOST; i++) {
            releases.written(i, i, 0);
        }
        assertThat(releases.unread(0)).hasSize(UnconfirmedReleases.MOST).doesNotContain(0L);
    }
}
