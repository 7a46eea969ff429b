package grebewick.lab.fleet;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

class FleetPlanTest {
    private static final int GATEKEEPERS = 50;

    private final FleetPlan plan = new FleetPlan(100, 7, 3, 2);

    @Test
    void aGatekeeperCallsSoManyDifferentServices() {
        assertThat(plan.zonesOf(5)).hasSize(3 * 2).doesNotHaveDuplicates().isSubsetOf(plan.zones());
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
    void thePlanForTwoYearsHasAZoneForEachServiceAndRegion() {
        FleetPlan large = new FleetPlan(3_800, 280, 20, 2);
        assertThat(large.zones()).hasSize(560).doesNotHaveDuplicates();
        assertThat(large.zonesOf(17)).hasSize(40);
        Map<String, Long> servers = IntStream.range(0, large.servers()).boxed()
            .collect(Collectors.groupingBy(large::zone, Collectors.counting()));
        assertThat(servers).hasSize(560);
        assertThat(servers.values()).allMatch(count -> count >= 6 && count <= 7);
    }

    @Test
    void aCellHasAFifthOfTheServersOfEachService() {
        FleetPlan large = new FleetPlan(3_800, 280, 20, 2);
        long[] inCell = new long[large.services()];
        IntStream.range(0, large.servers()).filter(place -> large.isOfCell(place, 0))
            .forEach(place -> inCell[place % large.services()]++);
        assertThat(LongStream.of(inCell).sum()).isBetween(740L, 780L);
        assertThat(LongStream.of(inCell).boxed()).allMatch(count -> count >= 2 && count <= 4);
        assertThat(IntStream.range(0, 5).filter(cell -> large.isOfCell(1_234, cell))).hasSize(1);
    }

    @Test
    void aServersZoneIsOneOfItsRegion() {
        for (int place = 0; place < plan.servers(); place++) {
            assertThat(plan.zonesOfRegion(plan.regionOfServer(place))).contains(plan.zone(place));
        }
    }

    @Test
    void theZonesOfTheOwnRegionComeFirst() {
        assertThat(plan.regionOf(4)).isZero();
        assertThat(plan.regionOf(5)).isEqualTo(1);
        assertThat(plan.zonesOf(5).subList(0, 3)).allMatch(zone -> zone.endsWith(".west.fleet.local."));
        assertThat(plan.zonesOf(4).subList(0, 3)).allMatch(zone -> zone.endsWith(".east.fleet.local."));
    }

    @Test
    void aGatekeeperFollowsTheSameServicesInBothRegions() {
        List<String> zones = plan.zonesOf(4);
        assertThat(zones.subList(3, 6)).extracting(zone -> zone.replace(".west.", ".east."))
            .containsExactlyElementsOf(zones.subList(0, 3));
    }

    @Test
    void oneRegionHasOneZoneAService() {
        FleetPlan one = new FleetPlan(100, 7, 3, 1);
        assertThat(one.zones()).hasSize(7).allMatch(zone -> zone.endsWith(".east.fleet.local."));
        assertThat(one.zonesOf(5)).hasSize(3);
        assertThat(one.zone(12)).isEqualTo("s5.east.fleet.local.");
    }

    @Test
    void aSmallListHasAsManyServicesAsItHasServersForInEachRegion() {
        assertThat(FleetPlan.fitting(36, 280, 20, 2)).isEqualTo(new FleetPlan(36, 18, 18, 2));
        assertThat(FleetPlan.fitting(3_800, 280, 20, 2)).isEqualTo(new FleetPlan(3_800, 280, 20, 2));
    }

    @Test
    void moreServicesThanServersAreRefused() {
        assertThatThrownBy(() -> new FleetPlan(3, 4, 1, 1)).isInstanceOf(IllegalArgumentException.class);
        assertThatThrownBy(() -> new FleetPlan(4, 4, 5, 1)).isInstanceOf(IllegalArgumentException.class);
        assertThatThrownBy(() -> new FleetPlan(7, 4, 1, 2)).isInstanceOf(IllegalArgumentException.class);
        assertThatThrownBy(() -> new FleetPlan(70, 4, 1, 3)).isInstanceOf(IllegalArgumentException.class);
        assertThatThrownBy(() -> new FleetPlan(70, 4, 1, 0)).isInstanceOf(IllegalArgumentException.class);
    }
}
