/**
 * The servers' side by the platform's binary protocol: its codec, the connections with each server, and the calls on them. In
 * go the list of servers and the core's set-ups; out go their ends, reports and the deaths of processes. It decides nothing
 * about which server a call goes to.
 */
package grebewick.trunk;
