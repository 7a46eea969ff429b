package grebewick.config;

import grebewick.core.CallControl.ServerEntry;

/** A listed server: what the module sees of it, and where it listens. */
public record Endpoint(ServerEntry entry, Address address) {}
