/** The other gatekeepers of the tier: datagrams between them, which may come late or never. */
package grebewick.membership;
