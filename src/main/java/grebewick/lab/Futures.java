package grebewick.lab;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** Waits of a tool's main thread for its event loop. */
public final class Futures {
    private static final int PATIENCE_S = 10;

    private Futures() {}

    /** Waits for what is under way. */
    public static <T> T await(Future<T> future) throws Exception {
        return future.toCompletionStage().toCompletableFuture().get(PATIENCE_S, TimeUnit.SECONDS);
    }

    /** Runs a step on the event loop and gives its result. */
    public static <T> T onLoop(Vertx vertx, Callable<T> step) throws Exception {
        CompletableFuture<T> result = new CompletableFuture<>();
        vertx.runOnContext(v -> {
            try {
                result.complete(step.call());
            } catch (Exception e) {
                result.completeExceptionally(e);
            }
        });
        return result.get(PATIENCE_S, TimeUnit.SECONDS);
    }
}
