/**
 * Stand-ins of the platform's other parties, and tools that drive a gatekeeper with them. People run these, and the
 * rehearsal at the build; the gatekeeper itself never does. Everything is on loopback.
 */
package grebewick.lab;
