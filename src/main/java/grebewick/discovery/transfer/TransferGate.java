package grebewick.discovery.transfer;

import java.util.random.RandomGenerator;

/**
 * When a transfer over TCP may begin: a bound of transfers at the same time, a byte budget, and a wait of the whole client
 * after each refusal, so that clients that want copies at the same time do not ask for each zone again and again.
 */
final class TransferGate {
    /** Transfers at the same time. Bounds the memory and the debt of the budget. */
    static final int MAX_TRANSFERS = 2;
    /** Bytes for opening and closing a connection, counted when it is opened. Transfers on one that is open cost none. */
    static final int CONNECTION_BYTES = 400;
    /** us. Bounds of the wait after a refusal. */
    private static final long BASE_US = 250_000;
    private static final long CAP_US = 4_000_000;

    private final ByteBudget budget;
    private final Backoff backoff;
    private int open;
    private int refusals;
    private long refusedUntilUs = Long.MIN_VALUE;

    TransferGate(long bytesPerSecond, RandomGenerator random) {
        budget = new ByteBudget(bytesPerSecond, bytesPerSecond);
        backoff = new Backoff(BASE_US, CAP_US, random);
    }

    boolean isOpen(long nowUs) {
        return open < MAX_TRANSFERS && refusedUntilUs <= nowUs && budget.isOpen(nowUs);
    }

    /** Whether its budget has bytes left. */
    boolean hasBytes(long nowUs) {
        return budget.isOpen(nowUs);
    }

    /** us. {@link Long#MAX_VALUE}: not before one of those that are on has ended. */
    long opensAtUs(long nowUs) {
        return open >= MAX_TRANSFERS ? Long.MAX_VALUE : Math.max(refusedUntilUs, budget.opensAtUs(nowUs));
    }

    void begun(long nowUs) {
        open++;
        budget.spend(nowUs, ServerListClient.QUERY_BYTES);
    }

    void connectionOpened(long nowUs) {
        budget.spend(nowUs, CONNECTION_BYTES);
    }

    void received(long nowUs, long bytes) {
        budget.spend(nowUs, bytes);
    }

    void ended() {
        open--;
    }

    void refused(long nowUs) {
        refusals++;
        refusedUntilUs = nowUs + backoff.delayUs(refusals);
    }

    void succeeded() {
        refusals = 0;
    }

    long bytes() {
        return budget.used();
    }
}
