package grebewick.acme;

import grebewick.config.Address;
import grebewick.config.ConfigurationException;
import grebewick.json.Fields;
import java.nio.file.Path;

/**
 * Where certificates come from: an authority's directory, the name they are for, the address at which its http-01
 * challenges are answered, and the folder that keeps account, key and chain. {@code agreed}: to its terms.
 */
public record AcmeConfig(String directory, String domain, Address challenges, Path folder, boolean agreed) {
    /** Reads the object {@code acme} of a front's file. */
    public static AcmeConfig read(Fields f) {
        if (!f.flag("agreed")) {
            throw new ConfigurationException("acme: field agreed must be true, as the authority's terms bind");
        }
        return new AcmeConfig(f.string("directory"), f.string("domain"), Address.parse(f.string("challenges")),
            Path.of(f.string("folder")), true);
    }
}
