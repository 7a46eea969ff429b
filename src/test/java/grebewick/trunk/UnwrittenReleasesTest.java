package grebewick.trunk;

import static org.assertj.core.api.Assertions.assertThat;

import grebewick.play.HandClock;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class UnwrittenReleasesTest {
    private final HandClock clock = new HandClock();
    private final List<Long> heard = new ArrayList<>();
    private final List<String> dropped = new ArrayList<>();
    private final UnwrittenReleases releases = new UnwrittenReleases(clock, heard::add);

    private void add(long call, Future<Void> written) {
        releases.add(call, written, () -> dropped.add("connection of " + call));
    }

    @Test
    void aReleaseThatTheNetworkHasTakenHoldsNothingBack() {
        add(1, Future.succeededFuture());
        clock.pass(UnwrittenReleases.MOST_US);
        assertThat(releases.has(1)).isFalse();
        assertThat(heard).isEmpty();
        assertThat(dropped).isEmpty();
    }

    /** Guards against a call that is out at two servers where the release is stuck in its connection. */
    @Test
    void aReleaseThatIsStuckHoldsItsCallBackUntilItIsTaken() {
        Promise<Void> written = Promise.promise();
        add(1, written.future());
        assertThat(releases.has(1)).isTrue();
        assertThat(releases.has(2)).isFalse();
        clock.pass(UnwrittenReleases.MOST_US - 1);
        written.complete();
        clock.pass(1);
        assertThat(releases.has(1)).isFalse();
        assertThat(heard).containsExactly(1L);
        assertThat(dropped).isEmpty();
    }

    /** Guards calls against waiting for a server that takes nothing any more: it loses its connection. */
    @Test
    void aReleaseThatIsStuckForTooLongEndsItsConnection() {
        Promise<Void> written = Promise.promise();
        add(1, written.future());
        clock.pass(UnwrittenReleases.MOST_US);
        assertThat(dropped).containsExactly("connection of 1");
        written.fail("closed");
        assertThat(heard).containsExactly(1L);
        assertThat(releases.has(1)).isFalse();
    }
}
