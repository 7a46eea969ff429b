package grebewick.discovery.transfer;

import java.util.Optional;

/** When to log that the list is old: at some seconds of age, then each time the age has doubled, and once it is over. */
final class AgeMonitor {
    private static final long FIRST_US = 10_000_000;
    private static final long US_PER_S = 1_000_000;

    private long thresholdUs = FIRST_US;

    /** The line to log, if any, for the zone whose content was confirmed longest ago. */
    Optional<String> check(String zone, long ageUs) {
        if (ageUs >= thresholdUs) {
            while (ageUs >= thresholdUs) {
                thresholdUs *= 2;
            }
            return Optional.of("server list: no replica confirmed zone " + zone + " for " + ageUs / US_PER_S
                + " s; what was received last is in use");
        }
        if (ageUs < FIRST_US && thresholdUs > FIRST_US) {
            thresholdUs = FIRST_US;
            return Optional.of("server list: all zones are confirmed again");
        }
        return Optional.empty();
    }

    /** us. The age at which there is something to log next. */
    long thresholdUs() {
        return thresholdUs;
    }
}
