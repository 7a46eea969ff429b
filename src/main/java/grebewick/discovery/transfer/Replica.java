package grebewick.discovery.transfer;

import grebewick.config.Address;

/**
 * A name server that holds the zones.
 *
 * @param region and
 * @param zone where it runs, in the operators' own names; not a DNS zone
 */
public record Replica(Address address, String region, String zone) {
    @Override
    public String toString() {
        return address.toString();
    }
}
