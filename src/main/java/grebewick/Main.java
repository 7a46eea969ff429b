package grebewick;

import grebewick.benchlink.Adapter;
import grebewick.config.BadConfig;
import grebewick.config.NodeConfig;
import java.io.IOException;

/** The command line: {@code serve} runs a gatekeeper, {@code benchlink} the simulator's adapter. */
public final class Main {
    private Main() { }

    /** Runs the command; exits with 2 on a bad command line or configuration. */
    public static void main(String[] args) throws IOException {
        String command = args.length == 1 ? args[0] : "";
        switch (command) {
            case "benchlink" -> System.exit(Adapter.run());
            case "serve" -> {
                try {
                    Daemon.start(NodeConfig.load(System.getenv()));
                } catch (BadConfig e) {
                    System.err.println("grebewick: " + e.getMessage());
                    System.exit(2);
                }
            }
            default -> {
                System.err.println("usage: java -jar grebewick.jar serve | benchlink");
                System.exit(2);
            }
        }
    }
}
