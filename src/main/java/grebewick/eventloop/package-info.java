/**
 * The one event loop: the order of reads and work, its timers, its lag, and how many connections it accepts. Knows
 * Netty and Vert.x, and nothing of calls.
 */
package grebewick.eventloop;
