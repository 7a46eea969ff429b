package grebewick.lifecycle;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class ClassArchiveTrainingTest {
    /** Guards the archive of classes: where the rehearsal does not get as far as a call, starts are slow again. */
    @Test
    void theRehearsalServesACallAndItsEndsLeaveNothing() throws Exception {
        Process rehearsal = new ProcessBuilder(ProcessHandle.current().info().command().orElse("java"), "-cp",
            System.getProperty("java.class.path"), "grebewick.Main", "rehearse").redirectErrorStream(true).start();
        String said = new String(rehearsal.getInputStream().readAllBytes());
        assertThat(rehearsal.waitFor()).as(said).isZero();
        assertThat(said).contains("200=", "ended=").doesNotContain("gave up", "late", "guard:");
    }
}
