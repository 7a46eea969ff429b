package grebewick.discovery.replica;

import static grebewick.discovery.transfer.TransferSamples.ZONE;
import static org.assertj.core.api.Assertions.assertThat;

import grebewick.discovery.transfer.MessageFraming;
import grebewick.discovery.transfer.TransferCodec;
import grebewick.discovery.transfer.TransferRequest;
import grebewick.discovery.transfer.TransferSamples;
import grebewick.discovery.transfer.ZoneVersion;
import grebewick.play.HandClock;
import io.netty.channel.ChannelHandlerContext;
import io.vertx.core.Future;
import io.vertx.core.Handler;
import io.vertx.core.Promise;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.internal.net.NetSocketInternal;
import java.lang.reflect.Proxy;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** A connection on a socket whose queue fills, drains and is written by hand. */
class ClientConnectionTest {
    private static final int SERVERS = 2_000;

    private final HandClock clock = new HandClock();
    private final ArrayDeque<Runnable> turns = new ArrayDeque<>();
    private final List<Promise<Void>> writes = new ArrayList<>();
    private Handler<Buffer> reads;
    private Handler<Void> drained;
    private boolean full;
    private boolean closed;

    private final NetSocketInternal socket = fake(NetSocketInternal.class, (method, arguments) -> switch (method) {
        case "handler" -> reads = cast(arguments[0]);
        case "drainHandler" -> drained = cast(arguments[0]);
        case "writeQueueFull" -> full;
        case "write" -> write();
        case "channelHandlerContext" -> fake(ChannelHandlerContext.class, (name, none) -> {
            closed |= name.equals("close");
            return null;
        });
        default -> null;
    });

    private interface Call {
        Object of(String method, Object[] arguments);
    }

    private static <T> T fake(Class<T> type, Call call) {
        return type.cast(Proxy.newProxyInstance(type.getClassLoader(), new Class<?>[] {type}, (proxy, method, arguments) -> {
            Object result = call.of(method.getName(), arguments);
            return method.getReturnType().isInstance(result) || method.getReturnType().isPrimitive() ? result : null;
        }));
    }

    @SuppressWarnings("unchecked")
    private static <T> Handler<T> cast(Object handler) {
        return (Handler<T>) handler;
    }

    private Future<Void> write() {
        Promise<Void> written = Promise.promise();
        writes.add(written);
        return written.future();
    }

    /**
     * The last messages are written in a turn of their own, and what drains then is told as well: the answer has not ended
     * before its last message has left.
     */
    @Test
    void aQueueThatDrainsAfterTheLastMessageWasQueuedDoesNotEndTheAnswer() {
        TransferSamples samples = new TransferSamples(53);
        ReplicaState state = new ReplicaState(new HistoryLimits(4_096, 1 << 20), new LimitSettings(64, 1_000_000, 1_000));
        state.serve(List.of(ZONE));
        state.take(ZONE, samples.content(new ZoneVersion(7, 1), SERVERS));
        ClientConnection connection = new ClientConnection(socket, state, ServerLimits.DEFAULT, clock, clock, turns::add);
        full = true;
        reads.handle(Buffer
            .buffer(MessageFraming.frame(TransferCodec.encodeQuery(new TransferRequest(4_712, ZONE, Optional.empty())))));
        connection.end();
        full = false;
        drained.handle(null);
        assertThat(turns).as("more than a turn's messages").isNotEmpty();
        while (!turns.isEmpty()) {
            turns.poll().run();
        }
        Promise<Void> last = writes.get(writes.size() - 1);
        drained.handle(null);
        assertThat(closed).as("while the last message has not left").isFalse();
        writes.forEach(written -> written.tryComplete());
        assertThat(last.future().succeeded()).isTrue();
        assertThat(closed).isTrue();
    }
}
