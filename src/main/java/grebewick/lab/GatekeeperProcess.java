package grebewick.lab;

import grebewick.lab.measure.ProcessSample;
import java.io.BufferedReader;
import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;

/** A gatekeeper in a process of its own, and its configuration file: both end with {@link #close}. */
public final class GatekeeperProcess implements AutoCloseable {
    /** What starts one where the command line does not say. */
    static final List<String> COMMAND = List.of("java", "-jar", "target/grebewick.jar", "serve");
    private static final int PATIENCE_S = 20;
    private static final int TRY_AGAIN_MS = 20;
    private static final int FIRST_PORT = 12_000;
    private static final int LAST_PORT = 30_000;
    private static final int PORT_TRIES = 100;

    /** In the line that a gatekeeper logs once it takes calls. */
    private static final String SERVES = " serves at ";

    /** Those that run. A tool that breaks off must leave none behind: it would connect to whoever has its servers' ports next. */
    private static final Set<Process> RUNNING = ConcurrentHashMap.newKeySet();

    static {
        Runtime.getRuntime().addShutdownHook(new Thread(GatekeeperProcess::endAll, "ends gatekeepers"));
    }

    private final Process process;
    private final Path file;
    private final int port;
    private final long startedNs;
    /** Where it takes calls, as its log says; 0: it has not said so. */
    private volatile int servedPort;
    /** {@code System.nanoTime()} of that line, where the log is read. */
    private final CompletableFuture<Long> servesNs = new CompletableFuture<>();

    private GatekeeperProcess(ProcessBuilder builder, GatekeeperConfig config) throws IOException {
        file = Files.createTempFile("gatekeeper", ".json");
        Files.writeString(file, config.json());
        builder.environment().put("RELAY_CONFIG", file.toString());
        port = config.port();
        startedNs = System.nanoTime();
        process = builder.start();
        RUNNING.add(process);
        process.onExit().thenRun(() -> RUNNING.remove(process));
    }

    private static void endAll() {
        RUNNING.forEach(Process::destroyForcibly);
    }

    /** The command wanted, or the usual one where none is. */
    public static List<String> commandOr(List<String> wanted) {
        return wanted.isEmpty() ? COMMAND : wanted;
    }

    /** Starts one without waiting for it; its log is read for the line that it serves, and no further. */
    static GatekeeperProcess launch(List<String> command, GatekeeperConfig config) throws IOException {
        return launch(command, config, line -> {});
    }

    /** Starts one without waiting for it; {@code lines} takes its log, on a thread of its own. */
    public static GatekeeperProcess launch(List<String> command, GatekeeperConfig config, Consumer<String> lines)
        throws IOException {
        GatekeeperProcess launched = new GatekeeperProcess(new ProcessBuilder(command).redirectErrorStream(true), config);
        Thread reader = new Thread(() -> launched.readLog(lines), "gatekeeper's log");
        reader.setDaemon(true);
        reader.start();
        return launched;
    }

    private void readLog(Consumer<String> lines) {
        try (BufferedReader log = process.inputReader()) {
            for (String line = log.readLine(); line != null; line = log.readLine()) {
                lines.accept(line);
                if (line.contains(SERVES)) {
                    servedPort = Integer.parseInt(line.substring(line.lastIndexOf(':') + 1));
                    servesNs.complete(System.nanoTime());
                }
            }
            servesNs.completeExceptionally(new IOException("the gatekeeper has ended"));
        } catch (IOException e) {
            servesNs.completeExceptionally(e);
        }
    }

    /** ms from its start until it served; empty: it does not by this {@code System.nanoTime()}, or has ended. */
    public OptionalDouble awaitServing(long endNs) throws InterruptedException {
        try {
            long atNs = servesNs.get(Math.max(0, endNs - System.nanoTime()), TimeUnit.NANOSECONDS);
            return OptionalDouble.of((atNs - startedNs) / 1e6);
        } catch (ExecutionException | TimeoutException e) {
            return OptionalDouble.empty();
        }
    }

    /** Where it takes calls, once it serves. */
    public int servedPort() {
        return servedPort;
    }

    /** Writes its file anew and has it read again (SIGHUP). */
    public void reload(GatekeeperConfig config) throws IOException {
        Files.writeString(file, config.json());
        signal("HUP");
    }

    /** Sends a signal by its name, such as {@code HUP}, without waiting for its effect. */
    public void signal(String name) throws IOException {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).redirectErrorStream(true).start();
    }

    /** Tells it to end, without waiting. */
    public void terminate() {
        process.destroy();
    }

    /** Whether it still runs. */
    public boolean isAlive() {
        return process.isAlive();
    }

    /** Waits for its end; false: it still runs. */
    public boolean awaitExit(int seconds) throws InterruptedException {
        return process.waitFor(seconds, TimeUnit.SECONDS);
    }

    /** Waits for its end until a {@code System.nanoTime()}; false: it still runs. */
    public boolean awaitExitUntil(long endNs) throws InterruptedException {
        return process.waitFor(Math.max(0, endNs - System.nanoTime()), TimeUnit.NANOSECONDS);
    }

    /** Ends it at once, as SIGKILL does. */
    public void kill() {
        process.destroyForcibly();
    }

    /** Starts one, and returns once it takes connections; what it logs goes to this process's own streams. */
    static GatekeeperProcess start(List<String> command, GatekeeperConfig config) throws IOException, InterruptedException {
        GatekeeperProcess started = new GatekeeperProcess(new ProcessBuilder(command)
            .redirectOutput(ProcessBuilder.Redirect.INHERIT).redirectError(ProcessBuilder.Redirect.INHERIT), config);
        try {
            started.awaitListening();
        } catch (IOException e) {
            started.close();
            throw e;
        }
        return started;
    }

    /** A port of loopback that is free now, and below those that the system gives to connections by itself. */
    public static int freePort() throws IOException {
        for (int i = 0; i < PORT_TRIES; i++) {
            int port = ThreadLocalRandom.current().nextInt(FIRST_PORT, LAST_PORT);
            try (ServerSocket probe = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                return probe.getLocalPort();
            } catch (BindException e) {
                // It is taken.
            }
        }
        throw new IOException("no free port from " + FIRST_PORT + " to " + LAST_PORT);
    }

    private void awaitListening() throws IOException, InterruptedException {
        long endNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(PATIENCE_S);
        while (!listens()) {
            if (System.nanoTime() > endNs || !process.isAlive()) {
                throw new IOException("the gatekeeper does not listen at port " + port);
            }
            Thread.sleep(TRY_AGAIN_MS);
        }
    }

    private boolean listens() {
        try (Socket probe = new Socket()) {
            probe.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    /** What it has used so far. */
    ProcessSample sample() throws IOException {
        return ProcessSample.of(process.pid());
    }

    /** Ends it, by force where it does not end by itself in time. */
    @Override
    public void close() throws IOException {
        process.destroy();
        try {
            if (!process.waitFor(PATIENCE_S, TimeUnit.SECONDS)) {
                process.destroyForcibly();
            }
        } catch (InterruptedException e) {
            process.destroyForcibly();
            Thread.currentThread().interrupt();
        }
        Files.deleteIfExists(file);
    }
}
