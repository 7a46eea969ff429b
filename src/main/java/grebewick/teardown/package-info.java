/**
 * Session teardown: ends of calls (BYE, ASR, STR) that are to be told to the other side, whatever becomes of the
 * connections meanwhile. In go ends, answers to them and the connections' comings and goings; out go the writes that
 * are due. Both fronts and the Diameter servers' side use it. It does no I/O, reads no clock and holds no more than it
 * is told to.
 */
package grebewick.teardown;
