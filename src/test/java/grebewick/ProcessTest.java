package grebewick;

import static org.assertj.core.api.Assertions.assertThat;

import grebewick.play.Scenario;
import grebewick.play.Sites;
import grebewick.sip.SipDialect;
import grebewick.trunk.TrunkDialect;
import java.io.BufferedReader;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** The whole process between caller c and server s1, and the system's signals. */
@Timeout(100)
class ProcessTest {
    /** Exit status after SIGTERM, as of any process that it ends. */
    private static final int TERMINATED = 143;

    @TempDir
    private Path folder;
    private final Scenario s = new Scenario();
    private final List<String> lines = new ArrayList<>();
    private Process process;
    private BufferedReader log;

    private void start() throws IOException {
        start(List.of(), Map.of());
    }

    private void start(List<String> options, Map<String, String> environment) throws IOException {
        Path config = folder.resolve("config.json");
        int port = s.server("s1", new TrunkDialect());
        Files.writeString(config, """
            {"name":"n0","listen":"127.0.0.1:0","seed":"1","names":"127.0.0.1:1","settings":%s,
             "known":{"index":1,"updates":[{"index":1,"snapshot":true,"endpoints":[{"name":"s1","address":"127.0.0.1:%d",
              "zone":"z0","type":"m","group":0,"status":"up","weight":1,"since_ms":0}]}]}}""".formatted(Sites.SETTINGS, port));
        List<String> words = new ArrayList<>(List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString(),
            "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1"));
        words.addAll(options);
        words.addAll(List.of("-cp", System.getProperty("java.class.path"), "grebewick.Main", "serve"));
        ProcessBuilder builder = new ProcessBuilder(words).redirectErrorStream(true);
        builder.environment().putAll(environment);
        builder.environment().put("RELAY_CONFIG", config.toString());
        process = builder.start();
        log = process.inputReader();
    }

    @AfterEach
    void end() {
        process.destroyForcibly();
        s.close();
    }

    /** Sends signals one after the other, by one process: the time that the end has counts from the first TERM on. */
    private void signal(String... names) throws Exception {
        String kills = Stream.of(names).map(name -> "kill -" + name + " " + process.pid()).collect(Collectors.joining(" && "));
        assertThat(new ProcessBuilder("sh", "-c", kills).start().waitFor()).isZero();
    }

    /** The first line with that text; all before it are kept as well. */
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
        return process.exitValue();
    }

    /** Signals while a set-up waits for its answer, twice and beside each other; another connection says nothing at all. */
    @Test
    void signalsBesideEachOtherLoseNoCall() throws Exception {
        start();
        int port = Integer.parseInt(line("n0 serves at ").replaceAll(".*:", ""));
        s.client("c", new SipDialect(), port);
        try (Socket mute = new Socket(InetAddress.getByName("127.0.0.1"), port)) {
            s.play("c > INVITE 01\n s1 < set-up 01*");
            signal("HUP", "TERM", "HUP", "TERM");
            s.play("s1 > answer 01 desc\n c < 200 INVITE 01 desc\n c > BYE 01\n c < 200 BYE 01\n s1 < release 01 16");
            assertThat(ended()).isEqualTo(TERMINATED);
            assertThat(mute.getInputStream().read()).as("its end, nothing else").isNegative();
        }
        assertThat(lines).anyMatch(line -> line.startsWith("configuration read anew"));
        assertThat(lines).contains("ends: nothing is owed");
        assertThat(lines).noneMatch(line -> line.contains("xception"));
    }

    /** Wherever in its start it is, it goes at once and in silence: nothing was taken. */
    @Test
    void toldToEndWhileItStartsItGoes() throws Exception {
        start();
        signal("TERM");
        assertThat(ended()).isEqualTo(TERMINATED);
        assertThat(lines).noneMatch(line -> line.contains("xception"));
    }

    /** The JVM's lines on the classes that a start and an end load, where only the platform is on. */
    private List<String> classesLoaded() throws Exception {
        Path loaded = folder.resolve("loaded.txt");
        start(List.of("-Xlog:class+load:file=" + loaded), Map.of());
        line("n0 serves at ");
        signal("TERM");
        assertThat(ended()).isEqualTo(TERMINATED);
        return Files.readAllLines(loaded);
    }

    /** What is off costs nothing: not a class of it is loaded. */
    @Test
    void withoutItsFileTheListsTransferIsNotLoaded() throws Exception {
        List<String> ours = classesLoaded().stream().filter(line -> line.contains(" grebewick.")).toList();
        assertThat(ours).anyMatch(line -> line.contains("grebewick.discovery.dns.ServerListPoller"))
            .noneMatch(line -> line.contains("grebewick.discovery.transfer."));
    }

    @Test
    void aFileOfTheListsTransferThatCannotWorkEndsTheStart() throws Exception {
        Path file = folder.resolve("discovery.json");
        Files.writeString(file, "{\"region\":\"east\",\"replicas\":[],\"zones\":[\"a.\"]}");
        start(List.of(), Map.of("RELAY_DISCOVERY", file.toString()));
        assertThat(ended()).isEqualTo(2);
        assertThat(lines).containsExactly("grebewick: RELAY_DISCOVERY: discovery: field replicas is empty");
    }

    @Test
    void onSighupTheFileOfTheListsTransferIsReadAnew() throws Exception {
        Path file = folder.resolve("discovery.json");
        String text = "{\"region\":\"east\",\"replicas\":[{\"address\":\"127.0.0.1:1\",\"region\":\"east\"}],\"zones\":[%s]}";
        Files.writeString(file, text.formatted("\"a.\""));
        start(List.of(), Map.of("RELAY_DISCOVERY", file.toString()));
        line("server list: follows 1 zones at 1 replicas");
        line("n0 serves at ");
        Files.writeString(file, text.formatted(""));
        signal("HUP");
        line("SIGHUP: the old configuration stays: RELAY_DISCOVERY: discovery: field zones is empty");
        Files.writeString(file, text.formatted("\"a.\",\"b.\""));
        signal("HUP");
        line("server list: follows 2 zones at 1 replicas");
        signal("TERM");
        assertThat(ended()).isEqualTo(TERMINATED);
        assertThat(lines).noneMatch(line -> line.contains("xception"));
    }

    /** Guards the time and memory of a start: what is off is not even loaded, but for the type of its configuration. */
    @Test
    void whatIsOffIsNotLoadedAtTheStart() throws Exception {
        List<String> classes = classesLoaded().stream().filter(line -> !line.contains(".DiameterConfig ")).toList();
        String off = ".* grebewick\\.(acme|benchlink|diameter|discovery\\.(?!dns\\.)[a-z]+|lab|web)\\..*";
        assertThat(classes).anyMatch(line -> line.contains(" grebewick.Node ")).noneMatch(line -> line.matches(off));
    }
}
