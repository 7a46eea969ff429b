package grebewick;

import grebewick.config.NodeConfig;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/**
 * A gatekeeper that serves one test and one call of its own on loopback, and ends. Run once after the build with
 * {@code -XX:ArchiveClassesAtExit}, it leaves the archive from which later starts load their classes: a restarting
 * gatekeeper takes no calls, and half of its time to start went into loading and verifying classes.
 */
final class Rehearsal {
    private static final int PATIENCE_MS = 10_000;
    private static final String CONFIG = """
        {"listen":"127.0.0.1:%d","names":"127.0.0.1:%d","known":{"index":1,"updates":[{"snapshot":true,"endpoints":[
          {"name":"s-1","address":"127.0.0.1:%d","zone":"a","type":"a","group":0,"status":"up","weight":1,"since_ms":0}]}]},
         "settings":{"FamilyInfo":{"MeanHold":[1000000],"PoolsByClass":[[0]],"Resend":100000,"Shape":"pools"},
          "Bounds":{"AttemptsCap":4,"ConnectTimeout":500000,"MaxOpen":100},"ReplicasOfMe":1,
          "Grades":[{"Name":"a","GoalTime":200000,"HardLimit":1000000}],
          "Report":{"Fields":["free","size","can_take"],"How":"inline"},
          "Rules":{"Cold":1000000,"ColdFrom":0.5,"DrainGrace":2000000,"Fall":2000000,"OverloadFactor":3}}}""";
    private static final String TEST = "OPTIONS sip:ping@net SIP/2.0\r\nCall-ID: 0000000000000001\r\nCSeq: 1 OPTIONS\r\n"
        + "Content-Length: 0\r\n\r\n";
    private static final String CALL = "INVITE sip:1@net SIP/2.0\r\nCall-ID: 0000000000000002\r\nCSeq: 1 INVITE\r\nX-Tier: a\r\n"
        + "X-Deadline: 500\r\nX-Attrs: dest:0;width:1;via:-1\r\nContent-Length: 1\r\n\r\nx";

    private Rehearsal() { }

    /** Plays it; gives what the call was answered. */
    static String run() throws IOException {
        int port = freePort();
        int nobody = freePort();
        Daemon.start(NodeConfig.parse(CONFIG.formatted(port, nobody, nobody), Map.of()), null, Map.of());
        try (Socket client = connect(port)) {
            client.setSoTimeout(PATIENCE_MS);
            ask(client, TEST);
            return ask(client, CALL);
        }
    }

    private static int freePort() throws IOException {
        try (ServerSocket probe = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return probe.getLocalPort();
        }
    }

    /** The daemon starts beside this thread: it listens soon. */
    private static Socket connect(int port) throws IOException {
        long endNs = System.nanoTime() + PATIENCE_MS * 1_000_000L;
        while (true) {
            try {
                return new Socket(InetAddress.getLoopbackAddress(), port);
            } catch (IOException e) {
                if (System.nanoTime() > endNs) {
                    throw e;
                }
                Thread.yield();
            }
        }
    }

    /** The first line of the answer; it comes without a body, and so ends with its headers. */
    private static String ask(Socket client, String message) throws IOException {
        client.getOutputStream().write(message.getBytes(StandardCharsets.UTF_8));
        InputStream in = client.getInputStream();
        StringBuilder answer = new StringBuilder();
        while (answer.indexOf("\r\n\r\n") < 0) {
            int c = in.read();
            if (c < 0) {
                throw new IOException("closed after " + answer);
            }
            answer.append((char) c);
        }
        return answer.substring(0, answer.indexOf("\r\n"));
    }
}
