package grebewick.teardown;

/**
 * How long and how often an end is told.
 *
 * @param resendUs us without an answer after which it is told again, elsewhere where there is another way
 * @param tries    how often it is told for want of an answer; a lost or a likelier way tells it beyond that
 * @param heardUs  us after the last try when it is forgotten: it has arrived, or never will
 * @param keptUs   us that it is kept while there is no way at all
 * @param most     ends held at once; at more, one told already is dropped first, then the eldest
 */
public record RetryPolicy(long resendUs, int tries, long heardUs, long keptUs, int most) {
    /** Refuses what could never tell an end, or never forget one. */
    public RetryPolicy {
        if (resendUs <= 0 || tries < 1 || heardUs < resendUs || keptUs <= 0 || most < 1) {
            throw new IllegalArgumentException("a policy that cannot work");
        }
    }
}
