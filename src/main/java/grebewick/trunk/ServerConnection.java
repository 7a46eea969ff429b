package grebewick.trunk;

import grebewick.liveness.ProcessLease;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.socket.DuplexChannel;
import io.vertx.core.internal.net.NetSocketInternal;
import io.vertx.core.net.NetSocket;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** One connection to a server, and the calls that were set up on it. */
final class ServerConnection {
    private static final int MOST_ENDED = 256;

    final NetSocket socket;
    final TrunkCodec codec = new TrunkCodec();
    /** Calls whose set-up went out here: waiting for their answer, and standing. */
    final Set<CallLeg> legs = new LinkedHashSet<>();
    /** Releases that went out here. */
    final UnconfirmedReleases releases = new UnconfirmedReleases();
    /** Calls that an attempt of ended here before it stood, the latest: a second copy of that end may follow. */
    private final Set<Long> ended = new LinkedHashSet<>();
    /** Its number among those with this server, in the order in which they came up. */
    final long number;
    /** The process that it reaches, as far as is known. */
    final ProcessLease process;
    final long sinceUs;
    /** When a whole message last came, or it came up. */
    long heardUs;
    boolean heard;
    /** When the message that is not whole yet began; 0: there is none. */
    long halfUs;
    /** No new set-ups: what is open here may still end. */
    boolean retired;
    /** It was retired for its silence alone. */
    boolean doubted;
    /** The list says that its server has started anew since it came up. */
    boolean isOfFormerProcess;
    /** This side has ended it, and waits for the other to do so. */
    boolean finishing;
    /** Reset, or closed from this side with the other's end not heard. */
    boolean broken;
    /** Why this side closed it, for the log; null: the other side did. */
    String closeReason;
    /** Opened to show that the address can be reached, and not needed for calls. */
    boolean isCheck;
    /** When its process was last probed on it. */
    long probedUs;
    /** When it was last given a set-up. */
    long usedUs;
    int stuck;
    /** A set-up was given up whose bytes had not been taken by the network. */
    boolean orphan;

    ServerConnection(NetSocket socket, long number, ProcessLease process, long nowUs) {
        this.socket = socket;
        this.number = number;
        this.process = process;
        sinceUs = nowUs;
        heardUs = nowUs;
        usedUs = nowUs;
    }

    /** An attempt of the call has ended here, or was given up. */
    void ended(long id) {
        if (ended.size() >= MOST_ENDED) {
            ended.remove(ended.iterator().next());
        }
        ended.add(id);
    }

    /** Whether what the server says of the call here may be of an earlier attempt. */
    boolean hadAttempt(long id) {
        return ended.contains(id);
    }

    /** Calls that are over and whose releases may be lost with it: a server that ends it in order has read what came before. */
    List<Long> unreadReleases(long nowUs) {
        return releases.unread(broken ? heardUs : nowUs);
    }

    /** Bytes that were sent and the network has not taken. */
    long unwritten() {
        ChannelOutboundBuffer waiting = ((NetSocketInternal) socket).channelHandlerContext().channel().unsafe().outboundBuffer();
        return waiting == null ? 0 : waiting.totalPendingWriteBytes();
    }

    /** The network has not taken all that was handed to it: what is written now waits behind that. */
    boolean isStuck() {
        ChannelOutboundBuffer waiting = ((NetSocketInternal) socket).channelHandlerContext().channel().unsafe().outboundBuffer();
        return waiting != null && waiting.size() > 0;
    }

    /** Closes it with what it has not sent. Vert.x's own close waits until all that was written has left. */
    void abort() {
        ((NetSocketInternal) socket).channelHandlerContext().close();
    }

    /** Ends this direction alone; what comes in the other is still read. */
    void shutdownOutput() {
        if (((NetSocketInternal) socket).channelHandlerContext().channel() instanceof DuplexChannel channel) {
            channel.shutdownOutput();
        }
    }

    /** Why it is gone, for the log. */
    String closeReason() {
        if (closeReason != null) {
            return closeReason;
        }
        return finishing ? "not-needed" : broken ? "reset" : "closed-by-server";
    }

    /** Set-ups that wait for their answer here. */
    int open() {
        int n = 0;
        for (CallLeg leg : legs) {
            n += leg.stands ? 0 : 1;
        }
        return n;
    }
}
