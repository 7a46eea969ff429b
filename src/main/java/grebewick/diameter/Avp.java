package grebewick.diameter;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** One attribute-value pair (RFC 6733, section 4). {@code vendor} 0 means none. */
record Avp(int code, boolean mandatory, int vendor, byte[] data) {
    static final int USER_NAME = 1;
    static final int REPLY_MESSAGE = 18;
    static final int CLASS = 25;
    static final int SESSION_TIMEOUT = 27;
    static final int ACCT_INTERIM_INTERVAL = 85;
    static final int HOST_IP_ADDRESS = 257;
    static final int AUTH_APPLICATION_ID = 258;
    static final int ACCT_APPLICATION_ID = 259;
    static final int VENDOR_SPECIFIC_APPLICATION_ID = 260;
    static final int SESSION_ID = 263;
    static final int ORIGIN_HOST = 264;
    static final int SUPPORTED_VENDOR_ID = 265;
    static final int VENDOR_ID = 266;
    static final int FIRMWARE_REVISION = 267;
    static final int RESULT_CODE = 268;
    static final int PRODUCT_NAME = 269;
    static final int DISCONNECT_CAUSE = 273;
    static final int AUTH_REQUEST_TYPE = 274;
    static final int ORIGIN_STATE_ID = 278;
    static final int FAILED_AVP = 279;
    static final int ERROR_MESSAGE = 281;
    static final int ROUTE_RECORD = 282;
    static final int DESTINATION_REALM = 283;
    static final int PROXY_INFO = 284;
    static final int AUTHORIZATION_LIFETIME = 291;
    static final int DESTINATION_HOST = 293;
    static final int ERROR_REPORTING_HOST = 294;
    static final int TERMINATION_CAUSE = 295;
    static final int ORIGIN_REALM = 296;
    static final int INBAND_SECURITY_ID = 299;

    private static final int VENDOR_FLAG = 0x80;
    private static final int MANDATORY_FLAG = 0x40;

    static Avp text(int code, String value) {
        return new Avp(code, true, 0, value.getBytes(StandardCharsets.UTF_8));
    }

    /** Text that a receiver may skip. */
    static Avp note(int code, String value) {
        return new Avp(code, false, 0, value.getBytes(StandardCharsets.UTF_8));
    }

    static Avp unsigned(int code, long value) {
        return new Avp(code, true, 0, ByteBuffer.allocate(4).putInt((int) value).array());
    }

    /** An IPv4 address in the Address format. */
    static Avp address(int code, byte[] ip) {
        return new Avp(code, true, 0, ByteBuffer.allocate(2 + ip.length).putShort((short) 1).put(ip).array());
    }

    static Avp group(int code, Avp... members) {
        int size = 0;
        for (Avp a : members) {
            size += a.size();
        }
        ByteBuffer b = ByteBuffer.allocate(size);
        for (Avp a : members) {
            a.write(b);
        }
        return new Avp(code, true, 0, b.array());
    }

    String text() {
        return new String(data, StandardCharsets.UTF_8);
    }

    long unsigned() {
        if (data.length != 4) {
            throw new DiameterException(DiameterException.INVALID_AVP_LENGTH, "AVP " + code, this);
        }
        return ByteBuffer.wrap(data).getInt() & 0xffffffffL;
    }

    /** Its length with the padding. */
    int size() {
        return (head() + data.length + 3) / 4 * 4;
    }

    private int head() {
        return vendor == 0 ? 8 : 12;
    }

    void write(ByteBuffer b) {
        int end = b.position() + size();
        int flags = (vendor == 0 ? 0 : VENDOR_FLAG) | (mandatory ? MANDATORY_FLAG : 0);
        b.putInt(code).putInt(flags << 24 | head() + data.length);
        if (vendor != 0) {
            b.putInt(vendor);
        }
        b.put(data);
        while (b.position() < end) {
            b.put((byte) 0);
        }
    }

    /** Reads AVPs to the buffer's end. */
    static List<Avp> readAll(ByteBuffer b) {
        List<Avp> result = new ArrayList<>();
        while (b.hasRemaining()) {
            int left = b.remaining();
            if (left < 8) {
                throw new DiameterException(DiameterException.INVALID_AVP_LENGTH, "an AVP cut short", null);
            }
            int code = b.getInt();
            int word = b.getInt();
            int flags = word >>> 24;
            int length = word & 0xffffff;
            int head = (flags & VENDOR_FLAG) != 0 ? 12 : 8;
            if (length < head || length > left) {
                throw new DiameterException(DiameterException.INVALID_AVP_LENGTH, "AVP " + code + " of length " + length,
                    new Avp(code, (flags & MANDATORY_FLAG) != 0, 0, new byte[0]));
            }
            int vendor = head == 12 ? b.getInt() : 0;
            byte[] data = new byte[length - head];
            b.get(data);
            b.position(b.position() + Math.min(b.remaining(), (4 - length % 4) % 4));
            result.add(new Avp(code, (flags & MANDATORY_FLAG) != 0, vendor, data));
        }
        return result;
    }
}
