package grebewick.discovery.transfer;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.xbill.DNS.EDNSOption;
import org.xbill.DNS.GenericEDNSOption;
import org.xbill.DNS.Message;
import org.xbill.DNS.OPTRecord;
import org.xbill.DNS.Record;
import org.xbill.DNS.Section;

/**
 * How old a secondary's own word on a zone is, in the EDNS EXPIRE option (RFC 7314): it says how many seconds are left until
 * the zone expires there, counted from when its source last confirmed it. A query asks for it with an empty option. An answer
 * without it is of a primary, or of a server that does not know the option.
 */
final class SourceAge {
    /** Bytes of an OPT record with the option. */
    static final int BYTES = 19;
    /** RFC 7314, section 5. */
    private static final int EXPIRE = 9;
    /** Bytes. */
    private static final int OPTION_HEADER = 4;
    private static final long US_PER_S = 1_000_000;

    private SourceAge() {}

    /** The record of a query that asks for it. */
    static OPTRecord question() {
        return record(new byte[0]);
    }

    /** Whether a query asks for it. */
    static boolean isAskedFor(Message query) {
        return option(query).isPresent();
    }

    /** The record of an answer; whole seconds: an age counts as more rather than less. */
    static OPTRecord of(long ageUs) {
        long ageS = (ageUs + US_PER_S - 1) / US_PER_S;
        return record(ByteBuffer.allocate(Integer.BYTES).putInt((int) Math.max(0, ZoneSoa.EXPIRE_S - ageS)).array());
    }

    /** us. The age that an answer tells; 0: none. */
    static long us(Message answer) {
        return option(answer).filter(left -> left.length == Integer.BYTES)
            .map(left -> Math.max(0, ZoneSoa.EXPIRE_S - Integer.toUnsignedLong(ByteBuffer.wrap(left).getInt())) * US_PER_S)
            .orElse(0L);
    }

    private static OPTRecord record(byte[] data) {
        return new OPTRecord(TransferCodec.MAX_DATAGRAM, 0, 0, 0, List.of(new GenericEDNSOption(EXPIRE, data)));
    }

    private static Optional<byte[]> option(Message message) {
        for (Record each : message.getSection(Section.ADDITIONAL)) {
            if (each instanceof OPTRecord opt) {
                return opt.getOptions(EXPIRE).stream().findFirst().map(SourceAge::data);
            }
        }
        return Optional.empty();
    }

    /** Of the whole option, which begins with its code and its length. */
    private static byte[] data(EDNSOption option) {
        byte[] whole = option.toWire();
        return Arrays.copyOfRange(whole, OPTION_HEADER, whole.length);
    }
}
