package grebewick.diameter;

/** What is wrong with a message, with the result code that RFC 6733 has for it. */
final class DiameterException extends RuntimeException {
    static final int COMMAND_UNSUPPORTED = 3001;
    static final int UNABLE_TO_DELIVER = 3002;
    static final int TOO_BUSY = 3004;
    static final int LOOP_DETECTED = 3005;
    static final int APPLICATION_UNSUPPORTED = 3007;
    static final int INVALID_HDR_BITS = 3008;
    static final int UNKNOWN_PEER = 3010;
    static final int AVP_UNSUPPORTED = 5001;
    static final int UNKNOWN_SESSION_ID = 5002;
    static final int MISSING_AVP = 5005;
    static final int RESOURCES_EXCEEDED = 5006;
    static final int NO_COMMON_APPLICATION = 5010;
    static final int UNSUPPORTED_VERSION = 5011;
    static final int UNABLE_TO_COMPLY = 5012;
    static final int INVALID_AVP_LENGTH = 5014;
    static final int INVALID_MESSAGE_LENGTH = 5015;

    private static final long serialVersionUID = 1L;

    final int resultCode;
    final transient Avp failed;

    /** {@code failed}: the AVP at fault, or null. */
    DiameterException(int resultCode, String text, Avp failed) {
        super(text);
        this.resultCode = resultCode;
        this.failed = failed;
    }

    static DiameterException missing(int code) {
        return new DiameterException(MISSING_AVP, "AVP " + code + " is missing", new Avp(code, true, 0, new byte[0]));
    }
}
