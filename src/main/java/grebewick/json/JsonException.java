package grebewick.json;

/** A text that is not JSON, or lacks a field or has one of another type; the message names the text and the field. */
public final class JsonException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    JsonException(String message) {
        super(message);
    }
}
