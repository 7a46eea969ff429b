package grebewick.diameter;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class EndedSessionsTest {
    /** Guards the memory against ever new names, short and long. */
    @Test
    void whatIsRememberedIsBoundedAndTheEldestGoes() {
        EndedSessions ended = new EndedSessions();
        for (int i = 0; i < 2 * EndedSessions.MOST; i++) {
            ended.add("c;1;" + i);
        }
        assertThat(ended.size()).isEqualTo(EndedSessions.MOST);
        assertThat(ended.has("c;1;0")).isFalse();
        assertThat(ended.has("c;1;" + (2 * EndedSessions.MOST - 1))).isTrue();
        int length = EndedSessions.MOST_CHARACTERS / 16;
        for (int i = 0; i < EndedSessions.MOST; i++) {
            ended.add("c;2;" + i + "x".repeat(length));
        }
        assertThat(ended.size()).isEqualTo(15);
    }

    @Test
    void oneThatIsAddedAgainIsTheYoungest() {
        EndedSessions ended = new EndedSessions();
        ended.add("c;1;1");
        for (int i = 0; i < EndedSessions.MOST; i++) {
            ended.add("c;1;1");
            ended.add("c;2;" + i);
        }
        assertThat(ended.has("c;1;1")).isTrue();
        assertThat(ended.has("c;2;0")).isFalse();
    }
}
