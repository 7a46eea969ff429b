package grebewick.discovery.transfer;

import static org.assertj.core.api.Assertions.assertThat;

import grebewick.config.Address;
import org.junit.jupiter.api.Test;

class TransferConnectionsTest {
    private static final Replica ONE = new Replica(new Address("10.0.0.1", 53), "east", "east-1");
    private static final Replica OTHER = new Replica(new Address("10.0.0.2", 53), "east", "east-1");

    private final TransferConnections connections = new TransferConnections();

    @Test
    void queriesToAReplicaShareAConnectionAndItsEndGivesBackThoseWithoutAnAnswer() {
        assertThat(connections.to(ONE)).isEmpty();
        long connection = connections.open(ONE);
        assertThat(connections.to(ONE)).hasValue(connection);
        assertThat(connections.to(OTHER)).isEmpty();
        assertThat(connections.add(connection, 1)).isZero();
        assertThat(connections.add(connection, 2)).isEqualTo(1);
        assertThat(connections.add(connection, 3)).isEqualTo(2);
        assertThat(connections.answered(10, 2)).as("out of turn").containsExactly(1L, 3L);
        assertThat(connections.of(2)).isEmpty();
        assertThat(connections.of(3)).hasValue(connection);
        assertThat(connections.end(connection)).containsExactly(1L, 3L);
        assertThat(connections.end(connection)).as("told twice").isEmpty();
        assertThat(connections.to(ONE)).isEmpty();
    }

    @Test
    void oneWithoutAQueryIsClosedAfterAShortTimeAndOneWithAQueryIsNot() {
        long idle = connections.open(ONE);
        connections.add(idle, 1);
        long busy = connections.open(OTHER);
        connections.add(busy, 2);
        assertThat(connections.nextUs()).isEqualTo(Long.MAX_VALUE);
        connections.answered(500, 1);
        long closesUs = 500 + TransferConnections.IDLE_US;
        assertThat(connections.nextUs()).isEqualTo(closesUs);
        assertThat(connections.endIdle(closesUs - 1)).isEmpty();
        assertThat(connections.endIdle(closesUs)).containsExactly(idle);
        assertThat(connections.to(ONE)).isEmpty();
        assertThat(connections.endIdle(Long.MAX_VALUE - 1)).isEmpty();
        assertThat(connections.endAll()).containsExactly(busy);
    }

    @Test
    void oneThatIsRetiredTakesNoMoreAndIsClosedOnceItsQueriesAreAnswered() {
        long first = connections.open(ONE);
        connections.add(first, 1);
        connections.add(first, 2);
        connections.retire(1);
        connections.answered(500, 1);
        assertThat(connections.to(ONE)).isEmpty();
        assertThat(connections.replica(any -> true)).isEmpty();
        assertThat(connections.endIdle(500)).isEmpty();
        long second = connections.open(ONE);
        connections.add(second, 3);
        assertThat(connections.to(ONE)).hasValue(second);
        connections.answered(600, 2);
        assertThat(connections.endIdle(600)).containsExactly(first);
        assertThat(connections.replica(any -> true)).contains(ONE);
        assertThat(connections.replica(OTHER::equals)).isEmpty();
    }
}
