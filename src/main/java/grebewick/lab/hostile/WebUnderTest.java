package grebewick.lab.hostile;

import grebewick.lab.GatekeeperProcess;
import grebewick.lab.JavaCommand;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** The Vert.x-Web middleware, in a process with one route behind it. What reaches the route is written to its log. */
final class WebUnderTest extends HttpUnderTest {
    private int port;
    private Path log;

    @Override
    public Map<String, String> open(Path folder) throws Exception {
        port = GatekeeperProcess.freePort();
        log = folder.resolve("requests.log");
        return Map.of();
    }

    @Override
    public List<String> command(List<String> serve) {
        return JavaCommand.of(List.of("-XX:+UseSerialGC", "-Xmx64m", "-XX:MaxDirectMemorySize=24m"),
            AdmittedRoute.class.getName(),
            List.of(Integer.toString(port), log.toString()));
    }

    @Override
    public int port() {
        return port;
    }

    @Override
    String path(long number) {
        return "/recipes/" + number;
    }

    @Override
    public Map<Long, Integer> reached() {
        Map<Long, Integer> reached = new ConcurrentHashMap<>();
        try {
            Files.readAllLines(log).forEach(line -> reached.merge(Long.parseLong(line), 1, Integer::sum));
        } catch (java.io.IOException e) {
            // Nothing has been logged.
        }
        return reached;
    }
}
