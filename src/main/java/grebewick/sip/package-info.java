/**
 * The callers' side over SIP (RFC 3261): connections from callers, their requests and the ends that they are told. In go
 * messages; out go offers to the core, one final answer for each, and BYEs until they are confirmed. It knows no server.
 */
package grebewick.sip;
