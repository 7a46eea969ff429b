package grebewick.sip;

import grebewick.core.Timers;
import grebewick.core.TokenBucket;
import grebewick.eventloop.InputBuffer;
import grebewick.eventloop.PacedInput;
import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.internal.net.NetSocketInternal;
import io.vertx.core.net.NetSocket;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.function.Consumer;

/** One connection from callers: what is open on it, and what it has shown of its sender. */
final class CallerLine {
    /** Bytes that may wait for a caller that does not read. */
    private static final int MOST_UNREAD = 256 * 1024;

    /** us. Without a word, after which a caller that has asked is taken not to be asking. */
    private static final long REST_US = 500_000;

    /** us. In which a caller has to take what was written before its connection was closed. */
    private static final long FAREWELL_US = 2_000_000;

    /** Ends of calls that nobody here knows, on one connection: so many at once, and in a second. */
    private static final int UNKNOWN_ENDS = 256;
    private static final int UNKNOWN_ENDS_A_S = 32;

    final NetSocket socket;
    final InputBuffer input = new InputBuffer();
    final SipCodec codec = new SipCodec(input);
    /** For ends of calls that nobody here knows. */
    final TokenBucket unknownEnds = new TokenBucket(UNKNOWN_ENDS, UNKNOWN_ENDS_A_S);
    /** Set once, right after this. */
    PacedInput paced;
    final long sinceUs;
    /** Set-ups that wait for their answer. */
    final Set<CallerSession> open = new LinkedHashSet<>();
    /** Calls that were set up on it and stand: their caller keeps it to be told of their ends. */
    int standing;
    /** When a whole message last came. */
    long heardUs;
    /** When the message that is not whole yet began; 0: there is none. */
    long halfUs;
    /** It has sent a request that could be used, be it a test. */
    boolean spoke;
    /** It has sent a set-up that could be used. */
    boolean asked;
    /** A call of its stood: no stranger's connection. */
    boolean proven;
    /** Set-ups in a row that were of no use to anybody. */
    int useless;
    /** It is to be looked at once all input is read, whether it goes for these. */
    boolean closesAfterInput;
    boolean closed;
    private final Timers timers;
    private final Consumer<CallerLine> ended;
    private int unread;

    /** {@code ended} is told of its end where its caller reads nothing: no answer can be written any more. */
    CallerLine(NetSocket socket, Timers timers, Consumer<CallerLine> ended, long nowUs) {
        this.socket = socket;
        this.timers = timers;
        this.ended = ended;
        sinceUs = nowUs;
        heardUs = nowUs;
    }

    /** How sure it is that a usual caller is at the other end. */
    int rank() {
        return proven ? 3 : asked ? 2 : spoke ? 1 : 0;
    }

    boolean rests(long nowUs) {
        return standing == 0 && open.isEmpty() && halfUs == 0 && nowUs - heardUs >= REST_US;
    }

    /** What comes back is complete once the network has it, and fails where it never will. */
    Future<Void> write(SipMessage m) {
        if (closed) {
            return Future.failedFuture("closed");
        }
        Buffer bytes = SipCodec.encode(m);
        unread += bytes.length();
        if (unread > MOST_UNREAD) {
            // Guards the memory against callers that ask and never read.
            close();
            // Not within the caller's own loop over what it writes.
            timers.after(0, () -> ended.accept(this));
            return Future.failedFuture("unread");
        }
        return socket.write(bytes).onComplete(done -> unread -= bytes.length());
    }

    /** Bytes that were sent and the network has not taken. */
    int unread() {
        return unread;
    }

    void close() {
        closed = true;
        socket.close();
        if (unread > 0) {
            // Guards the descriptors: Vert.x's close waits until all that was written has left, and this caller may read nothing.
            timers.after(FAREWELL_US, () -> ((NetSocketInternal) socket).channelHandlerContext().close());
        }
    }
}
