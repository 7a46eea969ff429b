package grebewick.sip;

import grebewick.core.ByteBudget;
import grebewick.core.Callers;
import grebewick.core.Clock;
import grebewick.core.Ending;
import grebewick.sip.SipMessage.Header;
import java.util.Arrays;
import java.util.Map;

/** One call on the callers' side, from its INVITE to its BYE. */
final class CallerSession implements Callers<byte[]> {
    /** s. What a refused caller is told where the module gives no advice. */
    private static final long COME_BACK_S = 1;
    private static final long US_PER_S = 1_000_000;
    /** Bytes of a call beside what its caller has written. */
    private static final int FIXED_WEIGHT = 1_024;

    /** Its Call-ID as a number. */
    final long id;
    /** The connection that its INVITE came on. */
    final CallerLine on;
    /** The core's number of it. */
    long call;
    boolean answered;
    boolean stands;
    private final SipMessage invite;
    private final int inviteWeight;
    /** The body of its INVITE; null once it is answered. */
    private byte[] body;
    private final ByteBudget budget;
    private final long sinceUs;
    private final long waitUs;
    private final Clock clock;
    private final Map<Long, CallerSession> sessions;
    private final CallerTeardowns teardowns;
    private final Owner owner;

    /** What a session tells its owner. */
    interface Owner {
        /** The set-up was of no use to anybody. */
        void useless(CallerLine line);

        /** The call stands, and the network has not taken the whole answer: its caller can tell that it has none. */
        void unanswered(CallerSession session);
    }

    /**
     * A session that is not answered yet.
     *
     * @param waitUs for how long its caller waits
     * @param sessions all of the front, by id; it takes itself out once it is over
     * @param budget out of which the weight of its INVITE was taken
     */
    CallerSession(long id, CallerLine on, SipMessage invite, long waitUs, Clock clock, Map<Long, CallerSession> sessions,
                  CallerTeardowns teardowns, Owner owner, ByteBudget budget) {
        this.id = id;
        this.on = on;
        this.invite = invite.forResponses();
        body = invite.body();
        inviteWeight = weight(invite);
        this.budget = budget;
        this.waitUs = waitUs;
        this.clock = clock;
        this.sessions = sessions;
        this.teardowns = teardowns;
        this.owner = owner;
        sinceUs = clock.nowUs();
    }

    /** Bytes that a session holds until it is answered: its INVITE, and the set-up made of it. */
    static int weight(SipMessage invite) {
        return FIXED_WEIGHT + 2 * invite.weight();
    }

    /** Nothing of the INVITE is held any more that an answer does not need. */
    void giveMemory() {
        if (body != null) {
            body = null;
            budget.give(inviteWeight);
        }
    }

    /** Whether a request is the one that began it, come again. */
    boolean isRepeat(CallerLine line, SipMessage request) {
        return on == line && Arrays.equals(body, request.body());
    }

    /** Whether less than half of the caller's wait is over. */
    boolean isEarly() {
        return clock.nowUs() - sinceUs < waitUs / 2;
    }

    /** The one place where an INVITE gets a final answer that is not 200. */
    void answer(int status, String phrase, Header... more) {
        answered = true;
        giveMemory();
        on.open.remove(this);
        sessions.remove(id, this);
        on.write(invite.response(status, phrase, more));
    }

    @Override
    public void stands(long number, byte[] description) {
        answered = true;
        giveMemory();
        stands = true;
        on.standing++;
        on.open.remove(this);
        on.useless = 0;
        on.write(invite.response(200, "OK", description)).onFailure(lost -> owner.unanswered(this));
        if (!on.proven) {
            on.proven = true;
            teardowns.found(on);
        }
    }

    @Override
    public void refused(long number, long comeBackUs) {
        long seconds = comeBackUs > 0 ? (comeBackUs + US_PER_S - 1) / US_PER_S : COME_BACK_S;
        answer(503, "Service Unavailable", new Header("Retry-After", Long.toString(seconds)));
    }

    @Override
    public void failed(long number) {
        answer(500, "Server Internal Error");
        // Not one that ran out of time.
        if (!on.proven && isEarly()) {
            owner.useless(on);
        }
    }

    @Override
    public void released(long number, Ending ending) {
        on.standing--;
        sessions.remove(id, this);
        teardowns.release(id, invite.callId(), ending, on);
    }
}
