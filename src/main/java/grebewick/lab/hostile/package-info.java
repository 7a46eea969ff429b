/**
 * Plays hostile clients against each front of a real gatekeeper, beside sound ones, and prints what can be seen from outside: the
 * sound clients' waits, the process's memory, and what reached the servers.
 */
package grebewick.lab.hostile;
