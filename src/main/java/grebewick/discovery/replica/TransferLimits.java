package grebewick.discovery.replica;

import grebewick.core.TokenBucket;

/** Keeps a replica within its {@link LimitSettings}; what is beyond them is refused at once, never queued. */
public final class TransferLimits {
    private final int mostTransfers;
    private final TokenBucket queries;
    private final TokenBucket copyBytes;
    private int transfers;

    /** Limits with nothing used so far. */
    public TransferLimits(LimitSettings settings) {
        mostTransfers = settings.transfers();
        queries = new TokenBucket(settings.queriesPerSecond(), settings.queriesPerSecond());
        copyBytes = new TokenBucket(settings.copyBytesPerSecond(), settings.copyBytesPerSecond());
    }

    /** Whether one more query is answered. */
    public boolean takeQuery(long nowUs) {
        return queries.tryTake(1, nowUs);
    }

    /** Whether a whole copy may be sent in a datagram. */
    public boolean takeCopy(int bytes, long nowUs) {
        return copyBytes.tryTake(bytes, nowUs);
    }

    /** Whether a transfer over TCP may begin; if so, {@link #endTransfer} follows. {@code bytes} 0: no whole copy. */
    public boolean beginTransfer(int bytes, long nowUs) {
        if (transfers >= mostTransfers || bytes > 0 && !copyBytes.tryTake(bytes, nowUs)) {
            return false;
        }
        transfers++;
        return true;
    }

    /** A transfer over TCP has ended, whole or not. */
    public void endTransfer() {
        transfers--;
    }

    /** Transfers over TCP that have begun and not ended. */
    public int transfers() {
        return transfers;
    }
}
