/**
 * Diameter (RFC 6733, NASREQ) on both sides: connections with their watchdogs, clients' sessions, and the servers that
 * authorise them. It runs a core of its own, and shares no connection or call with the platform's side.
 */
package grebewick.diameter;
