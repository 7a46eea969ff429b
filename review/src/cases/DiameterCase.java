package cases;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import standin.Case;
import standin.DiameterClient;
import standin.DiameterServer;
import standin.Program;
import standin.Record;

/** The cases of the Diameter front: one gatekeeper, two servers, one client, settings of deploy/diameter.json. */
public final class DiameterCase {
    private static final String A = "auth1.kozos-konyha.example";
    private static final String B = "auth2.kozos-konyha.example";
    private final Map<Integer, List<Integer>> results = DiameterClient.results();
    private final Map<String, Double> over = DiameterClient.over();
    private final Record record;
    private final boolean trouble;
    private final Path temporary;
    private DiameterServer a;
    private DiameterServer b;
    private int listen;
    private Path file;

    private DiameterCase(Record record, boolean trouble, Path temporary) {
        this.record = record;
        this.trouble = trouble;
        this.temporary = temporary;
    }

    public static void main(String[] arguments) throws Exception {
        Case.play(arguments[0], (record, temporary, trouble) -> {
            DiameterCase it = new DiameterCase(record, trouble, temporary);
            return switch (arguments[1]) {
                case "failover" -> it.failover();
                case "foreign-end" -> it.foreignEnd();
                case "restart" -> it.restart();
                case "idle-reset" -> it.idleReset();
                default -> Case.COULD_NOT_RUN;
            };
        });
    }

    private Program begin(long answerMs, long holdMs, int reconnectMs) throws Exception {
        a = new DiameterServer(A, answerMs, holdMs, record);
        b = new DiameterServer(B, answerMs, holdMs, record);
        listen = Program.freePort();
        String json = Files.readString(Path.of("deploy/diameter.json")).replace("127.0.0.1:3868", "127.0.0.1:" + listen)
            .replace("127.0.0.1:3869", "127.0.0.1:" + a.port).replace("127.0.0.1:3870", "127.0.0.1:" + b.port)
            .replace("\"reconnect_ms\": 30000", "\"reconnect_ms\": " + reconnectMs);
        file = temporary.resolve("diameter.json");
        Files.writeString(file, json);
        return gatekeeper("gatekeeper");
    }

    private Program gatekeeper(String name) throws Exception {
        return Program.start(Map.of("RELAY_DIAMETER", file.toString()), temporary, record, name);
    }

    private DiameterClient client() throws Exception {
        return DiameterClient.connect(listen, results, over, record, 30_000);
    }

    private boolean stands(int end) {
        return results.getOrDefault(end, List.of()).contains(2001);
    }

    /** The client's connection is reset under a request; it connects again and repeats the request there. */
    private int failover() throws Exception {
        begin(400, 0, 30_000);
        DiameterClient first = client();
        Thread.sleep(1000);
        int broken = 0;
        int stood = 0;
        for (int i = 1; i <= 10; i++) {
            String id = HOST + ";1;" + i;
            first.ask(id, i, A, false);
            if (trouble) {
                Thread.sleep(100);
                record.line("client: its connection is reset");
                first.connection.reset();
                first = client();
                first.ask(id, i, A, true);
            }
            Thread.sleep(1500);
            boolean server = a.open.containsKey(id) || b.open.containsKey(id);
            record.line("session " + id + ": client was told " + results.get(i) + ", its end " + over.get(id)
                + "; open at a server: " + server);
            stood += stands(i) ? 1 : 0;
            broken += stands(i) && !server && !over.containsKey(id) ? 1 : 0;
        }
        if (stood == 0) {
            return Case.COULD_NOT_RUN;
        }
        // 8 s and the slack, the longest time until an end is told.
        Thread.sleep(8100);
        int left = 0;
        for (int i = 1; i <= 10; i++) {
            String id = HOST + ";1;" + i;
            boolean server = a.open.containsKey(id) || b.open.containsKey(id);
            left += stands(i) && !server && !over.containsKey(id) ? 1 : 0;
        }
        record.say(stood + " of 10 sessions stood; of these " + left + " are over at every server, and their client was not told in 8 s");
        return left > 0 && broken > 0 ? 1 : 0;
    }

    private static final String HOST = DiameterClient.HOST;

    /** A server's connection is reset with a request that was read; the session stands at the other one. */
    private int foreignEnd() throws Exception {
        begin(100, 9000, 2000);
        DiameterClient client = client();
        Thread.sleep(1500);
        String id = HOST + ";1;1";
        a.resetsNext = trouble;
        client.ask(id, 1, A, false);
        Thread.sleep(3000);
        if (!stands(1)) {
            return Case.COULD_NOT_RUN;
        }
        DiameterServer at = trouble ? b : a;
        if (!at.open.containsKey(id)) {
            return Case.COULD_NOT_RUN;
        }
        long endNs = System.nanoTime() + 20_000_000_000L;
        while (!over.containsKey(id) && System.nanoTime() < endNs) {
            Thread.sleep(10);
        }
        Thread.sleep(500);
        String why = at.ended.get(id);
        record.say("the session stood at " + at.host + " and was ended there by: " + why + "; its client was told at " + over.get(id));
        return "its own end".equals(why) ? 0 : 1;
    }

    /** A server's connection is reset while it carries no request; sessions stand there, and the server goes on. */
    private int idleReset() throws Exception {
        begin(100, 12_000, 30_000);
        DiameterClient client = client();
        Thread.sleep(1500);
        for (int i = 1; i <= 10; i++) {
            client.ask(HOST + ";1;" + i, i, A, false);
            Thread.sleep(100);
        }
        Thread.sleep(1000);
        int stood = a.open.size();
        if (stood == 0) {
            return Case.COULD_NOT_RUN;
        }
        if (trouble) {
            a.resetAll();
        }
        Thread.sleep(15_000);
        int early = 0;
        for (int i = 1; i <= 10; i++) {
            String id = HOST + ";1;" + i;
            Double told = over.get(id);
            Double ended = a.endedAt.get(id);
            record.line("session " + id + ": its client was told of its end at " + told + "; its server ended it at " + ended);
            early += told != null && (ended == null || told < ended) ? 1 : 0;
        }
        record.say(stood + " sessions stood; of these " + early + " were ended towards their client while they stood at their server");
        return early > 0 ? Case.BROKEN : Case.HELD;
    }

    /** The gatekeeper is killed and started again while a session stands. */
    private int restart() throws Exception {
        Program before = begin(100, 15_000, 30_000);
        DiameterClient client = client();
        Thread.sleep(1000);
        String toServer = HOST + ";1;1";
        String toClient = HOST + ";1;2";
        client.ask(toServer, 1, A, false);
        client.ask(toClient, 2, A, false);
        Thread.sleep(1000);
        if (!stands(1) || !stands(2)) {
            return Case.COULD_NOT_RUN;
        }
        if (trouble) {
            before.signal("KILL");
            before.process.waitFor();
            record.line("the gatekeeper is killed");
            gatekeeper("gatekeeper, second start");
            client = client();
        }
        Thread.sleep(1500);
        client.terminate(toServer);
        Thread.sleep(2000);
        boolean released = !a.open.containsKey(toServer);
        record.say("1 s after the client's STR the session is " + (released ? "over" : "still open") + " at its server");
        long endNs = System.nanoTime() + 25_000_000_000L;
        while (!a.ended.containsKey(toClient) && System.nanoTime() < endNs) {
            Thread.sleep(20);
        }
        Thread.sleep(8100);
        boolean told = over.containsKey(toClient);
        record.say("8 s after its server has ended the other session the client has " + (told ? "" : "not ") + "been told");
        return released && told ? 0 : 1;
    }
}
