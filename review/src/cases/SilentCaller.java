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

/** The connection from callers falls silent while calls stand; 2 s later the callers go on, on new connections. */
public final class SilentCaller {
    private static final double TOLD_S = 8.05;

    private SilentCaller() {}

    public static void main(String[] arguments) throws Exception {
        Case.play(arguments[0], SilentCaller::run);
    }

    private static int run(Record record, Path temporary, boolean trouble) throws Exception {
        Calls calls = new Calls();
        Names names = new Names(record);
        List<Server> servers = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            Server server = new Server("s-" + i, c -> 60, c -> 8200 + (c.id & 1023), calls, record);
            servers.add(server);
            names.put(new Names.Server("s-" + i, "a", server.port, i, false, 0));
        }
        int port = Program.freePort();
        Program gatekeeper = Site.start("n0", port, names, Site.kozosKonyha(6, 2), temporary, record);
        if (!gatekeeper.logs("serves at", 30_000)) {
            return Case.COULD_NOT_RUN;
        }
        Way way = new Way("way to n0", port, record);
        Callers callers = new Callers(way.port, 1, calls, record);
        Thread.sleep(1000);
        for (int i = 0; i < 90; i++) {
            callers.ask("recept-olvasas", i % 2, 9000, 0);
            Thread.sleep(110);
        }
        // Some calls end each second now.
        double silentS = record.now();
        if (trouble) {
            way.links.forEach(way::silence);
        }
        Thread.sleep(2000);
        callers.leaveLines();
        for (int i = 0; i < 180; i++) {
            callers.ask("recept-olvasas", i % 2, 9000, 0);
            Thread.sleep(110);
        }
        int stood = 0;
        int untold = 0;
        for (Calls.Call call : calls.all.values()) {
            if (call.status == 200 && call.asked < silentS && !Double.isNaN(call.over) && call.over + TOLD_S < record.now()) {
                stood++;
                if (!(call.told <= call.over + TOLD_S)) {
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
