package review2;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Other settings arrive with SIGHUP: the class may not be repeated any more. An attempt that failed may have run. */
final class RetunedEffect {
    private static final int CALLS = 60;

    public static void main(String[] args) {
        Kit.run(args, RetunedEffect::run);
    }

    private static List<String> run(Kit kit, boolean trouble) throws Exception {
        Platform site = new Platform(kit, 2, 9_000, Platform.kozos());
        // One in ten set-ups of either server ends in an error, first attempts alone.
        Map<Long, Integer> seen = new HashMap<>();
        for (TrunkServer server : site.servers) {
            server.ends = call -> {
                synchronized (seen) {
                    int attempt = seen.merge(call, 1, Integer::sum);
                    return attempt == 1 && call % 10 == 3 ? 47 : null;
                }
            };
        }
        site.start();
        Thread.sleep(2_000);
        if (trouble) {
            site.figures.put("EFFECT", "fragile");
            site.write();
            kit.say("SIGHUP: class recept-olvasas is fragile from now on");
            Kit.signal(site.gatekeeper, "HUP");
        }
        Thread.sleep(3_000);
        SipCaller caller = new SipCaller(kit, site.port);
        for (int i = 0; i < CALLS; i++) {
            caller.invite("recept-olvasas", 9_000, i % 2);
            Thread.sleep(150);
        }
        Thread.sleep(3_000);
        Map<Long, Integer> runs = new HashMap<>();
        site.servers.forEach(server -> server.setUps.forEach(each -> runs.merge(each.call(), 1, Integer::sum)));
        List<String> breaches = new ArrayList<>();
        runs.forEach((call, n) -> {
            if (trouble && n > 1) {
                breaches.add(String.format("call %016x ran %d times", call, n));
            }
        });
        return breaches;
    }
}
