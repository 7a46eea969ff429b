package grebewick.lab;

import java.util.ArrayList;
import java.util.List;

/** Command lines of further Java processes with this one's program and class path. */
public final class JavaCommand {
    private JavaCommand() {}

    /** Starts a main class with these options of the JVM. */
    public static List<String> of(List<String> options, String mainClass, List<String> arguments) {
        List<String> command = new ArrayList<>();
        command.add(ProcessHandle.current().info().command().orElse("java"));
        command.addAll(options);
        command.addAll(List.of("-cp", System.getProperty("java.class.path"), mainClass));
        command.addAll(arguments);
        return command;
    }
}
