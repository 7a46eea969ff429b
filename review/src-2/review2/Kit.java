package review2;

import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** What all cases share: the record, free ports, the gatekeeper's process, and the end of all that was started. */
final class Kit implements AutoCloseable {
    /** One case; gives the breaches of its rule. */
    interface Case {
        List<String> run(Kit kit, boolean trouble) throws Exception;
    }

    final Path folder;
    private final PrintWriter record;
    private final long zeroMs = System.currentTimeMillis();
    private final List<Process> processes = new ArrayList<>();
    private Path log;

    private Kit(Path recordFolder) throws IOException {
        record = new PrintWriter(Files.newBufferedWriter(recordFolder.resolve("record.txt")));
        folder = Files.createTempDirectory("review-2-");
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    /** Runs one case and ends the program: 1 where the rule was broken, 0 where it held, 2 where the case could not run. */
    static void run(String[] args, Case one) {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int code = 2;
        try (Kit kit = new Kit(Path.of(args[0]))) {
            kit.say("trouble " + (trouble ? "on" : "off"));
            try {
                List<String> breaches = one.run(kit, trouble);
                breaches.forEach(b -> kit.say("BREACH " + b));
                kit.say("breaches " + breaches.size());
                System.out.println((breaches.isEmpty() ? "the rule held" : "the rule was broken, " + breaches.size() + " times; first: "
                    + breaches.get(0)));
                code = breaches.isEmpty() ? 0 : 1;
            } catch (Exception | AssertionError e) {
                kit.say("could not run: " + e);
                e.printStackTrace();
            }
            kit.copyLog();
        } catch (IOException e) {
            e.printStackTrace();
        }
        Runtime.getRuntime().halt(code);
    }

    /** A line of the record, with the time in ms since the start. */
    synchronized void say(String line) {
        record.printf("%7d %s%n", nowMs(), line);
    }

    long nowMs() {
        return System.currentTimeMillis() - zeroMs;
    }

    static void need(boolean holds, String what) {
        if (!holds) {
            throw new AssertionError(what);
        }
    }

    static int freePort() throws IOException {
        // Below the ports that the system gives to connections by itself.
        for (int i = 0; i < 200; i++) {
            int port = 12_000 + (int) (Math.random() * 18_000);
            try (ServerSocket probe = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
                return probe.getLocalPort();
            } catch (IOException e) {
                // It is taken.
            }
        }
        throw new IOException("no free port");
    }

    /** Starts the command {@code run} of the deploy file, from the root. */
    Process gatekeeper(Map<String, String> env) throws IOException {
        String deploy = Files.readString(Path.of("deploy/balancer.toml"));
        Matcher run = Pattern.compile("(?m)^run = \"((?:[^\"\\\\]|\\\\.)*)\"").matcher(deploy);
        need(run.find(), "no run in the deploy file");
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run.group(1).replace("\\\"", "\""));
        builder.environment().keySet().removeIf(name -> name.startsWith("RELAY_"));
        builder.environment().putAll(env);
        builder.environment().put("TMPDIR", folder.toString());
        log = folder.resolve("gatekeeper.log");
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        Process process = builder.start();
        synchronized (processes) {
            processes.add(process);
        }
        return process;
    }

    static void signal(Process process, String name) throws Exception {
        need(new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor() == 0, "kill -" + name);
    }

    /** Waits until something listens there. */
    static void awaitPort(int port, long ms) throws Exception {
        long endMs = System.currentTimeMillis() + ms;
        while (true) {
            try (Socket probe = new Socket()) {
                probe.connect(new InetSocketAddress("127.0.0.1", port), 500);
                return;
            } catch (IOException e) {
                need(System.currentTimeMillis() < endMs, "nothing listens");
                Thread.sleep(50);
            }
        }
    }

    private void copyLog() throws IOException {
        if (log != null && Files.exists(log)) {
            List<String> lines = Files.readAllLines(log, StandardCharsets.UTF_8);
            say("the gatekeeper's log, " + lines.size() + " lines:");
            lines.stream().limit(400).forEach(line -> record.println("    " + line));
        }
    }

    @Override
    public void close() {
        synchronized (processes) {
            for (Process process : processes) {
                process.destroyForcibly();
                try {
                    process.waitFor(5, TimeUnit.SECONDS);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
            processes.clear();
        }
        record.flush();
        if (Files.exists(folder)) {
            try (var all = Files.walk(folder)) {
                all.sorted(Comparator.reverseOrder()).forEach(p -> p.toFile().delete());
            } catch (IOException e) {
                // The system's temporary folder is tidied by its owner.
            }
        }
    }
}
