package grebewick.lab;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.LongFunction;
import java.util.stream.Collectors;
import java.util.stream.LongStream;

/**
 * Drives one gatekeeper process with open-loop calls, cuts all standing calls at once, and says what its event loop
 * cost and how soon each end was told. Run as
 * {@code java -cp target/grebewick.jar grebewick.lab.Rush rate=50 seconds=20 hold=700 cut=10 -- java ... serve}. With
 * {@code servers=1024 peers=1024 sockets=256} it says what a large fleet costs one gatekeeper.
 */
public final class Rush {
    private static final String CONFIG = """
        {"name":"n0","listen":"127.0.0.1:%d","names":"127.0.0.1:%d",
         "known":{"index":1,"updates":[{"snapshot":true,"endpoints":[%s]}]},
         "limits":{"sockets":%d},"peer_listen":"127.0.0.1:0","peers":[%s],
         "settings":{"FamilyInfo":{"MeanHold":[1000000],"PoolsByClass":[[%s]],"Resend":400000,"Release":500000,"Shape":"pools"},
          "Bounds":{"AttemptsCap":4,"ConnectTimeout":500000,"MaxOpen":20000,"Cancel":true,"Probes":true,"RetryAfter":true},
          "ReplicasOfMe":%d,
          "Grades":[{"Name":"a","GoalTime":400000,"HardLimit":3000000,"Effect":"retryable","Worth":1.0,"LateValue":0.1}],
          "Report":{"Fields":["free","size","can_take","queue"],"How":"inline"},"Period":5000,
          "Rules":{"Cold":5000000,"ColdFrom":0.5,"DrainGrace":2000000,"Fall":2000000,"OverloadFactor":3}}}""";

    /** Stand-in processes; with more servers than that, several share one. */
    private static final int MOST_PROCESSES = 8;

    private Rush() {}

    /** Prints a table; exits with 1 where an end was not told within a second. */
    public static void main(String[] args) throws Exception {
        Map<String, Long> set = new HashMap<>(
            Map.of("rate", 50L, "seconds", 20L, "hold", 700L, "cut", 0L, "work", 30L, "lines", 2000L,
                "servers", 2L, "peers", 1L, "sockets", 512L));
        int split = Arrays.asList(args).indexOf("--");
        for (String arg : Arrays.asList(args).subList(0, split < 0 ? args.length : split)) {
            String[] pair = arg.split("=", 2);
            if (pair.length < 2 || !set.containsKey(pair[0])) {
                System.err.println("rush: no such setting: " + arg + "; there are " + set.keySet());
                System.exit(2);
            }
            set.put(pair[0], Long.parseLong(pair[1]));
        }
        List<String> command = split < 0 ? List.of("java", "-jar", "target/grebewick.jar", "serve")
            : Arrays.asList(args).subList(split + 1, args.length);
        System.exit(new Rush().run(set, command) ? 0 : 1);
    }

    private boolean run(Map<String, Long> set, List<String> command) throws Exception {
        Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
        Map<Long, Long> endedUs = new HashMap<>();
        StandInNames names = new StandInNames(vertx);
        int namesPort = await(names.listen());
        List<StandInServer> servers = new ArrayList<>();
        List<StandInNames.Host> hosts = new ArrayList<>();
        StringBuilder known = new StringBuilder();
        int listed = set.get("servers").intValue();
        List<Integer> ports = new ArrayList<>();
        for (int i = 0; i < listed; i++) {
            if (i < MOST_PROCESSES) {
                StandInServer server = new StandInServer(vertx, set.get("work"), set.get("hold"), set.get("lines").intValue(),
                    id -> endedUs.putIfAbsent(id, System.nanoTime() / 1000));
                ports.add(await(server.listen(0)));
                servers.add(server);
            }
            int port = ports.get(i % ports.size());
            hosts.add(new StandInNames.Host("s-" + i, "east", port, i, false, 0));
            known.append(i > 0 ? "," : "").append("{\"name\":\"s-" + i + "\",\"address\":\"127.0.0.1:" + port
                + "\",\"zone\":\"east\",\"type\":\"std\",\"group\":" + i + ",\"status\":\"up\",\"weight\":4,\"since_ms\":0}");
        }
        names.list(hosts);
        int port;
        try (ServerSocket probe = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = probe.getLocalPort();
        }
        Path config = Files.createTempFile("rush", ".json");
        Files.writeString(config, CONFIG.formatted(port, namesPort, known, set.get("sockets"),
            numbers(set.get("peers"), i -> "\"127.1.%d.%d:7946\"".formatted(i / 250, 1 + i % 250)), numbers(listed, i -> "" + i),
            set.get("peers")));
        ProcessBuilder builder = new ProcessBuilder(command).redirectOutput(ProcessBuilder.Redirect.INHERIT)
            .redirectError(ProcessBuilder.Redirect.INHERIT);
        builder.environment().put("RELAY_CONFIG", config.toString());
        Process gatekeeper = builder.start();
        try {
            StandInCallers callers = new StandInCallers(vertx, "a", 3_000);
            connect(callers, port);
            long seconds = set.get("seconds");
            long everyUs = 1_000_000 / set.get("rate");
            long startUs = System.nanoTime() / 1000;
            long total = seconds * set.get("rate");
            CountDownLatch done = new CountDownLatch(1);
            long[] sent = {0};
            vertx.setPeriodic(1, t -> {
                // Open loop: what was meant for a moment past leaves now, and counts from that moment.
                while (sent[0] < total && startUs + sent[0] * everyUs <= System.nanoTime() / 1000) {
                    callers.call((int) (sent[0] % listed), startUs + sent[0] * everyUs);
                    sent[0]++;
                }
                if (sent[0] >= total && callers.standing() == 0) {
                    done.countDown();
                }
            });
            if (set.get("cut") > 0) {
                vertx.setTimer(set.get("cut") * 1000,
                    t -> System.out.println("cut " + servers.stream().mapToInt(StandInServer::cutAll).sum() + " calls at once"));
            }
            long before = 0;
            for (long s = 5; s <= seconds; s += 5) {
                Thread.sleep(Math.max(0, startUs / 1000 + s * 1000 - System.nanoTime() / 1_000_000));
                Map<String, Long> cpu = threads(gatekeeper.pid());
                long loop = cpu.getOrDefault("vert.x-eventloo", 0L);
                System.out.println("second " + s + ": loop " + (loop - before) + " ms in 5 s; all threads " + cpu);
                before = loop;
            }
            done.await(seconds + 10, TimeUnit.SECONDS);
            String[] open = new File("/proc/" + gatekeeper.pid() + "/fd").list();
            System.out.println("memory, kB at most: "
                + Files.readAllLines(Path.of("/proc/" + gatekeeper.pid() + "/status")).stream()
                    .filter(line -> line.startsWith("VmHWM")).map(line -> line.replaceAll("\\D", "")).findFirst()
                    .orElse("not told")
                + "; descriptors: " + (open == null ? "not told" : open.length));
            Thread.sleep(200);
            return report(callers, endedUs, before);
        } finally {
            gatekeeper.destroy();
            gatekeeper.waitFor(10, TimeUnit.SECONDS);
            Files.delete(config);
            vertx.close();
        }
    }

    private static String numbers(long n, LongFunction<String> each) {
        return LongStream.range(0, n).mapToObj(each).collect(Collectors.joining(","));
    }

    private static void connect(StandInCallers callers, int port) throws Exception {
        long endNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
        while (true) {
            try {
                await(callers.connect(port, 4));
                return;
            } catch (Exception e) {
                if (System.nanoTime() > endNs) {
                    throw e;
                }
                Thread.sleep(20);
            }
        }
    }

    private static <T> T await(io.vertx.core.Future<T> future) throws Exception {
        return future.toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
    }

    private static boolean report(StandInCallers callers, Map<Long, Long> endedUs, long loopMs) {
        System.out.println("outcomes " + callers.counts());
        List<Long> answers = new ArrayList<>(callers.answerUs());
        System.out.println("answers, us: " + quantiles(answers));
        List<Long> told = new ArrayList<>();
        int untold = 0;
        for (Map.Entry<Long, Long> e : endedUs.entrySet()) {
            Long heard = callers.overUs().get(e.getKey());
            untold += heard == null || heard - e.getValue() > 1_000_000 ? 1 : 0;
            if (heard == null || heard - e.getValue() > 1_000_000) {
                System.out.println(
                    "call " + e.getKey() + " was told " + (heard == null ? "never" : heard - e.getValue() + " us after its end"));
            }
            told.add(heard == null ? Long.MAX_VALUE : heard - e.getValue());
        }
        System.out.println("ends, us to be told: " + quantiles(told) + "; not within a second: " + untold);
        System.out.println("loop time a call: " + loopMs * 1000 / Math.max(1, answers.size()) + " us");
        return untold == 0;
    }

    private static String quantiles(List<Long> us) {
        if (us.isEmpty()) {
            return "none";
        }
        us.sort(Long::compare);
        return us.size() + " of them, median " + us.get(us.size() / 2) + ", 99 % " + us.get((int) (us.size() * 0.99)) + ", most "
            + us.get(us.size() - 1);
    }

    /** Processor time of a process by the names of its threads, ms; Linux alone tells it. */
    private static Map<String, Long> threads(long pid) throws IOException {
        Map<String, Long> sum = new java.util.TreeMap<>();
        File[] tasks = new File("/proc/" + pid + "/task").listFiles();
        for (File task : tasks == null ? new File[0] : tasks) {
            try {
                String stat = Files.readString(task.toPath().resolve("stat"));
                String name = stat.substring(stat.indexOf('(') + 1, stat.lastIndexOf(')'));
                String[] rest = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
                sum.merge(name, (Long.parseLong(rest[11]) + Long.parseLong(rest[12])) * 10, Long::sum);
            } catch (IOException e) {
                // A thread that has just ended.
                sum.merge("ended", 0L, Long::sum);
            }
        }
        sum.values().removeIf(ms -> ms == 0);
        return sum;
    }
}
