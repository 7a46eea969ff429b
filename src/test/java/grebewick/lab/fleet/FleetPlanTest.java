package grebewick.lab.fleet;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class FleetPlanTest {
    private static final int GATEKEEPERS = 50;

    private final FleetPlan plan = new FleetPlan(100, 7, 3);

    @Test
    void aGatekeeperCallsSoManyDifferentServices() {
        assertThat(plan.zonesOf(5)).hasSize(3).doesNotHaveDuplicates().isSubsetOf(plan.zones());
        assertThat(plan.zonesOf(5)).isEqualTo(plan.zonesOf(5));
    }

    @Test
    void itsListHasTheServersOfTheseServices() {
        for (int gatekeeper = 0; gatekeeper < GATEKEEPERS; gatekeeper++) {
            var zones = plan.zonesOf(gatekeeper);
            long listed = IntStream.range(0, plan.servers()).filter(place -> zones.contains(plan.zone(place))).count();
            assertThat(plan.listedFor(gatekeeper)).isEqualTo((int) listed);
        }
    }

    @Test
    void thoseWhoCallAServiceFollowItsServers() {
        int place = 12;
        long followers = IntStream.range(0, GATEKEEPERS).filter(each -> plan.zonesOf(each).contains(plan.zone(place))).count();
        assertThat(plan.followers(place, GATEKEEPERS)).isEqualTo((int) followers).isPositive();
    }

    @Test
    void moreServicesThanServersAreRefused() {
        assertThatThrownBy(() -> new FleetPlan(3, 4, 1)).isInstanceOf(IllegalArgumentException.class);
        assertThatThrownBy(() -> new FleetPlan(4, 4, 5)).isInstanceOf(IllegalArgumentException.class);
    }
}
