package grebewick.trunk;

/**
 * How many connections to all servers together the descriptors bear. A server without one comes before spare ones, for
 * which only three quarters are given out.
 */
final class Quota {
    private final int most;
    private int open;
    private int servers;

    Quota(int most) {
        this.most = most;
    }

    void servers(int n) {
        servers = n;
    }

    /** Connections to keep up with each server, of those wished for. */
    int spare(int wished) {
        return Math.max(1, Math.min(wished, forSpare() / Math.max(1, servers)));
    }

    /** Takes one; {@code needed}: there is none with its server, or one broke off. */
    boolean take(boolean needed) {
        boolean free = open < (needed ? most : forSpare());
        open += free ? 1 : 0;
        return free;
    }

    void give() {
        open--;
    }

    private int forSpare() {
        return most - most / 4;
    }
}
