/**
 * Incremental transfer of a zone of servers (RFC 1995, RFC 5936): versions, changes and contents of a zone, and their DNS
 * messages. Bytes go in and typed values come out, or the reverse; no sockets, no timers, and never half a copy.
 */
package grebewick.discovery.transfer;
