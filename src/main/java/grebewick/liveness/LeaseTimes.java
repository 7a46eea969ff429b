package grebewick.liveness;

/**
 * The times of leases, in microseconds.
 *
 * @param leaseUs from the last evidence of life until the calls that lean on a process are over
 * @param earlyProbeUs silence after which a process with calls may be probed, where the budget bears it
 * @param dueProbeUs silence after which it is probed in any case
 * @param repeatProbeUs from a probe that has no answer to the next
 * @param freshUs age of the last evidence up to which a process counts as alive as its last connection ends
 * @param rejoinUs from that end, in which a new connection is taken to reach the same process
 * @param resetWithinUs from the write on a connection that a process does not know until its reset has come
 * @param overlapUs by which evidence has to follow a newer connection to show that both reach one process
 */
public record LeaseTimes(long leaseUs, long earlyProbeUs, long dueProbeUs, long repeatProbeUs, long freshUs, long rejoinUs,
                         long resetWithinUs,
                         long overlapUs) {
    /**
     * A caller is told within 8 s of the moment in which its server vanishes, at the earliest that of the last evidence: the
     * lease leaves 0.8 s for the way to the caller. Where probes are cheap, the last evidence is half a second older than a
     * fault at the most, and a cut of 6 s ends no call. Where they are dear, it may be older, and a cut ends those calls whose
     * lease does not outlast it; five probes without an answer come before the end of any.
     */
    public static final LeaseTimes DEFAULT = new LeaseTimes(7_200_000, 500_000, 5_000_000, 500_000, 1_900_000, 4_000_000, 400_000,
        100_000);

    /** From the first probe without an answer until a process counts as suspect. */
    long suspectUs() {
        return repeatProbeUs;
    }
}
