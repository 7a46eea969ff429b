package grebewick.config;

/** A configuration that cannot work; the text is one line that names the fault. */
public final class ConfigurationException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** Makes one with its line. */
    public ConfigurationException(String text) {
        super(text);
    }
}
