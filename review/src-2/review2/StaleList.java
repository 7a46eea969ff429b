package review2;

import java.util.ArrayList;
import java.util.List;

/** For 3 s the name service's answers arrive cut short or bring an older list, in turn; a server begins to drain with that. */
final class StaleList {
    private static final long SPOILT_MS = 3_000;
    /** ms. Whatever a good answer would have told counts as told so long after it; the list is asked for every 0.1 s. */
    private static final long TOLD_MS = 1_500 + 100;
    /** ms. The site's time to heed a drain, and what every limit on sockets is longer. */
    private static final long GRACE_MS = 500 + 50;
    private static final long HOLD_MS = 9_000;
    private static final int CALLS_A_S = 25;

    public static void main(String[] args) {
        Kit.run(args, StaleList::run);
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
        for (int i = 0; kit.nowMs() < startMs + 20_000; i++) {
            caller.invite("statement-read", 9_000, i % 2);
            long due = startMs + (i + 1) * 1000L / CALLS_A_S;
            Thread.sleep(Math.max(1, due - kit.nowMs()));
            if (drainMs < 0 && kit.nowMs() >= startMs + 4_000) {
                drainMs = kit.nowMs();
                kit.say(drained.name + " drains from now on" + (trouble ? "; answers are cut short, and bring an older list" : ""));
                if (trouble) {
                    // One cut short, then two that bring the list of before.
                    site.names.kinds = n -> n % 3 == 0 ? Names.Kind.CUT : Names.Kind.OLDER;
                }
                site.names.change(() -> site.names.list.put(drained.name, new Names.Entry(drained.port, 0, true, 0)));
            }
            if (drainMs >= 0 && site.names.kinds != null && kit.nowMs() >= drainMs + SPOILT_MS) {
                kit.say("the name service's answers are good again");
                site.names.kinds = null;
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
