package review2;

import java.util.ArrayList;
import java.util.List;

/** The name service is down for 8 s, into the start of a release: a server begins to drain, and then stops. */
final class DrainUnheard {
    private static final long OUTAGE_MS = 8_000;
    /** ms. What the name service has to tell counts as told by then, whether it arrived or not. */
    private static final long TOLD_MS = 7_000;
    /** ms. The site's time to heed a drain, and what every limit on sockets is longer. */
    private static final long GRACE_MS = 500 + 50;
    private static final long HOLD_MS = 9_000;
    private static final int CALLS_A_S = 25;

    public static void main(String[] args) {
        Kit.run(args, DrainUnheard::run);
    }

    private static List<String> run(Kit kit, boolean trouble) throws Exception {
        Platform site = new Platform(kit, 2, HOLD_MS, Platform.reykjavik());
        TrunkServer drained = site.servers.get(0);
        site.start();
        SipCaller caller = new SipCaller(kit, site.port);
        Thread.sleep(500);
        long startMs = kit.nowMs();
        long drainMs = -1;
        boolean stopped = false;
        for (int i = 0; kit.nowMs() < startMs + 22_000; i++) {
            caller.invite("statement-read", 9_000, i % 2);
            long due = startMs + (i + 1) * 1000L / CALLS_A_S;
            Thread.sleep(Math.max(1, due - kit.nowMs()));
            if (drainMs < 0 && kit.nowMs() >= startMs + 4_000) {
                drainMs = kit.nowMs();
                kit.say((trouble ? "the name service is down; " : "") + drained.name + " drains from now on");
                site.names.down = trouble;
                site.names.change(() -> site.names.list.put(drained.name, new Names.Entry(drained.port, 0, true, 0)));
            }
            if (drainMs >= 0 && site.names.down && kit.nowMs() >= drainMs + OUTAGE_MS) {
                kit.say("the name service is back");
                site.names.down = false;
            }
            if (!stopped && drainMs >= 0 && kit.nowMs() >= drainMs + 9_800) {
                stopped = true;
                int cut = drained.stop();
                kit.say(drained.name + " stops and cuts " + cut + " calls");
            }
        }
        Thread.sleep(1_000);
        long toldMs = Math.min(site.names.toldMs, drainMs + TOLD_MS);
        kit.say("the drain counts as told at " + toldMs);
        List<String> breaches = new ArrayList<>();
        for (TrunkServer.SetUp each : drained.setUps) {
            if (each.firstMs() > toldMs + GRACE_MS) {
                breaches.add(String.format("set-up %016x reached %s %d ms after its drain was told", each.call(), drained.name,
                    each.firstMs() - toldMs));
            }
        }
        return breaches;
    }
}
