package grebewick.core;

/** How a standing call ended. */
public enum Ending { NORMAL, CUT }
