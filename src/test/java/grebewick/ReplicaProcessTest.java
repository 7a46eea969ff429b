package grebewick;

import static org.assertj.core.api.Assertions.assertThat;

import grebewick.discovery.replica.ReplicaProcess;
import grebewick.discovery.transfer.FailureReason;
import grebewick.discovery.transfer.TransferCodec;
import grebewick.discovery.transfer.TransferRequest;
import grebewick.discovery.transfer.TransferResponse;
import grebewick.discovery.transfer.TransferResponse.Failed;
import grebewick.discovery.transfer.TransferResponse.FullCopy;
import grebewick.discovery.transfer.TransferResponse.Incremental;
import grebewick.discovery.transfer.TransferResponse.UpToDate;
import grebewick.discovery.transfer.ZoneVersion;
import grebewick.play.Sites;
import java.io.BufferedReader;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.Timeout.ThreadMode;
import org.junit.jupiter.api.io.TempDir;

/** The command {@code replica} as a process of its own, and the system's signals. */
@Timeout(value = 100, threadMode = ThreadMode.SEPARATE_THREAD)
class ReplicaProcessTest {
    /** Exit status after SIGTERM, as of any process that it ends. */
    private static final int TERMINATED = 143;
    private static final String ZONE = "s1.east.fleet.local.";
    private static final int PATIENCE_MS = 20_000;
    /** Servers that never change, so that a change is less than a whole copy. */
    private static final String MORE = IntStream.range(100, 105).mapToObj(i -> "," + server(i)).collect(Collectors.joining());

    @TempDir
    private Path folder;
    private final List<String> lines = new ArrayList<>();
    private Process process;
    private BufferedReader log;

    private void start(List<String> options, Map<String, String> environment, String... command) throws IOException {
        List<String> words = new ArrayList<>(List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString(),
            "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1"));
        words.addAll(options);
        words.addAll(List.of("-cp", System.getProperty("java.class.path"), "grebewick.Main"));
        words.addAll(List.of(command));
        ProcessBuilder builder = new ProcessBuilder(words).redirectErrorStream(true);
        builder.environment().putAll(environment);
        process = builder.start();
        log = process.inputReader();
    }

    private int startPrimary() throws IOException {
        Files.writeString(folder.resolve("replica.json"),
            "{\"listen\":\"127.0.0.1:0\",\"role\":\"primary\",\"zone_file\":\"zones.json\"}");
        start(List.of(), Map.of(), "replica", folder.resolve("replica.json").toString());
        return Integer.parseInt(line("replica serves ").replaceAll(".*:", ""));
    }

    private void write(String servers) throws IOException {
        Files.writeString(folder.resolve("zones.json"), "{\"zones\":{\"" + ZONE + "\":[" + servers + MORE + "]}}");
    }

    private static String server(int number) {
        return "{\"name\":\"s-" + number + "\",\"address\":\"10.1.0." + number + ":5070\",\"zone\":\"east-1\"}";
    }

    @AfterEach
    void end() {
        process.destroyForcibly();
    }

    private void signal(String name) throws Exception {
        assertThat(new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor()).isZero();
    }

    private String line(String text) throws IOException {
        for (String line = log.readLine(); line != null; line = log.readLine()) {
            lines.add(line);
            if (line.contains(text)) {
                return line;
            }
        }
        throw new AssertionError("no line with '" + text + "' in " + lines);
    }

    private int ended() throws Exception {
        log.lines().forEach(lines::add);
        assertThat(process.waitFor(30, TimeUnit.SECONDS)).isTrue();
        assertThat(lines).noneMatch(line -> line.contains("xception"));
        return process.exitValue();
    }

    private static TransferResponse ask(int port, ZoneVersion held) throws Exception {
        TransferRequest request = new TransferRequest(7, ZONE, Optional.ofNullable(held));
        byte[] query = TransferCodec.encodeQuery(request);
        InetAddress loopback = InetAddress.getByName("127.0.0.1");
        try (DatagramSocket socket = new DatagramSocket(0, loopback)) {
            socket.setSoTimeout(PATIENCE_MS);
            socket.send(new DatagramPacket(query, query.length, loopback, port));
            DatagramPacket answer = new DatagramPacket(new byte[TransferCodec.MAX_DATAGRAM], TransferCodec.MAX_DATAGRAM);
            socket.receive(answer);
            return TransferCodec.decodeDatagram(request, Arrays.copyOf(answer.getData(), answer.getLength()));
        }
    }

    /** A file that is read anew, one that cannot work, the end, and a restart at the version of before. */
    @Test
    void aPrimaryNumbersWhatItsFileSaysOverSignalsAndRestarts() throws Exception {
        write(server(1));
        int port = startPrimary();
        ZoneVersion first = ((FullCopy) ask(port, null)).content().version();
        write(server(1) + "," + server(2));
        signal("HUP");
        line("zones read anew");
        Incremental change = (Incremental) ask(port, first);
        assertThat(change.version()).isEqualTo(first.next());
        write(server(1) + ",{}");
        signal("HUP");
        assertThat(line("zones not read anew")).contains("zones.json: zones." + ZONE + "[1]: field name is missing");
        assertThat(ask(port, change.version())).isEqualTo(new UpToDate(change.version()));
        signal("TERM");
        assertThat(ended()).isEqualTo(TERMINATED);
        assertThat(lines).contains("replica ends");
        write(server(2) + "," + server(1));
        port = startPrimary();
        assertThat(ask(port, change.version())).as("the same servers").isEqualTo(new UpToDate(change.version()));
        write(server(2));
        signal("HUP");
        line("zones read anew");
        assertThat(((Incremental) ask(port, change.version())).version()).isEqualTo(change.version().next());
        signal("TERM");
        assertThat(ended()).isEqualTo(TERMINATED);
    }

    /** A primary, and a secondary of it as a process: it starts empty, follows, and ends. */
    @Test
    void aSecondaryFollowsItsPrimary() throws Exception {
        write(server(1));
        Path file = folder.resolve("replica.json");
        Files.writeString(file, "{\"listen\":\"127.0.0.1:0\",\"role\":\"primary\",\"zone_file\":\"zones.json\"}");
        BlockingQueue<String> primaryLines = new LinkedBlockingQueue<>();
        ReplicaProcess primary = ReplicaProcess.start(file.toString(), primaryLines::add);
        String at = primaryLines.take().replaceAll(".* at ", "");
        Path second = folder.resolve("secondary.json");
        Files.writeString(second, "{\"listen\":\"127.0.0.1:0\",\"role\":\"secondary\",\"poll_ms\":50,\"upstreams\":[\"" + at
            + "\"],\"zones\":[\"" + ZONE + "\"]}");
        start(List.of(), Map.of(), "replica", second.toString());
        int port = Integer.parseInt(line("replica serves ").replaceAll(".*:", ""));
        ZoneVersion first = awaitCopy(port);
        write(server(1) + "," + server(2));
        primary.reload();
        TransferResponse response = ask(port, first);
        while (response.equals(new UpToDate(first))) {
            response = ask(port, first);
        }
        assertThat(((Incremental) response).version()).isEqualTo(first.next());
        signal("TERM");
        assertThat(ended()).isEqualTo(TERMINATED);
        primary.close();
        assertThat(primaryLines).contains("replica ends");
    }

    /** A secondary of two primaries, each with the zones of its region. */
    @Test
    void aSecondaryFollowsThePrimariesOfTwoRegions() throws Exception {
        List<ReplicaProcess> primaries = new ArrayList<>();
        List<String> sources = new ArrayList<>();
        for (String region : List.of("east", "west")) {
            Path zones = folder.resolve(region + "-zones.json");
            Files.writeString(zones, "{\"zones\":{\"s1." + region + ".fleet.local.\":[" + server(1) + "]}}");
            Path file = folder.resolve(region + ".json");
            Files.writeString(file,
                "{\"listen\":\"127.0.0.1:0\",\"role\":\"primary\",\"zone_file\":\"" + zones.getFileName() + "\"}");
            BlockingQueue<String> primaryLines = new LinkedBlockingQueue<>();
            primaries.add(ReplicaProcess.start(file.toString(), primaryLines::add));
            sources.add("{\"upstreams\":[\"" + primaryLines.take().replaceAll(".* at ", "") + "\"],\"zones\":[\"s1." + region
                + ".fleet.local.\"]}");
        }
        Path second = folder.resolve("secondary.json");
        String head = "{\"listen\":\"127.0.0.1:0\",\"role\":\"secondary\",\"poll_ms\":50,\"counters_ms\":20,\"sources\":[";
        Files.writeString(second, head + String.join(",", sources) + "]}");
        start(List.of(), Map.of(), "replica", second.toString());
        line("; 2 of 2 zones held");
        Files.writeString(second, head + sources.get(0) + "]}");
        signal("HUP");
        assertThat(line("zones not read anew")).contains("field sources cannot change its length without a restart");
        signal("TERM");
        assertThat(ended()).isEqualTo(TERMINATED);
        primaries.forEach(ReplicaProcess::close);
    }

    private static ZoneVersion awaitCopy(int port) throws Exception {
        TransferResponse response = ask(port, null);
        while (!(response instanceof FullCopy)) {
            assertThat(response).isEqualTo(new Failed(FailureReason.SERVFAIL));
            response = ask(port, null);
        }
        return ((FullCopy) response).content().version();
    }

    @Test
    void whatCannotWorkEndsItWithOneLine() throws Exception {
        write("{}");
        Files.writeString(folder.resolve("replica.json"),
            "{\"listen\":\"127.0.0.1:0\",\"role\":\"primary\",\"zone_file\":\"zones.json\"}");
        start(List.of(), Map.of(), "replica", folder.resolve("replica.json").toString());
        assertThat(ended()).isEqualTo(2);
        assertThat(lines).hasSize(1);
        assertThat(lines.get(0)).endsWith("zones.json: zones." + ZONE + "[0]: field name is missing");
        assertThat(folder.resolve("zones.json.marks")).doesNotExist();
    }

    @Test
    void anAddressInUseEndsItWithOneLine() throws Exception {
        write(server(1));
        try (DatagramSocket other = new DatagramSocket(0, InetAddress.getByName("127.0.0.1"))) {
            Files.writeString(folder.resolve("replica.json"),
                "{\"listen\":\"127.0.0.1:" + other.getLocalPort() + "\",\"role\":\"primary\",\"zone_file\":\"zones.json\"}");
            start(List.of(), Map.of(), "replica", folder.resolve("replica.json").toString());
            assertThat(process.waitFor(30, TimeUnit.SECONDS)).isTrue();
            assertThat(process.exitValue()).isEqualTo(2);
            assertThat(log.lines().toList()).singleElement().asString()
                .contains("field listen: 127.0.0.1:" + other.getLocalPort());
        }
    }

    /** A gatekeeper pays nothing for what is off: none of these classes is loaded by it. */
    @Test
    void aGatekeeperLoadsNoneOfItsClasses() throws Exception {
        Path config = folder.resolve("config.json");
        Path loaded = folder.resolve("classes.log");
        Files.writeString(config,
            "{\"name\":\"n0\",\"listen\":\"127.0.0.1:0\",\"seed\":\"1\",\"names\":\"127.0.0.1:1\",\"settings\":"
                + Sites.SETTINGS + "}");
        start(List.of("-Xshare:off", "-Xlog:class+load:file=" + loaded), Map.of("RELAY_CONFIG", config.toString()), "serve");
        line("n0 serves at ");
        signal("TERM");
        assertThat(ended()).isEqualTo(TERMINATED);
        List<String> classes = Files.readAllLines(loaded);
        assertThat(classes).anyMatch(line -> line.contains("grebewick.core.Gatekeeper "));
        assertThat(classes).noneMatch(line -> line.contains("grebewick.discovery.replica")
            || line.contains("grebewick.discovery.transfer"));
    }
}
