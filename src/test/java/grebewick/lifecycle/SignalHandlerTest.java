package grebewick.lifecycle;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

class SignalHandlerTest {
    /** Guards against a JVM that ends on SIGHUP, and against one that hears only the first. */
    @Test
    void everySignalIsHeardAndTheProcessGoesOn() throws Exception {
        Semaphore heard = new Semaphore(0);
        assertThat(SignalHandler.on("HUP", heard::release)).isTrue();
        for (int i = 0; i < 2; i++) {
            new ProcessBuilder("kill", "-HUP", Long.toString(ProcessHandle.current().pid())).start().waitFor();
            assertThat(heard.tryAcquire(20, TimeUnit.SECONDS)).isTrue();
        }
    }

    /** Guards a gatekeeper that is asked to read its file anew while it starts: it does so once it can, and once. */
    @Test
    void whatIsAskedBeforeTheStartIsDoneAfterIt() {
        AtomicInteger done = new AtomicInteger();
        ConfigReload reload = new ConfigReload();
        reload.asked();
        reload.asked();
        reload.ready(done::incrementAndGet);
        assertThat(done).hasValue(1);
        reload.asked();
        assertThat(done).hasValue(2);
    }
}
