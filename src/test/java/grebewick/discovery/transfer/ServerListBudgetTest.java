package grebewick.discovery.transfer;

import static org.assertj.core.api.Assertions.assertThat;

import grebewick.config.Endpoint;
import grebewick.core.CallControl.Stage;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Bytes that a client uses beyond its rates, and lists that are put together from several zones. */
class ServerListBudgetTest {
    /** The bursts of both budgets. */
    private static final double BURSTS = 8_000 + 12_000;
    /** Answers that are under way at the same moment: their sizes are known when they come. */
    private static final double DATAGRAMS = 8 * 1_300;
    /** A zone of 200 servers, with its connection. */
    private static final double COPY = 28_200;

    /** s. The first polls are spread over one. */
    private static final double START_S = 3;

    private final SimNetwork net = new SimNetwork(22_000);

    private void create(int zones, int servers) {
        for (int i = 0; i < zones; i++) {
            net.primary.create("s" + i + ".east.fleet.local.", "z" + i, servers);
        }
        net.addReplicas(6, "east", "east-1");
    }

    /** 20 copies are 550 KB, 46 s at 12 KB a second. */
    @Test
    void largeCopiesWaitForTheirBudget() {
        create(20, 200);
        SimClient client = net.client(net.config());
        net.pass(60);
        assertThat(client.published).isEqualTo(net.primary.list());
        assertThat(client.largestFill()).isLessThan(BURSTS + DATAGRAMS + 2 * COPY);
    }

    /** 40 zones of 1.1 KB: at the 8 KB a second of polls alone they take over 5 s. */
    @Test
    void aStartOfManySmallZonesIsPaidFromBothBudgets() {
        create(40, 7);
        SimClient client = net.client(net.config());
        net.pass(START_S);
        assertThat(client.published).isEqualTo(net.primary.list());
        assertThat(client.largestFill()).isLessThan(BURSTS + DATAGRAMS);
        assertThat(client.client().statistics().copies()).isEqualTo(40);
    }

    /** Changes in all zones each second would take 24 KB a second at a poll every 2 s. */
    @Test
    void pollsWaitForTheirBudgetWhereAnswersAreLong() {
        create(60, 7);
        SimClient client = net.client(net.config());
        for (int second = 0; second < 60; second++) {
            for (String zone : net.primary.zones()) {
                net.primary.put(zone, "z-" + second % 7);
            }
            net.pass(1);
        }
        assertThat(client.largestFill()).isLessThan(BURSTS + DATAGRAMS);
        net.pass(30);
        assertThat(client.published).isEqualTo(net.primary.list());
    }

    @Test
    void ofOneStartTheDrainCountsWhicheverZoneSaysSo() {
        Endpoint well = SimPrimary.server("s-1", Stage.HEALTHY, 1);
        Endpoint draining = SimPrimary.server("s-1", Stage.DRAINING, 1);
        assertThat(ServerListMerger.merge(List.of(List.of(draining), List.of(well)))).containsExactly(draining);
        assertThat(ServerListMerger.merge(List.of(List.of(well), List.of(draining)))).containsExactly(draining);
    }
}
