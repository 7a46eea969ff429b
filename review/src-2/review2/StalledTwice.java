package review2;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** The watchdog of one server answers while its requests stall. No call may have two attempts out together. */
final class StalledTwice {
    private static final int SESSIONS = 30;
    /** Sessions before the first server begins to stall. */
    private static final int SOUND = 6;
    private static final long STALL_MS = 6_000;

    public static void main(String[] args) {
        Kit.run(args, StalledTwice::run);
    }

    private static List<String> run(Kit kit, boolean trouble) throws Exception {
        DiaSetting site = new DiaSetting(kit, 9_500);
        List<String> breaches = new CopyOnWriteArrayList<>();
        // Each server looks at the other one as a request comes whole.
        site.first.answerMs = id -> {
            look(kit, breaches, site.second, site.first, id);
            return trouble && number(id) >= SOUND ? STALL_MS : 0;
        };
        site.second.answerMs = id -> {
            look(kit, breaches, site.first, site.second, id);
            return 0;
        };
        DiaClient client = new DiaClient(kit, site.port);
        for (int i = 0; i < SESSIONS; i++) {
            client.ask("front.kozos-konyha.example;1;" + i, i % 2 == 0 ? site.first.host : site.second.host);
            Thread.sleep(500);
        }
        Thread.sleep(10_000);
        return new ArrayList<>(breaches);
    }

    private static int number(String id) {
        return Integer.parseInt(id.substring(id.lastIndexOf(';') + 1));
    }

    private static void look(Kit kit, List<String> breaches, DiaServer other, DiaServer at, String id) {
        if (other.outstanding.containsKey(id)) {
            breaches.add(id + " came to " + at.host + " at " + kit.nowMs() + " while it was out at " + other.host
                + ": not answered, not ended by an STR, its connection open");
        }
    }
}
