package grebewick;

import grebewick.benchlink.Adapter;
import grebewick.config.ConfigurationException;
import grebewick.config.NodeConfig;
import grebewick.diameter.DiameterConfig;
import grebewick.discovery.replica.ReplicaProcess;
import grebewick.discovery.transfer.DiscoveryConfig;
import grebewick.lifecycle.ClassArchiveTraining;
import grebewick.lifecycle.ConfigReload;
import grebewick.lifecycle.SignalHandler;
import java.util.Map;

/**
 * The command line: {@code serve} runs a gatekeeper, {@code benchlink} the simulator's adapter, {@code rehearse} a few calls,
 * {@code replica FILE} a name server for lists of servers.
 */
public final class Main {
    private Main() {}

    /** Runs the command; exits with 2 on a bad command line or configuration. */
    public static void main(String[] args) throws Exception {
        String command = args.length == 1 ? args[0] : "";
        if (args.length == 2 && args[0].equals("replica")) {
            replica(args[1]);
            return;
        }
        switch (command) {
            case "benchlink" -> System.exit(Adapter.run());
            case "serve" -> {
                ConfigReload reload = new ConfigReload();
                SignalHandler.on("HUP", reload::asked);
                try {
                    Map<String, String> env = System.getenv();
                    String diameter = env.get("RELAY_DIAMETER");
                    String discovery = env.get("RELAY_DISCOVERY");
                    boolean isPlatformOff = diameter != null && !env.containsKey("RELAY_CONFIG");
                    if (discovery != null && isPlatformOff) {
                        throw new ConfigurationException("RELAY_DISCOVERY: there is no RELAY_CONFIG whose servers it could list");
                    }
                    // With a Diameter file alone there is no platform, and so no configuration of one.
                    Daemon.start(isPlatformOff ? null : NodeConfig.load(env),
                        discovery == null ? null : DiscoveryConfig.load(discovery),
                        diameter == null ? null : DiameterConfig.load(diameter), env, reload);
                } catch (ConfigurationException e) {
                    System.err.println("grebewick: " + e.getMessage());
                    System.exit(2);
                }
            }
            case "rehearse" -> {
                System.err.println("rehearsed: " + ClassArchiveTraining.run(
                    config -> Daemon.start(config, null, null, Map.of(), new ConfigReload())));
                System.exit(0);
            }
            default -> {
                System.err.println("usage: java -jar grebewick.jar serve | benchlink | rehearse | replica FILE");
                System.exit(2);
            }
        }
    }

    /** Runs a replica until SIGTERM. */
    private static void replica(String file) {
        ConfigReload reload = new ConfigReload();
        SignalHandler.on("HUP", reload::asked);
        try {
            ReplicaProcess process = ReplicaProcess.start(file, System.err::println);
            Runtime.getRuntime().addShutdownHook(new Thread(process::close, "sigterm"));
            reload.ready(process::reload);
        } catch (IllegalStateException e) {
            // The signal came first: the process is already ending.
            return;
        } catch (ConfigurationException e) {
            System.err.println("grebewick: " + e.getMessage());
            System.exit(2);
        }
    }
}
