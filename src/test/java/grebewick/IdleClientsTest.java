package grebewick;

import static org.assertj.core.api.Assertions.assertThat;

import grebewick.lab.StandInNames;
import grebewick.play.Scenario;
import grebewick.play.Sites;
import grebewick.sip.SipDialect;
import grebewick.trunk.TrunkDialect;
import io.vertx.core.datagram.DatagramSocket;
import io.vertx.core.net.SocketAddress;
import java.io.BufferedReader;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * A process with few descriptors, more idle clients than it has of these, and a name service that does not answer
 * meanwhile. The limit is the process's own, as {@code ulimit} sets it.
 */
@Timeout(100)
class IdleClientsTest {
    private static final int DESCRIPTORS = 256;
    /** ms. After which a client that is not answered fails the test. */
    private static final int PATIENCE_MS = 20_000;
    private static final int IDLE = 2 * DESCRIPTORS;

    @TempDir
    private Path folder;
    private final Scenario s = new Scenario();
    private final List<Socket> idle = new ArrayList<>();
    private final List<String> lines = new ArrayList<>();
    private Process process;
    private boolean answers;
    private SocketAddress asker;

    @AfterEach
    void end() throws IOException {
        process.destroyForcibly();
        for (Socket each : idle) {
            each.close();
        }
        s.close();
    }

    /** The name service's address; what comes there is passed on to {@code names} once it {@link #answers}. */
    private int relay(int names) {
        DatagramSocket behind = s.on(() -> s.vertx.createDatagramSocket());
        DatagramSocket front = s.on(() -> s.vertx.createDatagramSocket());
        front.handler(packet -> {
            asker = packet.sender();
            if (answers) {
                behind.send(packet.data(), names, "127.0.0.1");
            }
        });
        behind.handler(packet -> front.send(packet.data(), asker.port(), asker.hostAddress()));
        s.await(() -> behind.listen(0, "127.0.0.1"));
        return s.await(() -> front.listen(0, "127.0.0.1")).localAddress().port();
    }

    /** Starts the process; gives its port. */
    private int start(int names, int server) throws IOException {
        Path config = folder.resolve("config.json");
        Files.writeString(config, """
            {"name":"n0","listen":"127.0.0.1:0","seed":"1","names":"127.0.0.1:%d","limits":{"sockets":%d},"settings":%s,
             "known":{"index":1,"updates":[{"index":1,"snapshot":true,"endpoints":[{"name":"s1","address":"127.0.0.1:%d",
              "zone":"z0","type":"m","group":0,"status":"up","weight":1,"since_ms":0}]}]}}""".formatted(names, DESCRIPTORS,
            Sites.SETTINGS, server));
        ProcessBuilder builder = new ProcessBuilder("sh", "-c",
            "ulimit -n " + DESCRIPTORS + " && exec \"$JAVA\" -XX:+UseSerialGC -XX:TieredStopAtLevel=1 grebewick.Main serve")
            .redirectErrorStream(true);
        builder.environment().put("JAVA", Path.of(System.getProperty("java.home"), "bin", "java").toString());
        builder.environment().put("CLASSPATH", System.getProperty("java.class.path"));
        builder.environment().put("RELAY_CONFIG", config.toString());
        process = builder.start();
        BufferedReader log = process.inputReader();
        String line = log.readLine();
        while (line != null && !line.contains("n0 serves at ")) {
            lines.add(line);
            line = log.readLine();
        }
        assertThat(line).as("it serves; said before: " + lines).isNotNull();
        Thread rest = new Thread(() -> log.lines().forEach(lines::add));
        rest.setDaemon(true);
        rest.start();
        return Integer.parseInt(line.replaceAll(".*:", ""));
    }

    /** Connections of clients that have passed a test and stay, so that none is a stranger's. */
    private void fill(int port) throws IOException {
        byte[] test = new SipDialect().encode("OPTIONS 77").getBytes();
        for (int i = 0; i < IDLE; i++) {
            Socket each = new Socket(InetAddress.getByName("127.0.0.1"), port);
            each.setSoTimeout(PATIENCE_MS);
            idle.add(each);
            each.getOutputStream().write(test);
        }
        // The last one is answered: all before it have been accepted, as far as they are to be.
        assertThat(idle.get(IDLE - 1).getInputStream().read()).isNotNegative();
    }

    @Test
    void theNameServiceIsHeardServersAreReachedAndCallsAreTaken() throws Exception {
        int first = s.server("s1", new TrunkDialect());
        int second = s.server("s2", new TrunkDialect());
        StandInNames names = s.on(() -> new StandInNames(s.vertx));
        int port = start(relay(s.await(names::listen)), first);
        s.until(() -> asker != null);
        fill(port);
        s.on(() -> {
            names.list(List.of(new StandInNames.Host("s1", "z0", first, 0, false, 0),
                new StandInNames.Host("s2", "z1", second, 1, false, 0)));
            answers = true;
            return null;
        });
        s.client("c", new SipDialect(), port);
        s.play("""
            s2 reached 1
            c > INVITE 01 attrs=dest:1;width:1;via:-1
            s2 < set-up 01*
            s2 > answer 01 desc
            c < 200 INVITE 01 desc
            c > BYE 01
            c < 200 BYE 01
            s2 < release 01 16""");
        assertThat(lines).noneMatch(line -> line.contains("xception") || line.contains("Too many open files"));
    }
}
