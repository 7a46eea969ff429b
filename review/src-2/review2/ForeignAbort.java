package review2;

import java.util.ArrayList;
import java.util.List;

/**
 * Some answers of servers never arrive; the request has run. The session is then opened at the other server and stands there. It
 * must not be over when the first server ends what it holds under that name.
 */
final class ForeignAbort {
    private static final int SESSIONS = 44;
    /** ms. As long as a call of the site lasts on average. */
    private static final long HOLD_MS = 9_500;

    public static void main(String[] args) {
        Kit.run(args, ForeignAbort::run);
    }

    private static List<String> run(Kit kit, boolean trouble) throws Exception {
        DiaSetting site = new DiaSetting(kit, HOLD_MS);
        // One answer in eleven, at either server, and never the second one of a session.
        site.first.losesAnswer = id -> trouble && isSpoilt(id) && !site.second.asked.contains(id) && count(site.first, id) == 1;
        site.second.losesAnswer = id -> trouble && isSpoilt(id) && !site.first.asked.contains(id) && count(site.second, id) == 1;
        DiaClient client = new DiaClient(kit, site.port);
        for (int i = 0; i < SESSIONS; i++) {
            client.ask("front.kozos-konyha.example;1;" + i, i % 2 == 0 ? site.first.host : site.second.host);
            Thread.sleep(500);
            // The client itself ends what no answer was lost of, after some 4 s.
            if (i >= 8 && !isSpoilt("front.kozos-konyha.example;1;" + (i - 8))) {
                client.end("front.kozos-konyha.example;1;" + (i - 8));
            }
        }
        Thread.sleep(HOLD_MS + 12_000);
        List<String> breaches = new ArrayList<>();
        client.over.forEach((id, atMs) -> {
            Long end = null;
            for (DiaServer server : List.of(site.first, site.second)) {
                end = server.terminated.getOrDefault(id, end);
            }
            if (end != null && end >= atMs - 50 && client.answers.get(id) == 2001) {
                breaches.add("session " + id + " was told to be over at " + atMs + "; the server where it stands held it until the "
                    + "gatekeeper's STR at " + end);
            }
        });
        return breaches;
    }

    private static boolean isSpoilt(String id) {
        return Integer.parseInt(id.substring(id.lastIndexOf(';') + 1)) % 11 == 6;
    }

    private static long count(DiaServer server, String id) {
        return server.asked.stream().filter(id::equals).count();
    }
}
