package grebewick.liveness;

/**
 * The times of leases, in microseconds.
 *
 * @param leaseUs from the last evidence of life until the calls that lean on a process are over
 * @param probeEveryUs silence after which a process with calls is probed, and the time between probes
 * @param freshUs age of the last evidence up to which a process counts as alive as its last connection ends
 * @param rejoinUs from that end, in which a new connection is taken to reach the same process
 * @param resetWithinUs from the write on a connection that a process does not know until its reset has come
 * @param overlapUs by which evidence has to follow a newer connection to show that both reach one process
 */
public record LeaseTimes(long leaseUs, long probeEveryUs, long freshUs, long rejoinUs, long resetWithinUs,
                         long overlapUs) {
    /**
     * A caller is told within 8 s of the moment in which its server vanishes, and a cut of 6 s ends no call. The last
     * evidence is at most one probe older than the fault: with 0.5 s between probes, the lease outlasts a cut by 0.6 s, for
     * the first answer after it, and leaves 0.8 s for the way to the caller.
     */
    public static final LeaseTimes DEFAULT = new LeaseTimes(7_200_000, 500_000, 1_000_000, 4_000_000, 400_000, 100_000);

    /** Silence after which a process counts as suspect: two probes have no answer. */
    public long suspectUs() {
        return 2 * probeEveryUs;
    }
}
