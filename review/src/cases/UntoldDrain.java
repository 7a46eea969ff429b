package cases;

import java.nio.file.Path;
import java.util.concurrent.ThreadLocalRandom;
import standin.Callers;
import standin.Calls;
import standin.Case;
import standin.Names;
import standin.Program;
import standin.Record;
import standin.Server;
import standin.Site;

/** The name service answers nobody for 8 s; a server begins to drain as that begins. Settings of reykjavik-billing. */
public final class UntoldDrain {
    private static final double SILENT_S = 8;
    /** What the name service has to tell counts as told so much later at the latest. */
    private static final double TOLD_S = 7;
    private static final double GRACE_S = 0.5;
    private static final double SLACK_S = 0.05;
    private static final double DRAIN_S = 9.5;

    private UntoldDrain() {}

    public static void main(String[] arguments) throws Exception {
        Case.play(arguments[0], UntoldDrain::run);
    }

    private static int run(Record record, Path temporary, boolean trouble) throws Exception {
        Calls calls = new Calls();
        Names names = new Names(record);
        Server[] servers = new Server[2];
        for (int i = 0; i < servers.length; i++) {
            servers[i] = new Server("s-" + i, c -> 20 + (c.id & 15), c -> 7900 + (c.id & 0x7ff), calls, record);
            names.put(new Names.Server("s-" + i, "a", servers[i].port, i, false, 0));
        }
        int port = Program.freePort();
        Program gatekeeper = Site.start("n0", port, names, Site.reykjavik(5, servers.length), temporary, record);
        if (!gatekeeper.logs("serves at", 30_000)) {
            return Case.COULD_NOT_RUN;
        }
        Callers callers = new Callers(port, 4, calls, record);
        double beginS = record.now() + 1;
        double silentS = beginS + 10;
        double drainS = silentS + 0.02;
        double stopS = drainS + DRAIN_S;
        double gone = stopS + 1;
        boolean[] done = new boolean[4];
        while (record.now() < gone + 1) {
            double now = record.now();
            if (trouble && !done[0] && now >= silentS) {
                done[0] = true;
                names.silent = true;
                record.line("names: silent from now on");
            }
            if (!done[1] && now >= drainS) {
                done[1] = true;
                drainS = now;
                names.event(new Names.Server("s-0", "a", servers[0].port, 0, true, 0));
            }
            if (!done[2] && now >= silentS + SILENT_S) {
                done[2] = true;
                names.silent = false;
                record.line("names: answers again");
            }
            if (!done[3] && now >= stopS) {
                done[3] = true;
                servers[0].die();
                names.remove("s-0");
            }
            // At most 50 calls a second, as the busiest gatekeeper sees.
            callers.ask("statement-read", ThreadLocalRandom.current().nextInt(servers.length), 9000, 0);
            Thread.sleep(20);
        }
        double bound = drainS + TOLD_S + GRACE_S + SLACK_S;
        int late = 0;
        int cut = 0;
        int any = 0;
        for (Calls.Call call : calls.all.values()) {
            for (Calls.Attempt attempt : call.attempts) {
                any++;
                if (attempt.server.equals("s-0") && attempt.from > bound) {
                    late++;
                    cut += call.ended.startsWith("cut") ? 1 : 0;
                    record.line(String.format("too late by %.3f s: %s", attempt.from - bound, call));
                }
            }
        }
        record.say(String.format("s-0 drains from %.3f on; set-ups that reach it after %.3f: %d, of which %d stood and were cut at its end; "
            + "outcomes %s", drainS, bound, late, cut, calls.counts()));
        return any == 0 ? Case.COULD_NOT_RUN : late > 0 ? Case.BROKEN : Case.HELD;
    }
}
