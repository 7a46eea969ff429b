package grebewick.trunk;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Releases that were written on one connection and that its server may not have read: they are to be sent again if the connection
 * is lost. A server need not confirm a release, so one counts as read as well where the server is heard some time after it. Times
 * are microseconds of one monotonic clock, handed in.
 */
final class UnconfirmedReleases {
    /** us. A server that is heard so long after a release was written has read it. */
    static final long READ_US = 1_000_000;
    /** Above it the eldest is forgotten. */
    static final int MOST = 4_096;

    /** By call id, when it was written; in this order. */
    private final Map<Long, Long> writtenUs = new LinkedHashMap<>();

    /** A release was written on a connection that was last heard at {@code heardUs}. */
    void written(long id, long nowUs, long heardUs) {
        forgetRead(heardUs);
        writtenUs.remove(id);
        writtenUs.put(id, nowUs);
        if (writtenUs.size() > MOST) {
            Iterator<Long> eldest = writtenUs.values().iterator();
            eldest.next();
            eldest.remove();
        }
    }

    /** The server has confirmed it, or it went out on another connection too. */
    void forget(long id) {
        writtenUs.remove(id);
    }

    /** Calls whose releases may not have been read, the eldest first, where the server was last heard at {@code heardUs}. */
    List<Long> unread(long heardUs) {
        forgetRead(heardUs);
        return List.copyOf(writtenUs.keySet());
    }

    private void forgetRead(long heardUs) {
        Iterator<Long> eldest = writtenUs.values().iterator();
        while (eldest.hasNext() && heardUs - eldest.next() >= READ_US) {
            eldest.remove();
        }
    }
}
