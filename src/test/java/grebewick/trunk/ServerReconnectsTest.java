package grebewick.trunk;

import static org.assertj.core.api.Assertions.assertThat;

import grebewick.trunk.ReconnectBudget.Wait;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

class ServerReconnectsTest {
    private static final long SEED = 930;
    private static final long START = 1_700_000_000_000_000L;
    private static final int BORNE = 48;

    private final List<String> log = new ArrayList<>();
    private final ReconnectBudget budget = new ReconnectBudget(BORNE, log::add);
    private final ServerReconnects server = new ServerReconnects(budget, new Random(SEED));
    private long now = START;

    /** Opens as soon as it may, for so long; each connection ends at once in the way given. */
    private int opensWithin(long us, Runnable end) {
        int opened = 0;
        long endUs = now + us;
        while (now < endUs) {
            end.run();
            long waitUs = server.tryOpen(false, now);
            while (waitUs > 0) {
                now += waitUs;
                waitUs = server.tryOpen(false, now);
            }
            opened++;
        }
        return opened;
    }

    @Test
    void aFirstConnectionNeverWaits() {
        assertThat(server.tryOpen(false, now)).isZero();
        assertThat(budget.opened()).isZero();
    }

    /** Guards both sides against connections without end to a server that takes each and breaks it. */
    @Test
    void connectionsThatAllBreakAtOnceStayWithinTheServersBudget() {
        int opened = opensWithin(60_000_000, () -> server.broke(now, now));
        assertThat(opened).as("seed %d", SEED).isBetween(60, 60 * 2 + ServerReconnects.BURST + 1);
    }

    /** Guards the ends of calls: what a server repeats on the next connection is heard within half a second. */
    @Test
    void noWaitAfterABreakIsLongerThanHalfASecondWhileOneServerBreaksThem() {
        for (int i = 0; i < 1_000; i++) {
            server.broke(now, now);
            long brokeUs = now;
            for (long waitUs = server.tryOpen(false, now); waitUs > 0; waitUs = server.tryOpen(false, now)) {
                now += waitUs;
            }
            assertThat(now - brokeUs).as("seed %d", SEED).isLessThanOrEqualTo(500_001);
        }
    }

    @Test
    void idleClosesAreFollowedMoreSlowlyAndNeverByMoreThanTwoSeconds() {
        int opened = opensWithin(60_000_000, () -> {
            now += 550_000;
            server.closed(now - 550_000, now - 550_000, now);
        });
        assertThat(opened).as("seed %d", SEED).isBetween(60_000_000 / 2_550_000, 40);
    }

    @Test
    void aSetUpThatNeedsAConnectionDoesNotWaitForTheIdleBackoff() {
        for (int i = 0; i < 4; i++) {
            server.closed(now - 550_000, now - 550_000, now);
        }
        assertThat(server.tryOpen(false, now)).isPositive();
        assertThat(server.tryOpen(true, now)).isZero();
    }

    @Test
    void aBreakIsFollowedAtOnceThoughIdleClosesCameBefore() {
        for (int i = 0; i < 4; i++) {
            server.closed(now - 550_000, now - 550_000, now);
        }
        server.broke(now, now);
        assertThat(server.tryOpen(false, now)).isZero();
    }

    /** Guards the ends of calls whose server's process ends: it may close its connections in order. */
    @Test
    void aFewClosesOfConnectionsJustUsedAreFollowedAtOnce() {
        for (int i = 0; i < ServerReconnects.FREE_BREAKS; i++) {
            server.closed(now, now, now);
            assertThat(server.tryOpen(false, now)).isZero();
        }
        server.closed(now, now, now);
        assertThat(server.tryOpen(false, now)).isPositive();
    }

    @Test
    void noSpareConnectionIsKeptForAWhileAfterAnIdleClose() {
        assertThat(server.spare(2, now)).isEqualTo(2);
        server.closed(now - 550_000, now - 550_000, now);
        assertThat(server.spare(2, now)).isEqualTo(1);
        assertThat(server.spare(2, now + ServerReconnects.NO_SPARE_US)).isEqualTo(2);
    }

    @Test
    void aNewStartOfTheServerIsConnectedToAtOnce() {
        for (int i = 0; i < 5; i++) {
            server.failed(now);
        }
        server.restarted();
        assertThat(server.tryOpen(false, now)).isZero();
        assertThat(server.spare(2, now)).isEqualTo(2);
    }

    /** Guards the machine's other work: whatever many servers do at once, the gatekeeper's reconnects stay bounded. */
    @Test
    void allServersTogetherStayWithinTheGatekeepersBudget() {
        List<ServerReconnects> servers = new ArrayList<>();
        for (int i = 0; i < 1_024; i++) {
            servers.add(new ServerReconnects(budget, new Random(SEED + i)));
        }
        servers.forEach(each -> each.broke(now, now));
        int opened = 0;
        for (int ms = 0; ms < 10_000; ms += 10) {
            now = START + ms * 1_000L;
            for (ServerReconnects each : servers) {
                if (each.tryOpen(false, now) == 0) {
                    opened++;
                    each.broke(now, now);
                }
            }
        }
        assertThat(opened).as("seed %d", SEED).isBetween(BORNE * 5, BORNE + BORNE * 5 + 1);
        assertThat(budget.opened()).isEqualTo(opened);
        assertThat(budget.waits(Wait.GATEKEEPER_BUDGET)).isPositive();
    }

    @Test
    void waitsAreCountedAndSaidAtMostEveryFiveSeconds() {
        opensWithin(20_000_000, () -> server.broke(now, now));
        assertThat(budget.waits(Wait.BACKOFF) + budget.waits(Wait.SERVER_BUDGET)).isPositive();
        assertThat(log).hasSizeBetween(4, 5).allMatch(line -> line.startsWith("reconnects: "));
    }
}
