package grebewick.core;

import java.util.Set;

/**
 * A source of the list of servers has confirmed what is held of it. Times are microseconds of the core's clock.
 *
 * @param zone the part of the list that it is about; {@link #WHOLE_LIST}: all of it
 * @param askedUs when the question was sent whose answer said so: a later change may not be in it
 * @param servers those that the part lists, by id; of the whole list: empty
 */
public record ListConfirmation(String zone, long askedUs, Set<String> servers) {
    /** The zone of a source that knows the list as a whole only. */
    public static final String WHOLE_LIST = "";

    /** The whole list was confirmed. */
    public static ListConfirmation ofWholeList(long askedUs) {
        return new ListConfirmation(WHOLE_LIST, askedUs, Set.of());
    }
}
