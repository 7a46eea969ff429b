package grebewick.core;

import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

/**
 * What a gateway and its call control say to each other: settings, events and actions. No decision is taken
 * here. All times are microseconds of the gateway's own clock, which only advances; a time of day plays no
 * part. One instance serves one gateway and is not thread safe: feed it events in order of arrival.
 */
public interface CallControl {

    /** Takes one event that happened at {@code nowUs}; actions are handed to {@code out} in order, at once. */
    void handle(long nowUs, Event event, Consumer<Action> out);

    /** What has happened. */
    sealed interface Event {}

    /** News of the list of servers; {@code scope} says how the entries relate to the list held before. */
    record Fleet(Scope scope, long index, List<ServerEntry> entries) implements Event {}

    /** A caller's call for which exactly one final answer is owed before {@code dropDeadUs}. */
    record Call(long call, long dropDeadUs, boolean passing, boolean write, boolean isRetry, double units,
                boolean reconnect, long estimateUs, String billing, double hop, String item, int farEnd,
                String band) implements Event {}

    /** The call stands. */
    record Started(long call, int copy, String server, long costTimeUs) implements Event {}

    /** The one end of an attempt; {@code metrics} follow {@link Report#fields}. */
    record Result(long call, int copy, State state, boolean terminal, String server, long costTimeUs, long why,
                  List<Double> metrics) implements Event {}

    /** The caller left, or the answer came too late: nothing is owed any more. */
    record Hangup(long call) implements Event {}

    /** A reminder set by {@link Remind} came due. */
    record Due(long name) implements Event {}

    /** Answer to {@link AskLoad}, or news of free circuits (unasked, with a cost of 0). */
    record Checked(State state, String server, long costTimeUs, List<Double> metrics) implements Event {}

    /**
     * What the list says of servers has not been confirmed for too long, or has been again: none of {@code expired} gets an
     * attempt until this is told without it. That is neither a drain nor an end.
     */
    record ReadinessChanged(Set<String> expired) implements Event {}

    /** Bytes from another gateway of the tier. */
    record NeighbourSays(int srcPeer, byte[] bytes) implements Event {}

    /** What the gateway is to do. */
    sealed interface Action {}

    /** Send a set-up; {@code patienceUs} 0 means until the caller gives up. */
    record Attempt(long call, String server, long patienceUs) implements Action {}

    /** Stop waiting for an attempt. */
    record Withdraw(long call, int copy) implements Action {}

    /** Final answer: refused; the caller is asked to stay away for {@code notBeforeForUs} (0: no guidance). */
    record Refuse(long call, long notBeforeForUs) implements Action {}

    /** Final answer: failed. */
    record Surrender(long call) implements Action {}

    /** Ask for {@link Due} at {@code momentUs} or soon after. */
    record Remind(long momentUs, long name) implements Action {}

    /** Probe a server. */
    record AskLoad(String server) implements Action {}

    /** Close idle connections to a server. */
    record Close(String server) implements Action {}

    /** Send at most 256 bytes to one gateway of the tier, or to all where {@code peer} is negative. */
    record Signal(int peer, byte[] bytes) implements Action {}

    /** Subscribe to changes of the list, or end it. */
    record Observe(boolean active) implements Action {}

    /** Ask for the whole list once. */
    record Fetch() implements Action {}

    /** A line for the operators' log. */
    record Trace(String text) implements Action {}

    /** How list news relates to the list held. */
    enum Scope { PARTIAL, COMPLETE, PERSISTED, ERROR }

    /** What the list says of a server. */
    enum Stage { HEALTHY, DRAINING, DEREGISTERED }

    /** How attempts and probes end. */
    enum State {
        OK, FAILED, QUEUE_FULL, TIMED_OUT, CONNECT_ERROR, RESET_BY_PEER, CANCELED, IGNORED
    }

    /** One server of the list; {@code startedAtUs} 0 means long ago. */
    record ServerEntry(String server, int placeNo, Stage stage, long startedAtUs, String model, String zone,
                       double weight) {}

    /** All settings of a site, as given at start. */
    record Settings(Blend blend, Bounds bounds, Clients clients, String family, FamilyInfo familyInfo, Fees fees,
                    List<String> flavors, List<Grade> grades, int me, double overShareWorth, long periodUs,
                    List<Realm> realms, String registryMode, int replicasOfMe, Report report, Rules rules,
                    int stage, List<String> tiers, String weightSource, String worthBy, String zone,
                    List<String> zones) {}

    /** Weights of the parts of the result. */
    record Blend(double whole, double worstClass, double worstTenant, double worstWindow) {}

    /** What the site allows. */
    record Bounds(int attemptsCap, boolean cancel, long connectTimeoutUs, double cpuUsPerRequest, long cpuUsPerS,
                  long idleCloseUs, int maxOpen, long maxRetryAfterUs, boolean peers, boolean probes,
                  boolean retryAfter, boolean secondCopies, int streamsPerConn) {}

    /** What callers' equipment does. */
    record Clients(boolean marksRetry) {}

    /** What is particular to this kind of site. */
    record FamilyInfo(String farState, boolean hintsRoute, int homeNo, List<Long> meanHoldUs,
                      List<List<Integer>> poolsByClass, long releaseUs, long resendUs, boolean retryHint,
                      String shape, List<Double> widths) {}

    /** Points taken off the result. */
    record Fees(double connection, double crossZone, double handshake, double lateFail, double moves,
                double origin, double peer, double probe, double registryMode, double waste) {}

    /** A class of calls. */
    record Grade(String name, String dedupScope, String effect, long goalTimeUs, long hardLimitUs,
                 double lateValue, boolean stream, long windowUs, double worth, double aimStretch) {}

    /** A tenant. */
    record Realm(String name, double allowancePerS, double share) {}

    /** What servers report: names of the values, and where they come. */
    record Report(List<String> fields, String how) {}

    /** Figures of the five rules. */
    record Rules(long answerSlackUs, long askWithinUs, long coldUs, double coldFrom, long drainGraceUs,
                 long fallUs, double overloadFactor) {}
}
