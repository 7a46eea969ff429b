package grebewick.play;

import io.vertx.core.buffer.Buffer;
import java.util.function.Consumer;

/** How a party's messages are written in a scenario: one line of text each. */
public interface Dialect {
    /** The bytes of a message given as text. */
    Buffer encode(String text);

    /** A reader for one connection, which hands out each message as text. */
    Consumer<Buffer> reader(Consumer<String> each);

    /** What a party asks, and what it is answered, to show that nothing else has been sent to it. */
    String[] ping();

    /** What any party answers by itself to a message, which a scenario then does not hear of; null: nothing. */
    default String reply(String message) {
        return null;
    }
}
