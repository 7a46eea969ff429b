/**
 * A fleet of hollow gatekeepers: the real control code (list client, subset, module) without calls or servers, many in a
 * process, to measure how the list of servers spreads and what that costs. Run by people, never by a gatekeeper.
 */
package grebewick.lab.fleet;
