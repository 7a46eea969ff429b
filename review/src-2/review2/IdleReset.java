package review2;

import java.util.ArrayList;
import java.util.List;

/** An idle connection between the gatekeeper and one server is reset, once; the sessions there must stand to their end. */
final class IdleReset {
    private static final int SESSIONS = 10;
    /** ms. Longer than a call of the site, so that none ends by itself within the time that is looked at. */
    private static final long HOLD_MS = 40_000;
    private static final long LOOK_MS = 30_000;

    public static void main(String[] args) {
        Kit.run(args, IdleReset::run);
    }

    private static List<String> run(Kit kit, boolean trouble) throws Exception {
        DiaSetting site = new DiaSetting(kit, HOLD_MS);
        DiaClient client = new DiaClient(kit, site.port);
        for (int i = 0; i < SESSIONS; i++) {
            client.ask("front.kozos-konyha.example;1;" + i, i % 2 == 0 ? site.first.host : site.second.host);
            Thread.sleep(400);
        }
        Thread.sleep(1_000);
        Kit.need(site.first.open.size() > 1, "too few sessions stand at the first server");
        if (trouble) {
            kit.say("the idle connection of " + site.first.host + " is reset; " + site.first.open.size()
                + " sessions stand there, and it goes on listening");
            for (Dia.Line line : site.first.lines) {
                line.reset();
            }
        }
        long endMs = kit.nowMs() + LOOK_MS;
        while (kit.nowMs() < endMs) {
            Thread.sleep(100);
        }
        List<String> breaches = new ArrayList<>();
        client.over.forEach((id, atMs) -> {
            Long end = site.first.terminated.containsKey(id) ? site.first.terminated.get(id) : site.second.terminated.get(id);
            boolean stood = site.first.open.containsKey(id) || site.second.open.containsKey(id);
            if (stood || end != null && end >= atMs) {
                breaches.add("session " + id + " was told to be over at " + atMs + " while its server held it");
            }
        });
        return breaches;
    }
}
