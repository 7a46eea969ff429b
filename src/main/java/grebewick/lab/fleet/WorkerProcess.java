package grebewick.lab.fleet;

import grebewick.lab.JavaCommand;
import java.io.BufferedReader;
import java.io.BufferedWriter;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStreamWriter;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** The tool's side of a {@link HollowFleetWorker}. */
final class WorkerProcess implements AutoCloseable {
    private final Process process;
    private final BufferedWriter commands;
    private final BufferedReader answers;

    /** Starts it with these options of its JVM, and returns once it takes commands. */
    WorkerProcess(List<String> options, List<String> arguments) throws IOException {
        process = new ProcessBuilder(JavaCommand.of(options, HollowFleetWorker.class.getName(), arguments))
            .redirectError(ProcessBuilder.Redirect.INHERIT).start();
        commands = new BufferedWriter(new OutputStreamWriter(process.getOutputStream(), StandardCharsets.US_ASCII));
        answers = new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.US_ASCII));
        read();
    }

    /** Sends a command, without waiting for its answer. */
    void send(String command) throws IOException {
        commands.write(command);
        commands.newLine();
        commands.flush();
    }

    /** The lines of its answer. */
    List<String> read() throws IOException {
        List<String> lines = new ArrayList<>();
        for (String line = answers.readLine(); !WorkerReport.END.equals(line); line = answers.readLine()) {
            if (line == null) {
                throw new IOException("a worker has ended before its answer");
            }
            lines.add(line);
        }
        return lines;
    }

    /** Ends it. */
    @Override
    public void close() throws IOException {
        commands.close();
        try {
            if (!process.waitFor(10, TimeUnit.SECONDS)) {
                process.destroyForcibly();
            }
        } catch (InterruptedException e) {
            process.destroyForcibly();
            Thread.currentThread().interrupt();
        }
    }
}
