package grebewick.lab.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import grebewick.discovery.replica.ReplicaCounters;
import grebewick.lab.fleet.ChangeTimes.Holders;
import grebewick.lab.fleet.MachineUse.Busiest;
import grebewick.lab.measure.Traffic;
import java.util.List;
import java.util.Map;
import org.HdrHistogram.Histogram;
import org.junit.jupiter.api.Test;

/** What a part's reading makes of counts, and the lines that the counts come from. */
class FleetReadingTest {
    private static final Busiest REPLICA = new Busiest(100, 20, 64);
    private static final Busiest PRIMARY = new Busiest(50, 10, 32);
    private static final Traffic TRAFFIC = new Traffic(100, 10_000, 100, 30_000);

    private static FleetReading reading(int current, Map<Long, Integer> made, List<Holders> held, long metUs) {
        Histogram delays = ChangeTimes.newHistogram();
        held.forEach(each -> delays.recordValue(each.lastUs() - each.startedUs()));
        return new FleetReading(FleetPart.CHANGES, 5, 4, TRAFFIC, 200_000_000, REPLICA, PRIMARY, 70, 5_000_000, current,
            2_500_000,
            made, held, delays, metUs, 10, 20, 1.5);
    }

    private static Object cell(FleetReading reading, String column) {
        assertThat(reading.cells()).hasSameSizeAs(FleetReading.COLUMNS);
        return reading.cells().get(FleetReading.COLUMNS.indexOf(column));
    }

    @Test
    void costsAreThoseOfOneGatekeeperInASecond() {
        FleetReading reading = reading(5, Map.of(), List.of(), -1);
        assertThat(cell(reading, "KB/s a gatekeeper")).isEqualTo(2.0);
        assertThat(cell(reading, "messages/s a gatekeeper")).isEqualTo(10.0);
        assertThat(cell(reading, "core % a gatekeeper")).isEqualTo(1.0);
        assertThat(cell(reading, "core % of the busiest replica")).isEqualTo(20.0);
        assertThat(cell(reading, "RSS MB of the largest primary")).isEqualTo(32.0);
        assertThat(cell(reading, "peak MB/s at one machine")).isEqualTo(5.0);
        assertThat(cell(reading, "changes held by all")).isEqualTo("-");
        assertThat(cell(reading, "last holds after s, worst")).isEqualTo("-");
    }

    @Test
    void whoIsNotCurrentIsSaid() {
        assertThat(cell(reading(5, Map.of(), List.of(), -1), "all current after s")).isEqualTo(2.5);
        assertThat(cell(reading(4, Map.of(), List.of(), -1), "all current after s")).isEqualTo("not all: 4");
    }

    @Test
    void theWorstChangeIsTheOneThatTookItsLastHolderLongest() {
        Map<Long, Integer> made = Map.of(1_000_000L, 3, 2_000_000L, 3, 3_000_000L, 3);
        FleetReading reading = reading(5, made,
            List.of(new Holders(1_000_000, 3, 2_500_000), new Holders(2_000_000, 3, 3_000_000)), 250_000);
        assertThat(cell(reading, "last holds after s, worst")).isEqualTo(1.5);
        assertThat(cell(reading, "changes held by all")).isEqualTo("2 of 3");
        assertThat((Double) cell(reading, "held after s, 99 %")).isBetween(1.5, 1.502);
        assertThat(cell(reading, "all held after the split's end, s")).isEqualTo(0.25);
    }

    @Test
    void theBusiestMachineOfAKindIsFoundForEachFigure() {
        List<MachineUse> before = List.of(new MachineUse(true, 0, 100, 0), new MachineUse(false, 1_000_000_000, 2_048, 10),
            new MachineUse(false, 0, 1_024, 0));
        List<MachineUse> after = List.of(new MachineUse(true, 9_000_000_000L, 99_999, 900),
            new MachineUse(false, 2_000_000_000, 2_048, 110), new MachineUse(false, 500_000_000, 4_096, 300));
        assertThat(MachineUse.busiest(false, before, after, 10)).isEqualTo(new Busiest(30, 10, 4));
        assertThat(MachineUse.busiest(true, before, after, 10).messagesPerSecond()).isEqualTo(90);
    }

    @Test
    void aReplicasLineOfCountersIsRead() {
        String counters = new ReplicaCounters(1_200, 1, 34_567, 2, 3, 4, 5, 6, 7).toString();
        assertThat(ReplicaLogLine.parse("replica: " + counters + "; 559 of 560 zones held, 8123 bytes of history"))
            .contains(new ReplicaLogLine(1_200, 34_567, 6, 559));
        assertThat(ReplicaLogLine.parse("replica: zones read anew, 560 are served")).isEmpty();
    }

    @Test
    void aRunsLongestTimeIsThatOfItsPartsWithEachWaitAtItsLongest() {
        FleetOptions options = new FleetOptions();
        options.patienceS = 60;
        options.changes = 5;
        options.everyMs = 2_000;
        options.idleS = 8;
        options.splitS = 10;
        options.goneS = 3;
        assertThat(FleetPart.IDLE.mostSeconds(options)).isEqualTo(8);
        assertThat(FleetPart.CHANGES.mostSeconds(options)).isEqualTo(70);
        assertThat(FleetPart.KILL.mostSeconds(options)).isEqualTo(160);
        assertThat(FleetPart.SPLIT.mostSeconds(options)).isEqualTo(70);
        assertThat(FleetPart.mostSecondsOfAll(options)).isEqualTo(150 + 60 + 8 + 70 + 60 + 63 + 160 + 70 + 60);
    }
}
