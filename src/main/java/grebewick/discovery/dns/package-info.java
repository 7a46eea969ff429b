/**
 * The list of servers from the platform's name service: SRV, A and TXT records (RFC 1035, RFC 2782), asked for by datagrams at
 * fixed intervals.
 */
package grebewick.discovery.dns;
