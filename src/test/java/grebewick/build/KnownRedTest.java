package grebewick.build;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** What {@code .ci/test} makes of KNOWN-RED.txt, with a stand-in for Maven that notes how it was called. */
class KnownRedTest {
    private static final String MAVEN = """
        #!/bin/sh
        echo "$*" >> calls
        case "$*" in
        *verify*) [ ! -f others-fail ] ;;
        *#fails) echo 'Tests run: 1, Failures: 1'; exit 1 ;;
        *#passes) echo 'Tests run: 1, Failures: 0' ;;
        *#absent) echo 'Tests run: 0' ;;
        *#dies) exit 1 ;;
        esac
        """;

    @TempDir
    private Path root;

    @BeforeEach
    void layOut() throws IOException {
        Path script = Files.createDirectory(root.resolve(".ci")).resolve("test");
        Files.copy(Path.of(".ci", "test"), script);
        Path maven = Files.createDirectory(root.resolve("bin")).resolve("mvn");
        Files.writeString(maven, MAVEN);
        Files.setPosixFilePermissions(maven, PosixFilePermissions.fromString("rwx------"));
    }

    @Test
    void withoutTheFileAllTestsRunAndNoneIsExcluded() throws Exception {
        assertThat(run().exitCode()).isZero();
        assertThat(calls()).containsExactly("-B -ntp verify");
    }

    @Test
    void aListedTestRunsApartAndMayFail() throws Exception {
        list("a.SomeTest#fails; make soak, seed 3; too slow; issue 7");
        Outcome outcome = run();
        assertThat(outcome.exitCode()).isZero();
        assertThat(outcome.output())
            .contains("known red: a.SomeTest#fails; make soak, seed 3; too slow; issue 7: fails, as known");
        assertThat(calls()).containsExactly("-B -ntp verify -Dsurefire.excludesFile=target/known-red.excludes",
            "-B -ntp surefire:test -Dtest=a.SomeTest#fails");
        assertThat(root.resolve("target/known-red.excludes")).hasContent("a/SomeTest#fails");
    }

    @Test
    void aListedTestThatPassesIsToBeRemoved() throws Exception {
        list("a.SomeTest#passes; make test; mended since; issue 7");
        Outcome outcome = run();
        assertThat(outcome.exitCode()).isZero();
        assertThat(outcome.output())
            .contains("known red: a.SomeTest#passes; make test; mended since; issue 7: passes now: remove it");
    }

    @Test
    void aTestThatDoesNotRunFailsTheBuildAndTheOthersAreStillPrinted() throws Exception {
        list("a.SomeTest#absent; make test; renamed; issue 7", "a.SomeTest#dies; make test; its process ends; issue 8",
            "a.SomeTest#fails; make test; c; issue 9");
        Outcome outcome = run();
        assertThat(outcome.exitCode()).isNotZero();
        assertThat(outcome.output()).contains("#absent; make test; renamed; issue 7: did not run", "issue 8: did not run",
            "issue 9: fails, as known");
    }

    @Test
    void failuresOfOtherTestsStillFailTheBuild() throws Exception {
        Files.createFile(root.resolve("others-fail"));
        list("a.SomeTest#fails; make soak, seed 3; too slow; issue 7");
        assertThat(run().exitCode()).isNotZero();
    }

    @Test
    void aMalformedLineFailsBeforeAnyTestRuns() throws Exception {
        for (String line : List.of("a.SomeTest; make test; the whole class; issue 7", "a.SomeTest#some; make test; issue 7",
            "a.SomeTest#some; issue 7", "a.SomeTest#*; make test; all; issue 7", "a.SomeTest#some; make test; no issue",
            "a.SomeTest#some; make test; seen; no issue", "")) {
            list(line);
            assertThat(run().exitCode()).as(line).isNotZero();
        }
        assertThat(root.resolve("calls")).doesNotExist();
    }

    @Test
    void moreThanThreeLinesFailBeforeAnyTestRuns() throws Exception {
        String line = "a.SomeTest#fails; make soak, seed 3; too slow; issue 7";
        list(line, line, line, line);
        assertThat(run().exitCode()).isNotZero();
        assertThat(root.resolve("calls")).doesNotExist();
    }

    private void list(String... lines) throws IOException {
        Files.write(root.resolve("KNOWN-RED.txt"), List.of(lines));
    }

    private List<String> calls() throws IOException {
        return Files.readAllLines(root.resolve("calls"));
    }

    private Outcome run() throws IOException, InterruptedException {
        ProcessBuilder builder = new ProcessBuilder("sh", ".ci/test").directory(root.toFile()).redirectErrorStream(true);
        builder.environment().merge("PATH", root.resolve("bin").toString(), (path, bin) -> bin + ":" + path);
        Process process = builder.start();
        String output = new String(process.getInputStream().readAllBytes());
        return new Outcome(process.waitFor(), output);
    }

    private record Outcome(int exitCode, String output) {}
}
