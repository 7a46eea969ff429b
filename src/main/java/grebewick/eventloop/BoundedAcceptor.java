package grebewick.eventloop;

import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.ChannelFactory;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.ServerChannel;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.vertx.core.impl.transports.NioTransport;
import io.vertx.core.transport.Transport;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Vert.x's transport, which sleeps until a timer is due ({@link MillisecondTimers}), with a bound on the connections that its
 * servers have accepted and that are not closed yet.
 * Guards the descriptors: Vert.x accepts on a thread of its own, hundreds before the event loop has seen the first,
 * and a process without a descriptor left accepts nothing for a second. What is not accepted waits in the backlog.
 */
public final class BoundedAcceptor extends NioTransport implements Transport {
    private static final long PAUSE_MS = 5;

    private final int most;
    private final AtomicInteger open = new AtomicInteger();
    private final AfterReadQueue afterRead;

    /** {@code most}: connections held at a time; {@code afterRead} runs after each round of reads. */
    public BoundedAcceptor(int most, AfterReadQueue afterRead) {
        this.most = most;
        this.afterRead = afterRead;
    }

    @Override
    public String name() {
        return "nio, bounded";
    }

    @Override
    public boolean available() {
        return true;
    }

    @Override
    public Throwable unavailabilityCause() {
        return null;
    }

    @Override
    public io.vertx.core.spi.transport.Transport implementation() {
        return this;
    }

    @Override
    public IoHandlerFactory ioHandlerFactory() {
        return MillisecondTimers.over(super.ioHandlerFactory(), afterRead);
    }

    @Override
    public ChannelFactory<? extends ServerChannel> serverChannelFactory(boolean domainSocket) {
        return domainSocket ? super.serverChannelFactory(true) : Server::new;
    }

    private final class Server extends NioServerSocketChannel {
        @Override
        protected int doReadMessages(List<Object> accepted) throws Exception {
            if (open.get() >= most) {
                config().setAutoRead(false);
                eventLoop().schedule(() -> config().setAutoRead(true), PAUSE_MS, TimeUnit.MILLISECONDS);
                return 0;
            }
            int n = super.doReadMessages(accepted);
            if (n > 0) {
                open.incrementAndGet();
                SocketChannel child = (SocketChannel) accepted.get(accepted.size() - 1);
                // Each is read until there is no more: a caller that has left shows it behind what it last sent.
                child.config().setRecvByteBufAllocator(new AdaptiveRecvByteBufAllocator().respectMaybeMoreData(false));
                // The descriptor of a closed channel goes with its loop's next select, not with the close.
                child.closeFuture().addListener(done -> {
                    if (!child.eventLoop().isShuttingDown()) {
                        child.eventLoop().schedule(open::decrementAndGet, PAUSE_MS, TimeUnit.MILLISECONDS);
                    }
                });
            }
            return n;
        }
    }
}
