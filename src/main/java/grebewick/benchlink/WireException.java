package grebewick.benchlink;

import grebewick.json.JsonException;

/** Something on the wire that is not the wire's; the text names the message and the field. */
public final class WireException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    WireException(String text) {
        super(text);
    }

    WireException(JsonException cause) {
        super(cause.getMessage(), cause);
    }
}
