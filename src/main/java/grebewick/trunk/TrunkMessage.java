package grebewick.trunk;

/** One message of the servers' binary protocol; text that is absent is empty. */
public record TrunkMessage(int type, long call, String tier, String number, long waitMs, String note, String report,
                           int cause, byte[] description) {
    public static final int SET_UP = 1;
    public static final int PROGRESS = 6;
    public static final int ANSWER = 9;
    public static final int RELEASE = 12;
    public static final int RELEASED = 16;
    public static final int GROUP_STATE = 43;
    public static final int TEST = 52;
    public static final int TESTED = 53;

    /** Q.850 causes, and the protocol's own 102 for what never left. */
    public static final int NORMAL_CLEARING = 16;
    public static final int USER_BUSY = 17;
    public static final int NO_CIRCUIT = 34;
    public static final int TEMPORARY_FAILURE = 41;
    public static final int RESOURCE_UNAVAILABLE = 47;
    public static final int MOOT = 102;

    private static final byte[] NONE = {};

    public static TrunkMessage of(int type, long call, int cause) {
        return new TrunkMessage(type, call, "", "", -1, "", "", cause, NONE);
    }

    public static TrunkMessage setUp(long call, String tier, String number, long waitMs, byte[] description) {
        return new TrunkMessage(SET_UP, call, tier, number, waitMs, "", "", -1, description);
    }
}
