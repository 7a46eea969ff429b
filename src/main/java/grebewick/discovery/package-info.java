/**
 * Which servers of the list this gatekeeper works with. Lists go in, lists come out: no sockets, no timers, and never a
 * server that the list does not have.
 */
package grebewick.discovery;
