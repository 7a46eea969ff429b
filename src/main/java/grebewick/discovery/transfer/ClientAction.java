package grebewick.discovery.transfer;

import grebewick.config.Endpoint;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/** What a {@link ServerListClient} wants done. */
public sealed interface ClientAction {
    /**
     * Ask by UDP. What comes back goes to {@link ServerListClient#answered} or {@link ServerListClient#failed}, late answers
     * too; the client counts the timeout itself.
     *
     * @param request number of this query, never used twice
     * @param held empty: no version is held
     */
    record SendQuery(long request, Replica replica, String zone, Optional<ZoneVersion> held) implements ClientAction {}

    /**
     * Open a connection for transfers. Its end goes to {@link ServerListClient#disconnected}, unless it was told by
     * {@link CloseConnection}.
     *
     * @param connection number of this connection, never used twice
     */
    record OpenConnection(long connection, Replica replica) implements ClientAction {}

    /** Ask on a connection that was opened; as {@link SendQuery}. Others may be asked on it and not answered yet. */
    record SendTransfer(long request, long connection, Replica replica, String zone,
                        Optional<ZoneVersion> held) implements ClientAction {}

    /** Close a connection; nothing more is wanted of what was asked on it. */
    record CloseConnection(long connection) implements ClientAction {}

    /** Forget a query: no answer to it is wanted any more. */
    record ForgetQuery(long request) implements ClientAction {}

    /** A zone has other content. */
    record ZoneChanged(String zone, ZoneContent content) implements ClientAction {}

    /**
     * A replica has answered that what is held of a zone is its latest, or has brought it.
     *
     * @param askedUs when it was asked, less the age of its own word: a later change may not be in it
     */
    record ZoneConfirmed(String zone, long askedUs, ZoneContent content) implements ClientAction {}

    /** The zones that are followed are these now. */
    record ZonesFollowed(Set<String> zones) implements ClientAction {
        /** Copies the zones. */
        public ZonesFollowed {
            zones = Set.copyOf(zones);
        }
    }

    /** The list of all servers as it now is. */
    record Publish(List<Endpoint> servers) implements ClientAction {}

    /** A line for the operators' log. */
    record Log(String line) implements ClientAction {}
}
