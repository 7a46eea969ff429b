package grebewick.benchlink;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import grebewick.core.CallControl;
import grebewick.core.CallControl.*;
import java.io.BufferedReader;
import java.io.StringReader;
import java.io.StringWriter;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

class WireTest {
    private static final String LAUNCH = "{\"Launch\":{\"GatewayId\":\"gateway/3\",\"RandomSeed\":5,\"Options\":{"
        + "\"Bounds\":{\"AttemptsCap\":5,\"Cancel\":true,\"MaxRetryAfter\":2000000,\"RetryAfter\":true},"
        + "\"FamilyInfo\":{\"MeanHold\":[9300000],\"PoolsByClass\":[[0,1]],\"Release\":200000,\"Resend\":400000,"
        + "\"Shape\":\"pools\"},\"Grades\":[{\"Name\":\"c\",\"GoalTime\":2000000,\"HardLimit\":9000000,"
        + "\"LateValue\":0.25,\"Worth\":2.0}],\"ReplicasOfMe\":4,\"Rules\":{\"Cold\":14000000,\"ColdFrom\":0.33,"
        + "\"DrainGrace\":1000000,\"Fall\":1000000,\"OverloadFactor\":4.0},\"NewKey\":{\"x\":[1]}}}}";

    private final List<Event> seen = new ArrayList<>();
    private final List<Action> answers = new ArrayList<>();
    private Settings settings;

    private Loop loop() {
        return new Loop((given, seed) -> {
            settings = given;
            return (CallControl) (long now, Event event, Consumer<Action> out) -> {
                seen.add(event);
                answers.forEach(out);
                answers.clear();
            };
        });
    }

    private Event read(String message) throws Exception {
        loop().reply("{\"T\":1,\"news\":[" + LAUNCH + "," + message + "]}");
        return seen.get(seen.size() - 1);
    }

    private String write(Action... actions) throws Exception {
        answers.addAll(Arrays.asList(actions));
        String reply = loop().reply("{\"T\":1,\"news\":[" + LAUNCH + ",{\"Due\":{\"GatewayId\":\"gateway/3\",\"Name\":7}}]}");
        return reply.substring("{\"cmds\":[".length(), reply.length() - 2);
    }

    @Test
    void settingsAreReadAndUnknownKeysSkipped() throws Exception {
        read("{\"Hangup\":{\"GatewayId\":\"gateway/3\",\"Call\":1}}");
        assertEquals(4, settings.replicasOfMe());
        assertEquals(List.of(List.of(0, 1)), settings.familyInfo().poolsByClass());
        assertEquals(200_000, settings.familyInfo().releaseUs());
        assertEquals(2.0, settings.grades().get(0).worth());
        assertEquals(0.33, settings.rules().coldFrom());
        assertTrue(settings.bounds().cancel());
    }

    @Test
    void eachEventIsRead() throws Exception {
        assertEquals(new Call(3189843710087620L, 8652250, false, false, true, 1200, false, 12000, "t", 256, "tel-k",
            57, "c"),
            read("{\"Call\":{\"GatewayId\":\"gateway/3\",\"Call\":3189843710087620,\"DropDead\":8652250,"
                + "\"Units\":1200,\"Estimate\":12000,\"Hop\":256,\"Item\":\"tel-k\",\"FarEnd\":57,\"Band\":\"c\","
                + "\"IsRetry\":true,\"Billing\":\"t\",\"New\":1}}"));
        assertEquals(new Started(1, 2, "a:1", 9250), read("{\"Started\":{\"GatewayId\":\"gateway/3\",\"Call\":1,"
            + "\"Copy\":2,\"Switch\":\"a:1\",\"CostTime\":9250}}"));
        assertEquals(new Result(1, 0, State.QUEUE_FULL, true, "a:1", 5, 19, List.of(0.5, -1.0)),
            read("{\"Result\":{\"GatewayId\":\"gateway/3\",\"Call\":1,\"StateCode\":\"QueueFull\",\"Terminal\":true,"
                + "\"Switch\":\"a:1\",\"CostTime\":5,\"Why\":19,\"Metrics\":[0.5,-1]}}"));
        assertEquals(new Hangup(4), read("{\"Hangup\":{\"GatewayId\":\"gateway/3\",\"Call\":4}}"));
        assertEquals(new Due(77), read("{\"Due\":{\"GatewayId\":\"gateway/3\",\"Name\":77}}"));
        assertEquals(new Checked(State.OK, "a:1", 1400, List.of(0.4, 1.25)), read("{\"Checked\":{\"GatewayId\":"
            + "\"gateway/3\",\"StateCode\":\"Ok\",\"CostTime\":1400,\"Switch\":\"a:1\",\"Metrics\":[0.4,1.25]}}"));
        NeighbourSays says = (NeighbourSays) read("{\"NeighbourSays\":{\"GatewayId\":\"gateway/3\",\"SrcPeer\":2,"
            + "\"Bytes\":\"aGkgNw==\"}}");
        assertEquals("hi 7", new String(says.bytes()));
    }

    @Test
    void listsAreResolvedInEventOrderAndTheirNumbersReused() throws Exception {
        String ledger = "{\"Ledger\":{\"Table\":0,\"Lines\":[{\"PlaceNo\":%d,\"StageState\":\"%s\",\"Switch\":\"%s\"}]}}";
        String fleet = "{\"Fleet\":{\"GatewayId\":\"gateway/3\",\"Scope\":\"%s\",\"Index\":41,\"Table\":0}}";
        loop().reply("{\"T\":1,\"news\":[" + String.join(",", LAUNCH, ledger.formatted(3, "healthy", "a:1"),
            fleet.formatted("Persisted"), ledger.formatted(4, "cordoned", "b:1"), fleet.formatted("Partial"),
            "{\"Fleet\":{\"GatewayId\":\"gateway/3\",\"Scope\":\"Error\",\"Index\":1}}") + "]}");
        assertEquals(List.of(
            new Fleet(Scope.PERSISTED, 41, List.of(new ServerEntry("a:1", 3, Stage.HEALTHY, 0, "", "", 1))),
            new Fleet(Scope.PARTIAL, 41, List.of(new ServerEntry("b:1", 4, Stage.DRAINING, 0, "", "", 1))),
            new Fleet(Scope.ERROR, 1, List.of())), seen);
    }

    @Test
    void eachActionIsWritten() throws Exception {
        String id = "\"GatewayId\":\"gateway/3\"";
        assertEquals("{\"Attempt\":{" + id + ",\"Call\":1,\"Switch\":\"a:1\",\"Patience\":80000}}",
            write(new Attempt(1, "a:1", 80_000)));
        assertEquals("{\"Attempt\":{" + id + ",\"Call\":1,\"Switch\":\"a:1\"}}", write(new Attempt(1, "a:1", 0)));
        assertEquals("{\"Withdraw\":{" + id + ",\"Call\":1,\"Copy\":2}}", write(new Withdraw(1, 2)));
        assertEquals("{\"Refuse\":{" + id + ",\"Call\":1,\"NotBeforeFor\":250000}},{\"Refuse\":{" + id + ",\"Call\":2}}",
            write(new Refuse(1, 250_000), new Refuse(2, 0)));
        assertEquals("{\"Surrender\":{" + id + ",\"Call\":1}}", write(new Surrender(1)));
        assertEquals("{\"Remind\":{" + id + ",\"Moment\":9,\"Name\":77}}", write(new Remind(9, 77)));
        assertEquals("{\"AskLoad\":{" + id + ",\"Switch\":\"a:1\"}}", write(new AskLoad("a:1")));
        assertEquals("{\"Close\":{" + id + ",\"Switch\":\"a:1\"}}", write(new Close("a:1")));
        assertEquals("{\"Signal\":{" + id + ",\"Peer\":\"*\",\"Bytes\":\"aGkgNw==\"}}",
            write(new Signal(-1, "hi 7".getBytes())));
        assertEquals("{\"Observe\":{" + id + ",\"Active\":true}}", write(new Observe(true)));
        assertEquals("{\"Fetch\":{" + id + "}}", write(new Fetch()));
        assertEquals("{\"Trace\":{" + id + ",\"Text\":\"x\"}}", write(new Trace("x")));
    }

    @Test
    void badInputIsNamed() {
        bad("not json", "batch");
        bad("{\"news\":[]}", "batch: field T");
        bad("{\"T\":1,\"news\":[{\"Nonsense\":{\"GatewayId\":\"g\"}}]}", "Nonsense");
        bad("{\"T\":1,\"news\":[" + LAUNCH + ",{\"Hangup\":{\"GatewayId\":\"gateway/3\"}}]}", "Hangup: field Call");
        bad("{\"T\":1,\"news\":[" + LAUNCH + ",{\"Fleet\":{\"GatewayId\":\"gateway/3\",\"Scope\":\"Odd\"}}]}", "Scope");
        bad("{\"T\":1,\"news\":[" + LAUNCH.replace("\"ReplicasOfMe\":4,", "") + "]}", "ReplicasOfMe");
        bad("{\"T\":1,\"news\":[{\"Due\":{\"GatewayId\":\"gateway/9\",\"Name\":1}}]}", "GatewayId");
    }

    private void bad(String line, String named) {
        WireException e = assertThrows(WireException.class, () -> loop().reply(line));
        assertTrue(e.getMessage().contains(named), e.getMessage());
        assertTrue(e.getMessage().indexOf('\n') < 0);
    }

    @Test
    void anExceptionOfTheModuleIsReportedForItsInstance() throws Exception {
        Loop loop = new Loop((given, seed) -> (now, event, out) -> {
            throw new IllegalStateException("broken");
        });
        assertEquals("{\"cmds\":[{\"Exception\":{\"GatewayId\":\"gateway/3\",\"Text\":\"broken\"}}]}",
            loop.reply("{\"T\":1,\"news\":[" + LAUNCH + ",{\"Due\":{\"GatewayId\":\"gateway/3\",\"Name\":1}}]}"));
    }

    @Test
    void runsUntilTheInputEndsAndKilledInstancesAreForgotten() throws Exception {
        StringWriter out = new StringWriter();
        loop().run(new BufferedReader(new StringReader("{\"T\":1,\"news\":[]}\n{\"T\":2,\"news\":[" + LAUNCH
            + ",{\"Killed\":{\"GatewayId\":\"gateway/3\"}}]}\n")), out);
        assertEquals("{\"cmds\":[]}\n{\"cmds\":[]}\n", out.toString());
    }
}
