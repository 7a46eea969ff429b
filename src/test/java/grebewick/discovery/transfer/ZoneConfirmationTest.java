package grebewick.discovery.transfer;

import static org.assertj.core.api.Assertions.assertThat;

import grebewick.config.Address;
import grebewick.discovery.transfer.ClientAction.SendQuery;
import grebewick.discovery.transfer.ClientAction.ZoneConfirmed;
import grebewick.discovery.transfer.TransferResponse.Failed;
import grebewick.discovery.transfer.TransferResponse.FullCopy;
import grebewick.discovery.transfer.TransferResponse.TooLarge;
import grebewick.discovery.transfer.TransferResponse.UpToDate;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** When a client counts a zone as confirmed: the replica's answers are given by hand. Version 5 is held. */
class ZoneConfirmationTest {
    private static final long MS = 1_000;
    private static final long SECOND = 1_000 * MS;
    private static final String ZONE = "s1.east.fleet.local.";
    private static final ZoneVersion HELD = new ZoneVersion(1, 5);
    private static final int POLL_BYTES_PER_S = 8_000;

    private final List<ClientAction> actions = new ArrayList<>();
    private ServerListClient client;
    private long nowUs = 1_000 * SECOND;
    private long askedUs;
    private SendQuery asked;

    @BeforeEach
    void hold() {
        client = new ServerListClient(config(ZONE), List.of(), new SplittableRandom(1), nowUs, actions::add);
        ask();
        answer(asked, new FullCopy(ZoneContent.of(HELD, List.of())));
        assertThat(confirmations()).containsExactly(askedUs);
        actions.clear();
    }

    private static DiscoveryConfig config(String... zones) {
        List<Replica> replicas = List.of(new Replica(new Address("127.0.0.1", 53), "east", ""));
        return new DiscoveryConfig("east", "", replicas, List.of(zones), 2 * SECOND, 500 * MS, 3 * SECOND, POLL_BYTES_PER_S,
            12_000,
            1 << 20);
    }

    /** Lets time pass until the zone is asked for. */
    private void ask() {
        asked = null;
        while (asked == null) {
            nowUs += MS;
            client.advance(nowUs);
            actions.stream().filter(SendQuery.class::isInstance).findFirst().ifPresent(query -> asked = (SendQuery) query);
        }
        askedUs = nowUs;
        actions.clear();
    }

    private void answer(SendQuery query, TransferResponse response) {
        client.answered(nowUs, query.request(), response);
    }

    private List<Long> confirmations() {
        return actions.stream().filter(ZoneConfirmed.class::isInstance).map(each -> ((ZoneConfirmed) each).askedUs()).toList();
    }

    /** Guards against readiness that counts from the answer: a drain may have come after the question. */
    @Test
    void anAnswerConfirmsTheZoneAsOfItsQuestion() {
        ask();
        nowUs += 400 * MS;
        answer(asked, new UpToDate(HELD));
        assertThat(confirmations()).containsExactly(askedUs);
        assertThat(client.ageUs(nowUs)).isEqualTo(400 * MS);
    }

    /** Guards against late answers that are taken for news of the moment, and for news of nothing. */
    @Test
    void anAnswerAfterItsTimeConfirmsTheZoneAsOfItsOwnQuestion() {
        ask();
        SendQuery first = asked;
        long firstUs = askedUs;
        ask();
        answer(first, new UpToDate(HELD));
        assertThat(confirmations()).containsExactly(firstUs);
    }

    /** Guards against a secondary that is cut off from its primary and goes on saying that nothing is new. */
    @Test
    void anAnswerOfASecondaryConfirmsTheZoneAsOfItsOwnLastConfirmation() {
        ask();
        client.answered(nowUs, asked.request(), new UpToDate(HELD), 3 * SECOND);
        assertThat(confirmations()).containsExactly(askedUs - 3 * SECOND);
    }

    static Stream<TransferResponse> noConfirmations() {
        return Stream.of(new Failed(FailureReason.SERVFAIL), new Failed(FailureReason.REFUSED),
            new UpToDate(new ZoneVersion(1, 4)), new TooLarge(new ZoneVersion(1, 6)),
            new FullCopy(ZoneContent.of(new ZoneVersion(1, 4), List.of())));
    }

    /** Guards against readiness renewed by a failure, by an older version, or by word of a later one that has not come. */
    @ParameterizedTest
    @MethodSource("noConfirmations")
    void otherAnswersConfirmNothing(TransferResponse response) {
        ask();
        answer(asked, response);
        assertThat(confirmations()).isEmpty();
    }

    /** Guards the readiness of zones while bursts of changes have used up the bytes for polls. */
    @Test
    void aZoneIsAskedForInTimeThoughTheBudgetIsUsedUp() {
        ask();
        client.received(nowUs, asked.request(), 60 * POLL_BYTES_PER_S);
        answer(asked, new UpToDate(HELD));
        long confirmedUs = askedUs;
        ask();
        assertThat(askedUs - confirmedUs).isLessThanOrEqualTo(4 * SECOND);
    }

    /** Guards the readiness of many zones, whose polls would be further apart than it lasts by the budget alone. */
    @Test
    void eachOfManyZonesIsAskedForWithinFiveSeconds() {
        String[] zones = IntStream.range(0, 300).mapToObj(i -> "s" + i + ".east.fleet.local.").toArray(String[]::new);
        client.configure(config(zones), nowUs);
        for (long endUs = nowUs + 60 * SECOND; nowUs < endUs; nowUs += 50 * MS) {
            actions.clear();
            client.advance(nowUs);
            actions.stream().filter(SendQuery.class::isInstance).map(SendQuery.class::cast).toList()
                .forEach(query -> answer(query, query.held().isEmpty() ? new FullCopy(ZoneContent.of(HELD, List.of()))
                    : new UpToDate(HELD)));
            if (nowUs > endUs - 10 * SECOND) {
                assertThat(client.ageUs(nowUs)).isLessThan(5 * SECOND);
            }
        }
    }
}
