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
            Server server = new Server("s-" + i, c -> 20, c -> 8200 + (c.id & 1023), calls, record);
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
        double silentS = record.now() + 10;
        double endS = silentS + 26;
        boolean silent = false;
        int next = 0;
        while (record.now() < endS) {
            if (!silent && record.now() >= silentS) {
                silent = true;
                silentS = record.now();
                if (trouble) {
                    ways.get(0).silence(ways.get(0).busiest());
                }
            }
            callers.ask("recept-olvasas", next++ % servers.size(), 9000, 0);
            Thread.sleep(110);
        }
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
