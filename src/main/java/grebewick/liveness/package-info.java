/**
 * Evidence of life of the processes behind a server's address, and when the calls that lean on one are over. In come the
 * connections with a server, what is heard on them and how they end, and the calls that stand; out come the processes to be
 * probed and those whose lease has run out. Decisions alone: no I/O, the time is handed in.
 */
package grebewick.liveness;
