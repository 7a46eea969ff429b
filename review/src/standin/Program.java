package standin;

import java.io.BufferedReader;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** One gatekeeper, started with the `run` command of deploy/balancer.toml from the root of the repository. */
public final class Program {
    private static final List<Program> STARTED = new ArrayList<>();
    public final Process process;
    private final List<String> log = new ArrayList<>();

    static {
        Runtime.getRuntime().addShutdownHook(new Thread(() -> STARTED.forEach(p -> p.process.destroyForcibly())));
    }

    private Program(Process process) {
        this.process = process;
    }

    public static Program start(Map<String, String> variables, Path temporary, Record record, String name) throws IOException {
        Path root = Path.of("").toAbsolutePath();
        String run = null;
        for (String line : Files.readAllLines(root.resolve("deploy/balancer.toml"))) {
            if (line.startsWith("run = \"")) {
                run = line.substring(7, line.indexOf('"', 7));
            }
        }
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run).directory(root.toFile()).redirectErrorStream(true);
        builder.environment().keySet().removeIf(key -> key.startsWith("RELAY_"));
        builder.environment().putAll(variables);
        builder.environment().put("TMPDIR", temporary.toString());
        Program program = new Program(builder.start());
        STARTED.add(program);
        record.line(name + " is started, process " + program.process.pid());
        Thread reader = new Thread(() -> {
            try (BufferedReader in = program.process.inputReader()) {
                for (String line = in.readLine(); line != null; line = in.readLine()) {
                    record.line(name + " logs: " + line);
                    synchronized (program.log) {
                        program.log.add(line);
                        program.log.notifyAll();
                    }
                }
            } catch (IOException e) {
                record.line(name + ": its log ends: " + e);
            }
            synchronized (program.log) {
                program.log.notifyAll();
            }
        });
        reader.setDaemon(true);
        reader.start();
        return program;
    }

    /** Waits for a line of its log. */
    public boolean logs(String part, long withinMs) throws InterruptedException {
        long endNs = System.nanoTime() + withinMs * 1_000_000;
        synchronized (log) {
            while (log.stream().noneMatch(line -> line.contains(part))) {
                long leftMs = (endNs - System.nanoTime()) / 1_000_000;
                if (leftMs <= 0) {
                    return false;
                }
                log.wait(Math.min(leftMs, 100));
            }
        }
        return true;
    }

    /** Sends a signal by its name. */
    public void signal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
    }

    public void end() throws InterruptedException {
        process.destroyForcibly();
        process.waitFor(5, TimeUnit.SECONDS);
    }

    public static void endAll() throws InterruptedException {
        for (Program program : STARTED) {
            program.end();
        }
    }

    /** A loopback port that is free now. */
    public static int freePort() throws IOException {
        try (ServerSocket probe = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return probe.getLocalPort();
        }
    }

    public static void delete(Path folder) throws IOException {
        try (var files = Files.walk(folder)) {
            for (Path each : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(each);
            }
        }
    }
}
