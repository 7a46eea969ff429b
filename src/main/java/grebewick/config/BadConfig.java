package grebewick.config;

/** A configuration that cannot work; the text is one line that names the fault. */
public final class BadConfig extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** Makes one with its line. */
    public BadConfig(String text) {
        super(text);
    }
}
