package grebewick.discovery.replica;

import static org.assertj.core.api.Assertions.assertThat;

import grebewick.discovery.replica.ReplicaState.Transport;
import grebewick.discovery.transfer.FailureReason;
import grebewick.discovery.transfer.TransferRequest;
import grebewick.discovery.transfer.TransferResponse;
import grebewick.discovery.transfer.TransferResponse.Failed;
import grebewick.discovery.transfer.TransferResponse.FullCopy;
import grebewick.discovery.transfer.TransferResponse.UpToDate;
import grebewick.discovery.transfer.TransferSamples;
import grebewick.discovery.transfer.TransferSize;
import grebewick.discovery.transfer.ZoneContent;
import grebewick.discovery.transfer.ZoneVersion;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** All zones of a replica: who gets what, and that the limits hold whoever asks. */
class ReplicaStateTest {
    private static final long SECOND_US = 1_000_000;
    private static final ZoneVersion FIRST = new ZoneVersion(1_764_650_000_000L, 1);
    private static final HistoryLimits HISTORY = new HistoryLimits(4_096, 1 << 16);
    private final TransferSamples samples = new TransferSamples(560);

    private static TransferRequest query(String zone) {
        return new TransferRequest(1, zone, Optional.empty());
    }

    private static String zone(int number) {
        return "s" + number + ".east.fleet.local.";
    }

    @Test
    void zonesThatAreNotHeldOrNotServedSaySo() {
        ReplicaState state = new ReplicaState(HISTORY, LimitSettings.DEFAULT);
        state.serve(List.of(zone(1), zone(2)));
        ZoneContent content = samples.content(FIRST, 7);
        assertThat(state.take(zone(1), content)).isTrue();
        assertThat(state.take(zone(3), content)).isFalse();
        assertThat(state.answer(query(zone(1)), Transport.STREAM, 0)).isEqualTo(new FullCopy(content));
        assertThat(state.answer(query(zone(2)), Transport.DATAGRAM, 0)).isEqualTo(new Failed(FailureReason.SERVFAIL));
        assertThat(state.answer(query(zone(3)), Transport.DATAGRAM, 0)).isEqualTo(new Failed(FailureReason.NOTAUTH));
        assertThat(state.held()).isEqualTo(1);
        ReplicaCounters counters = state.counters();
        assertThat(counters.queries()).isEqualTo(3);
        assertThat(counters.wholeCopies()).isEqualTo(1);
        assertThat(counters.failed()).isEqualTo(2);
    }

    /** Whatever a source says in whatever order, and whether the zone was taken out in between: no version is ever lower. */
    @Test
    void noVersionIsEverLowerThanOneServed() {
        Random random = new Random(18);
        ReplicaState state = new ReplicaState(HISTORY, new LimitSettings(64, 1L << 40, 1L << 40));
        state.serve(List.of(zone(1)));
        ZoneVersion highest = null;
        for (int i = 0; i < 2_000; i++) {
            state.serve(random.nextInt(10) == 0 ? List.of() : List.of(zone(1)));
            state.take(zone(1), samples.content(new ZoneVersion(1 + random.nextInt(1 + i / 400), 1 + random.nextInt(1 + i)), 2));
            Optional<ZoneVersion> now = state.content(zone(1)).map(ZoneContent::version);
            if (now.isPresent()) {
                assertThat(highest == null || !highest.isAfter(now.get())).isTrue();
                highest = now.get();
            }
        }
        // A source that restarts with a lower version is not followed; clients that are ahead hear so.
        assertThat(state.take(zone(1), samples.content(new ZoneVersion(1, 1), 2))).isFalse();
        TransferRequest ahead = new TransferRequest(1, zone(1), Optional.of(highest.next()));
        state.serve(List.of(zone(1)));
        assertThat(state.answer(ahead, Transport.DATAGRAM, 0)).isEqualTo(new UpToDate(highest));
    }

    @Test
    void transfersAtATimeAreLimited() {
        ReplicaState state = new ReplicaState(HISTORY, new LimitSettings(3, 1L << 40, 1_000));
        state.serve(List.of(zone(1)));
        state.take(zone(1), samples.content(FIRST, 100));
        for (int i = 0; i < 3; i++) {
            assertThat(state.answer(query(zone(1)), Transport.STREAM, 0)).isInstanceOf(FullCopy.class);
        }
        assertThat(state.answer(query(zone(1)), Transport.STREAM, 0)).isEqualTo(new Failed(FailureReason.REFUSED));
        state.transferEnded();
        assertThat(state.answer(query(zone(1)), Transport.STREAM, 0)).isInstanceOf(FullCopy.class);
        assertThat(state.transfers()).isEqualTo(3);
    }

    @Test
    void queriesASecondAreLimited() {
        ReplicaState state = new ReplicaState(HISTORY, new LimitSettings(3, 1L << 40, 100));
        state.serve(List.of(zone(1)));
        int answered = 0;
        for (long nowUs = 0; nowUs < 10 * SECOND_US; nowUs += 1_000) {
            answered += state.answer(query(zone(1)), Transport.DATAGRAM, nowUs).equals(new Failed(FailureReason.SERVFAIL)) ? 1
                : 0;
        }
        assertThat(answered).as("the burst, and ten seconds").isBetween(1_090, 1_100);
        assertThat(state.counters().refused()).isEqualTo(10_000 - answered);
    }

    /** A client that waits for a whole copy. */
    private record Waiting(long atUs, int zone, int tries) {}

    /**
     * 3,800 clients restart within a minute and each wants 14 of 560 zones of 3,800 servers, from one replica with a budget
     * of a fifth of that: in no second does it begin more than the budget, the burst and one copy; all are served in the end.
     */
    @Test
    void aRestartOfAllStaysWithinTheBytes() {
        long bytesPerSecond = 400_000;
        Random random = new Random(3_800);
        ReplicaState state = new ReplicaState(HISTORY, new LimitSettings(64, bytesPerSecond, 1_000_000));
        List<String> zones = new ArrayList<>();
        for (int i = 0; i < 560; i++) {
            zones.add(zone(i));
        }
        state.serve(zones);
        int largest = 0;
        int servers = 0;
        for (int i = 0; i < 560; i++) {
            ZoneContent content = samples.content(FIRST, i < 440 ? 7 : 6);
            servers += content.servers().size();
            state.take(zone(i), content);
            largest = Math.max(largest, TransferSize.ofCopy(zone(i), content));
        }
        assertThat(servers).isEqualTo(3_800);
        PriorityQueue<Waiting> queue = new PriorityQueue<>((a, b) -> Long.compare(a.atUs, b.atUs));
        for (int client = 0; client < 3_800; client++) {
            long startUs = random.nextInt((int) (60 * SECOND_US));
            for (int i = 0; i < 14; i++) {
                queue.add(new Waiting(startUs, random.nextInt(560), 0));
            }
        }
        Deque<long[]> lastSecond = new ArrayDeque<>();
        long inLastSecond = 0;
        long peak = 0;
        int served = 0;
        while (!queue.isEmpty()) {
            Waiting next = queue.poll();
            TransferResponse response = state.answer(query(zone(next.zone)), Transport.STREAM, next.atUs);
            if (!(response instanceof FullCopy copy)) {
                assertThat(response).isEqualTo(new Failed(FailureReason.REFUSED));
                long backoffUs = Math.min(16 * SECOND_US, SECOND_US << next.tries);
                queue.add(new Waiting(next.atUs + 1 + (long) (random.nextDouble() * backoffUs), next.zone,
                    Math.min(4, next.tries + 1)));
                continue;
            }
            state.transferEnded();
            served++;
            long bytes = TransferSize.ofCopy(zone(next.zone), copy.content());
            lastSecond.add(new long[] {next.atUs, bytes});
            inLastSecond += bytes;
            while (lastSecond.peek()[0] <= next.atUs - SECOND_US) {
                inLastSecond -= lastSecond.poll()[1];
            }
            peak = Math.max(peak, inLastSecond);
        }
        assertThat(served).isEqualTo(3_800 * 14);
        assertThat(peak).isLessThanOrEqualTo(2 * bytesPerSecond + largest).isGreaterThan(bytesPerSecond);
        assertThat(state.counters().refused()).isPositive();
    }

    /** A copy larger than a second's budget is sent when the budget is whole, and paid for after. */
    @Test
    void aCopyBeyondASecondsBudgetIsPaidForAfter() {
        ReplicaState state = new ReplicaState(HISTORY, new LimitSettings(64, 10_000, 1_000));
        state.serve(List.of(zone(1)));
        state.take(zone(1), samples.content(FIRST, 3_800));
        int bytes = TransferSize.ofCopy(zone(1), state.content(zone(1)).orElseThrow());
        assertThat(bytes).isGreaterThan(300_000);
        assertThat(state.answer(query(zone(1)), Transport.STREAM, 0)).isInstanceOf(FullCopy.class);
        long paidUs = bytes / 10_000 * SECOND_US;
        assertThat(state.answer(query(zone(1)), Transport.STREAM, paidUs - SECOND_US)).isInstanceOf(Failed.class);
        assertThat(state.answer(query(zone(1)), Transport.STREAM, paidUs + SECOND_US)).isInstanceOf(FullCopy.class);
    }
}
