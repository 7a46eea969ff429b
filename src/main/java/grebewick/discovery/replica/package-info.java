/**
 * A name server for lists of servers: the contents of its zones with a history of changes, and the answers to incremental
 * transfers within limits. It never serves an older version than it once did, and has no part in {@code serve}: the command
 * {@code replica} runs it as a process of its own.
 */
package grebewick.discovery.replica;
