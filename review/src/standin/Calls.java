package standin;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** What became of each call, as callers and servers saw it; times in seconds since the start of the case. */
public final class Calls {
    /** One attempt as its server saw it. */
    public static final class Attempt {
        public final String server;
        public final double from;
        public volatile double to = Double.NaN;
        public volatile String end = "";

        Attempt(String server, double from) {
            this.server = server;
            this.from = from;
        }
    }

    /** One call. */
    public static final class Call {
        public final long id;
        public final byte[] description;
        public final double asked;
        public final double deadline;
        public final List<Attempt> attempts = new ArrayList<>();
        public final List<String> answers = new ArrayList<>();
        public volatile double answered = Double.NaN;
        public volatile int status;
        public volatile boolean withdrawn;
        public volatile boolean connectionEnded;
        public volatile byte[] served;
        /** When the server ended it, having written its answer, and when its caller was told. */
        public volatile double over = Double.NaN;
        public volatile double told = Double.NaN;
        public volatile String standsAt = "";
        public volatile String ended = "";

        Call(long id, byte[] description, double asked, double deadline) {
            this.id = id;
            this.description = description;
            this.asked = asked;
            this.deadline = deadline;
        }

        public synchronized Attempt attempt(String server, double now) {
            Attempt attempt = new Attempt(server, now);
            attempts.add(attempt);
            return attempt;
        }

        @Override
        public String toString() {
            StringBuilder text = new StringBuilder(String.format("call %016x asked %.4f deadline %.4f", id, asked, deadline));
            for (Attempt each : attempts) {
                text.append(String.format("; %s %.4f to %.4f %s", each.server, each.from, each.to, each.end));
            }
            return text + String.format("; answers %s at %.4f; over %.4f %s, told %.4f", answers, answered, over, ended, told);
        }
    }

    public final Map<Long, Call> all = new ConcurrentHashMap<>();

    public Call ask(long id, byte[] description, double now, double deadline) {
        Call call = new Call(id, description, now, deadline);
        all.put(id, call);
        return call;
    }

    /** How many ended in which way. */
    public Map<String, Integer> counts() {
        Map<String, Integer> counts = new TreeMap<>();
        all.values().forEach(c -> counts.merge(c.withdrawn ? "withdrawn" : c.answers.isEmpty() ? "no answer" : String.valueOf(c.status),
            1, Integer::sum));
        return counts;
    }
}
