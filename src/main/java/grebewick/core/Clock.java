package grebewick.core;

/** Whole microseconds that only advance. */
@FunctionalInterface
public interface Clock {
    /** The present. */
    long nowUs();
}
