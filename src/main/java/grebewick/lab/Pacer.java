package grebewick.lab;

import io.vertx.core.Vertx;
import java.util.concurrent.locks.LockSupport;
import java.util.function.LongConsumer;

/**
 * Starts calls at equal distances whatever becomes of them (open loop). Either a thread of its own sleeps until each moment,
 * or a periodic timer of the event loop, of whole milliseconds, starts what is due.
 */
final class Pacer {
    /** How moments are waited for. */
    enum Kind { THREAD, MILLISECOND_TIMER }

    private static final long TIMER_MS = 1;

    private final Vertx vertx;
    private final long startUs;
    private final double everyUs;
    private final long total;
    private final LongConsumer startCall;
    private long started;

    /** {@code startCall} runs on the event loop and takes the moment that the call was meant for, us. */
    Pacer(Vertx vertx, long startUs, double perSecond, double seconds, LongConsumer startCall) {
        this.vertx = vertx;
        this.startUs = startUs;
        this.everyUs = 1_000_000 / perSecond;
        this.total = (long) (perSecond * seconds);
        this.startCall = startCall;
    }

    /** The moment that call {@code index} is meant for, us. */
    long meantUs(long index) {
        return startUs + (long) (index * everyUs);
    }

    /** Starts all calls; returns when the last was started. */
    void run(Kind kind) throws InterruptedException {
        if (kind == Kind.THREAD) {
            runOnThread();
        } else {
            long timer = vertx.setPeriodic(TIMER_MS, t -> startDue(nowUs()));
            Thread.sleep(Math.max(0, (meantUs(total) - nowUs()) / 1000 + 2 * TIMER_MS));
            vertx.cancelTimer(timer);
        }
    }

    private void runOnThread() {
        for (long i = 0; i < total; i++) {
            long meantUs = meantUs(i);
            for (long leftUs = meantUs - nowUs(); leftUs > 0; leftUs = meantUs - nowUs()) {
                LockSupport.parkNanos(leftUs * 1000);
            }
            vertx.runOnContext(v -> startCall.accept(meantUs));
        }
    }

    /** Starts each call that was meant for a moment until now. */
    void startDue(long nowUs) {
        while (started < total && meantUs(started) <= nowUs) {
            startCall.accept(meantUs(started));
            started++;
        }
    }

    /** Monotonic time, us. */
    static long nowUs() {
        return System.nanoTime() / 1000;
    }
}
