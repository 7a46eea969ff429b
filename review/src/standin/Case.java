package standin;

import java.nio.file.Files;
import java.nio.file.Path;

/** What every case does: its record, a temporary folder, and the end of all that it started. */
public final class Case {
    /** Exit codes. */
    public static final int HELD = 0;
    public static final int BROKEN = 1;
    public static final int COULD_NOT_RUN = 2;
    /** A case runs for 120 s at the most. */
    private static final long MOST_MS = 115_000;

    /** A case; gives its exit code. */
    public interface Body {
        int run(Record record, Path temporary, boolean trouble) throws Exception;
    }

    private Case() {}

    public static void play(String folder, Body body) throws Exception {
        Record record = new Record(Path.of(folder).resolve("record.txt"));
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        record.line(trouble ? "with the disruption" : "without the disruption");
        Path temporary = Files.createTempDirectory("review");
        DiameterServer.start(() -> {
            Thread.sleep(MOST_MS);
            record.say("COULD NOT RUN: it took too long");
            Runtime.getRuntime().exit(COULD_NOT_RUN);
        });
        int code = COULD_NOT_RUN;
        try {
            code = body.run(record, temporary, trouble);
        } catch (Exception e) {
            record.say("the case could not run: " + e);
        } finally {
            Program.endAll();
            Program.delete(temporary);
        }
        record.say(code == BROKEN ? "BROKEN" : code == HELD ? "HELD" : "COULD NOT RUN");
        System.exit(code);
    }
}
