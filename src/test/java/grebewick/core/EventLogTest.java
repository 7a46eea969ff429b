package grebewick.core;

import static org.assertj.core.api.Assertions.assertThat;

import grebewick.core.EventLog.Event;
import grebewick.play.HandClock;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class EventLogTest {
    private final HandClock clock = new HandClock();
    private final List<String> lines = new ArrayList<>();
    private final EventLog log = new EventLog(lines::add, clock);

    @Test
    void aLineHasTheEventItsTimeAndItsFields() {
        log.write(Event.CONNECT_FAILED, () -> "server=s1 reason=refused");
        assertThat(lines).containsExactly("connect-failed at=" + clock.nowUs() + " server=s1 reason=refused");
        assertThat(EventLog.id(0xaL)).isEqualTo("000000000000000a");
    }

    /** A flood of one kind is bounded, hides no other kind, and what was left out is counted. */
    @Test
    void aFloodOfOneEventIsBoundedAndCounted() {
        for (int i = 0; i < EventLog.BURST + 5; i++) {
            log.write(Event.CONNECT_FAILED, () -> "");
        }
        assertThat(lines).hasSize(EventLog.BURST);
        log.write(Event.SERVER_STATE, () -> "server=s1");
        assertThat(lines).hasSize(EventLog.BURST + 1);
        clock.pass(1_000_000);
        log.write(Event.CONNECT_FAILED, () -> "server=s2");
        assertThat(lines.get(lines.size() - 1)).endsWith("server=s2 left-out=5");
    }
}
