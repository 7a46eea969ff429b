package grebewick.lab.hostile;

import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/** One front of a gatekeeper, as its clients see it. Requests have a number each, which is their name on the wire. */
interface FrontUnderTest {
    /** Opens stand-ins of the servers, and gives the variables that a gatekeeper between them and the clients is started with. */
    Map<String, String> open(Path folder) throws Exception;

    /** What starts the process. */
    List<String> command(List<String> serve);

    int port();

    /** What a client says first on a connection, and reads the answer of. */
    void greet(DataInputStream in, OutputStream out) throws IOException;

    /** A sound request. */
    byte[] request(long number);

    /** A request of which the front has nothing: small, and its like may come at full speed. */
    byte[] useless(HostileTraffic kind, long number);

    /** A large request with a body, or as many short fields as it may have. */
    byte[] large(boolean manyFields, long number);

    /** Reads until a final answer and settles it, as by ACK and BYE; true: served, false: refused. */
    boolean readAnswer(DataInputStream in, OutputStream out) throws IOException;

    /** Requests that reached servers, by number; more than one where it came again. */
    Map<Long, Integer> reached();
}
