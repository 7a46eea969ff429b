package grebewick.discovery.transfer;

import java.util.HashSet;
import java.util.Set;

/** What a client does for one zone. */
final class ZoneTask {
    /** Where it stands. */
    enum Phase {
        /** A poll is due at {@code dueUs}. */
        IDLE,
        /** A query is out until {@code dueUs}. */
        POLLING,
        /** A transfer over TCP may begin at {@code dueUs}. */
        WAITING_FOR_TRANSFER,
        /** It is on until {@code dueUs}. */
        TRANSFERRING
    }

    /** us. Age of a confirmation after which the zone is polled whatever the budget says: its lease has to be renewed. */
    private static final long PRESSING_US = 4_000_000;

    final ZoneFollower follower;
    /** Replicas that were asked in this round: a poll with its retries, or a transfer with its own. */
    final Set<Replica> tried = new HashSet<>();
    Phase phase = Phase.IDLE;
    long dueUs;
    /** The query or transfer that is out. */
    long request;
    /** Asked last. */
    Replica replica;
    /** Whether the last round began with the nearest replica. */
    boolean beganNearest;
    /** Transfers that failed in a row, over rounds. */
    int transferFailures;
    /** Answers from replicas that are behind, in this round. */
    int behind;
    /** us. When the replica was asked that last said that what is held is current; until then, when the zone was first known. */
    long confirmedUs;

    ZoneTask(String zone, long nowUs) {
        follower = new ZoneFollower(zone);
        confirmedUs = nowUs;
    }

    String zone() {
        return follower.zone();
    }

    boolean isHeld() {
        return follower.held().isPresent();
    }

    /** us. From when on it is polled whatever the budget says; {@link Long#MAX_VALUE}: it is not held, and has no lease. */
    long pressingUs() {
        return isHeld() ? confirmedUs + PRESSING_US : Long.MAX_VALUE;
    }

    /** The replica is asked now. */
    void begin(Phase next, long untilUs) {
        tried.add(replica);
        phase = next;
        dueUs = untilUs;
    }

    /** The round is over; the next begins then. */
    void restAt(long nextUs) {
        phase = Phase.IDLE;
        dueUs = nextUs;
        request = 0;
        tried.clear();
        behind = 0;
    }
}
