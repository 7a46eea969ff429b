package grebewick.discovery.transfer;

import java.util.EnumMap;
import java.util.Map;

/** What a client counted since its start. */
public final class ClientStatistics {
    private final Map<TransferFailure, Long> failures = new EnumMap<>(TransferFailure.class);
    private long queries;
    private long retriesHeldBack;
    private long transfers;
    private long connections;
    private long incrementals;
    private long copies;
    private long gaps;
    private long publications;
    private long lateAnswers;

    /** Queries sent by UDP. */
    public long queries() {
        return queries;
    }

    /** Polls that were not asked of another replica at once, as the budget for retries was used up. */
    public long retriesHeldBack() {
        return retriesHeldBack;
    }

    /** Transfers begun over TCP. */
    public long transfers() {
        return transfers;
    }

    /** Connections opened for transfers. */
    public long connections() {
        return connections;
    }

    /** Sequences of changes that were applied. */
    public long incrementals() {
        return incrementals;
    }

    /** Whole copies that were taken. */
    public long copies() {
        return copies;
    }

    /** Sequences of changes that did not fit, so that a whole copy was wanted. */
    public long gaps() {
        return gaps;
    }

    /** Lists published. */
    public long publications() {
        return publications;
    }

    /** Answers that came after their timeout. */
    public long lateAnswers() {
        return lateAnswers;
    }

    /** Queries and transfers that failed in that way. */
    public long failures(TransferFailure failure) {
        return failures.getOrDefault(failure, 0L);
    }

    void querySent() {
        queries++;
    }

    void retryHeldBack() {
        retriesHeldBack++;
    }

    void transferBegun() {
        transfers++;
    }

    void connectionOpened() {
        connections++;
    }

    void applied(TransferResponse response) {
        if (response instanceof TransferResponse.FullCopy) {
            copies++;
        } else {
            incrementals++;
        }
    }

    void gapFound() {
        gaps++;
    }

    void published() {
        publications++;
    }

    void cameLate() {
        lateAnswers++;
    }

    void failed(TransferFailure failure) {
        failures.merge(failure, 1L, Long::sum);
    }

    @Override
    public String toString() {
        return "queries " + queries + ", retries held back " + retriesHeldBack + ", transfers " + transfers + ", connections "
            + connections + ", incrementals "
            + incrementals + ", copies " + copies
            + ", gaps " + gaps + ", late answers " + lateAnswers + ", failures " + failures;
    }
}
