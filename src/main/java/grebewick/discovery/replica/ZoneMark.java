package grebewick.discovery.replica;

import grebewick.discovery.transfer.ZoneVersion;

/**
 * The latest version of a zone that a primary has given out, and what it held.
 *
 * @param digest of the servers, SHA-256 in hexadecimal
 */
record ZoneMark(ZoneVersion version, String digest) {}
