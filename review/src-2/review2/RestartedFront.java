package review2;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A planned restart with sessions standing: their ends, which come after it, must reach who is to be told. */
final class RestartedFront {
    private static final int SESSIONS = 10;
    private static final long HOLD_MS = 20_000;

    public static void main(String[] args) {
        Kit.run(args, RestartedFront::run);
    }

    private static List<String> run(Kit kit, boolean trouble) throws Exception {
        DiaSetting site = new DiaSetting(kit, HOLD_MS);
        DiaClient client = new DiaClient(kit, site.port);
        for (int i = 0; i < SESSIONS; i++) {
            client.ask("front.kozos-konyha.example;1;" + i, i % 2 == 0 ? site.first.host : site.second.host);
            Thread.sleep(100);
        }
        Thread.sleep(1_000);
        Kit.need(client.answers.values().stream().filter(r -> r == 2001).count() == SESSIONS, "not all sessions are open");
        if (trouble) {
            kit.say("planned restart: SIGTERM");
            Kit.signal(site.gatekeeper, "TERM");
            Kit.need(site.gatekeeper.waitFor(10, TimeUnit.SECONDS), "it does not end");
            kit.say("it has ended; it is started again");
            site.again(kit);
            Kit.awaitPort(site.port, 20_000);
            client = client.again(kit, site.port);
        }
        Thread.sleep(HOLD_MS + 10_000);
        List<String> breaches = new ArrayList<>();
        for (String id : client.answers.keySet()) {
            boolean held = site.first.open.containsKey(id) || site.second.open.containsKey(id);
            if (!held && !client.over.containsKey(id)) {
                breaches.add("session " + id + " was ended by its server and is left standing at its client");
            }
        }
        return breaches;
    }
}
