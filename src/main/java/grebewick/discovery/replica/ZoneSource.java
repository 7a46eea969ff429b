package grebewick.discovery.replica;

import grebewick.discovery.transfer.ZoneContent;
import io.vertx.core.Future;
import java.util.Set;

/** Where a replica has its zones from. Used on the event loop. */
interface ZoneSource {
    /** Hears of zones, on the event loop. */
    interface Listener {
        /** From now on these zones are served and no others, whether they are held yet or not. */
        void serve(Set<String> zones);

        /** A later content of a zone. */
        void news(String zone, ZoneContent content);

        /** What is held of a zone was its latest at {@code asOfUs}; told by sources that know of it at second hand. */
        void confirmed(String zone, long asOfUs);
    }

    /** Starts to tell. */
    void start(Listener listener);

    /** Reads anew what it is configured by; fails with a {@code ConfigurationException}, and then nothing has changed. */
    Future<Void> reread();

    /** Tells no more. */
    Future<Void> close();
}
