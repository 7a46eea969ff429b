package cases;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import standin.Callers;
import standin.Calls;
import standin.Case;
import standin.Names;
import standin.Program;
import standin.Record;
import standin.Server;
import standin.Site;
import standin.Way;

/** One of the connections with one server falls silent while calls stand that were set up on it; the others go on. */
public final class SilentConnection {
    private static final double TOLD_S = 8.05;

    private SilentConnection() {}

    public static void main(String[] arguments) throws Exception {
        Case.play(arguments[0], SilentConnection::run);
    }

    private static int run(Record record, Path temporary, boolean trouble) throws Exception {
        Calls calls = new Calls();
        Names names = new Names(record);
        List<Server> servers = new ArrayList<>();
        List<Way> ways = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            Server server = new Server("s-" + i, c -> 60, c -> 8200 + (c.id & 1023), calls, record);
            servers.add(server);
            ways.add(new Way("way to s-" + i, server.port, record));
            names.put(new Names.Server("s-" + i, "a", ways.get(i).port, i, false, 0));
        }
        int port = Program.freePort();
        Program gatekeeper = Site.start("n0", port, names, Site.kozosKonyha(6, 2), temporary, record);
        if (!gatekeeper.logs("serves at", 30_000)) {
            return Case.COULD_NOT_RUN;
        }
        Callers callers = new Callers(port, 4, calls, record);
        Thread.sleep(1000);
        // Two calls at once to each server, some 12 calls a second.
        for (int i = 0; i < 60; i++) {
            callers.ask("recept-olvasas", i / 2 % 2, 9000, 0);
            Thread.sleep(i % 4 < 3 ? 5 : 300);
        }
        Thread.sleep(1000);
        double silentS = record.now();
        if (trouble) {
            ways.get(0).silence(ways.get(0).links.stream().filter(link -> !link.ended).findFirst().orElseThrow());
        }
        // Calls go on, at the other server.
        for (int i = 0; i < 40; i++) {
            callers.ask("recept-olvasas", 1, 9000, 0);
            Thread.sleep(500);
        }
        Thread.sleep(2000);
        int stood = 0;
        int untold = 0;
        for (Calls.Call call : calls.all.values()) {
            if (call.status == 200 && call.asked < silentS) {
                stood++;
                boolean told = !Double.isNaN(call.told) && call.told <= call.over + TOLD_S;
                if (!told && !Double.isNaN(call.over) && call.over + TOLD_S < record.now()) {
                    untold++;
                    record.line("not told: " + call);
                }
            }
        }
        record.say(stood + " calls stood; of these " + untold + " are over and their caller was not told within 8 s; outcomes "
            + calls.counts());
        return stood == 0 ? Case.COULD_NOT_RUN : untold > 0 ? Case.BROKEN : Case.HELD;
    }
}
