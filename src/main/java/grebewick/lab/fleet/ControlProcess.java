package grebewick.lab.fleet;

import grebewick.Main;
import grebewick.config.Address;
import grebewick.lab.JavaCommand;
import grebewick.lab.measure.ProcessSample;
import java.io.BufferedReader;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One control machine: the product's own command {@code replica} in a process, with its log read. */
final class ControlProcess {
    private static final Pattern SERVES = Pattern.compile("replica serves \\d+ of \\d+ zones at (\\S+)");
    /** Lines of a kind that says nothing new after a few of them. */
    private static final String LOOP_BLOCKED = "has been blocked for";
    private static final int LOOP_BLOCKED_PRINTED = 3;
    private static final List<String> COMPLAINTS = List.of("grebewick: ", "uncaught: ", "replica: zones not read anew");
    private static final int PATIENCE_S = 30;

    private final Process process;
    private final CompletableFuture<Address> address = new CompletableFuture<>();
    private volatile ReplicaLogLine counters = ReplicaLogLine.NONE;
    private int loopBlocked;
    /** ns of processor time until it was killed; -1: it runs. */
    private long finalCpuNs = -1;

    /** Starts it, without waiting for it. */
    ControlProcess(List<String> options, Path configuration) throws IOException {
        process = new ProcessBuilder(JavaCommand.of(options, Main.class.getName(), List.of("replica", configuration.toString())))
            .redirectErrorStream(true).start();
        process.getOutputStream().close();
        Runtime.getRuntime().addShutdownHook(new Thread(this::end, "end of a control machine"));
        Thread reader = new Thread(this::readLog, "log of " + configuration.getFileName());
        reader.setDaemon(true);
        reader.start();
    }

    private void readLog() {
        try (BufferedReader log = process.inputReader()) {
            for (String line = log.readLine(); line != null; line = log.readLine()) {
                take(line);
            }
        } catch (IOException e) {
            // The process was killed while a line was read.
            address.completeExceptionally(e);
        }
        address.completeExceptionally(new IOException("a control machine has ended before it served"));
    }

    private void take(String line) {
        Matcher serves = SERVES.matcher(line);
        if (serves.matches()) {
            address.complete(Address.parse(serves.group(1)));
            return;
        }
        ReplicaLogLine.parse(line).ifPresentOrElse(read -> counters = read, () -> complain(line));
    }

    private void complain(String line) {
        boolean isBlocked = line.contains(LOOP_BLOCKED) && ++loopBlocked <= LOOP_BLOCKED_PRINTED;
        if (isBlocked || COMPLAINTS.stream().anyMatch(line::startsWith)) {
            System.err.println("control machine " + process.pid() + ": " + line);
        }
    }

    /** Waits until it serves. */
    Address awaitAddress() throws IOException, InterruptedException {
        try {
            return address.get(PATIENCE_S, TimeUnit.SECONDS);
        } catch (ExecutionException | TimeoutException e) {
            throw new IOException("a control machine does not serve", e);
        }
    }

    /** Has it read its files anew. */
    void reload() throws IOException, InterruptedException {
        if (new ProcessBuilder("kill", "-HUP", Long.toString(process.pid())).start().waitFor() != 0) {
            throw new IOException("a control machine cannot be told to read its files anew");
        }
    }

    /** As it last logged them. */
    ReplicaLogLine counters() {
        return counters;
    }

    /** Processor time so far, ns. */
    long cpuNs() throws IOException {
        return finalCpuNs < 0 ? ProcessSample.of(process.pid()).cpuNs() : finalCpuNs;
    }

    /** Memory in RAM, KB; 0: it was killed. */
    long residentKb() throws IOException {
        return finalCpuNs < 0 ? ProcessSample.of(process.pid()).residentKb() : 0;
    }

    /** Ends it without a word, and waits until it has ended. */
    void kill() throws IOException, InterruptedException {
        finalCpuNs = cpuNs();
        end();
        awaitEnd();
    }

    /** Ends it without a word. */
    void end() {
        process.destroyForcibly();
    }

    /** Waits until it has ended. */
    void awaitEnd() throws IOException, InterruptedException {
        if (!process.waitFor(PATIENCE_S, TimeUnit.SECONDS)) {
            throw new IOException("a control machine does not end");
        }
    }
}
