package grebewick.lab;

import grebewick.lab.measure.ProcessSample;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A gatekeeper in a process of its own, and its configuration file: both end with {@link #close}. */
final class GatekeeperProcess implements AutoCloseable {
    /** What starts one where the command line does not say. */
    static final List<String> COMMAND = List.of("java", "-jar", "target/grebewick.jar", "serve");
    private static final int PATIENCE_S = 20;
    private static final int TRY_AGAIN_MS = 20;

    private final Process process;
    private final Path file;
    private final int port;

    private GatekeeperProcess(Process process, Path file, int port) {
        this.process = process;
        this.file = file;
        this.port = port;
    }

    /** Starts one, and returns once it takes connections; what it logs goes to this process's own streams. */
    static GatekeeperProcess start(List<String> command, GatekeeperConfig config) throws IOException, InterruptedException {
        Path file = Files.createTempFile("gatekeeper", ".json");
        Files.writeString(file, config.json());
        ProcessBuilder builder = new ProcessBuilder(command).redirectOutput(ProcessBuilder.Redirect.INHERIT)
            .redirectError(ProcessBuilder.Redirect.INHERIT);
        builder.environment().put("RELAY_CONFIG", file.toString());
        GatekeeperProcess started = new GatekeeperProcess(builder.start(), file, config.port());
        try {
            started.awaitListening();
        } catch (IOException e) {
            started.close();
            throw e;
        }
        return started;
    }

    /** A port of loopback that is free now. */
    static int freePort() throws IOException {
        try (ServerSocket probe = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return probe.getLocalPort();
        }
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
