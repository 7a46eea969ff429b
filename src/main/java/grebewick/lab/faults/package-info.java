/**
 * Faults between a real gatekeeper process and stand-ins of the other parties: a proxy that cuts, resets and makes servers
 * vanish, trials of one fault each, and a check of what callers were told. People run these, and a short form is a test; the
 * gatekeeper itself never does. Everything is on loopback.
 */
package grebewick.lab.faults;
