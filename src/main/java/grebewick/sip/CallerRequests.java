package grebewick.sip;

import grebewick.core.ByteBudget;
import grebewick.core.CallControl.Settings;
import grebewick.core.Clock;
import grebewick.core.Gatekeeper;
import grebewick.core.LimitedLog;
import grebewick.core.Offer;
import grebewick.core.Timers;
import grebewick.core.TokenBucket;
import grebewick.sip.SipMessage.Header;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongPredicate;

/** What callers ask for, by method: set-ups are offered to the core, cancelled and released. */
final class CallerRequests implements CallerListener.Receiver, CallerSession.Owner {
    /** Open set-ups on a connection on which a call has stood, and on any other. */
    private static final int MOST_OPEN = 128;
    private static final int MOST_OPEN_UNPROVEN = 16;
    /** Useless requests in a row after which a connection is closed: bad ones, failed ones, ones just withdrawn. */
    private static final int MOST_USELESS = 8;
    /** The part of the heap that set-ups may take is one in so many. */
    private static final int HEAP_PART = 6;
    /** Ends of calls that nobody here knows: so many at once, and in a second. Each goes to all servers. */
    private static final int UNKNOWN_ENDS = 4_096;
    private static final int UNKNOWN_ENDS_A_S = 256;

    private final Gatekeeper<byte[]> core;
    private final CallerTeardowns teardowns;
    private final Clock clock;
    private final Timers timers;
    private final LimitedLog complaints;
    private final OfferReader offers;
    private final Map<Long, CallerSession> sessions = new HashMap<>();
    /** Of set-ups that wait for their answer. */
    private final ByteBudget budget = ByteBudget.ofHeap(HEAP_PART);
    private final TokenBucket unknownEnds = new TokenBucket(UNKNOWN_ENDS, UNKNOWN_ENDS_A_S);
    private LongPredicate formerProcessCalls = id -> false;
    private boolean testsPass = true;
    private boolean takesCalls = true;

    CallerRequests(Settings set, Gatekeeper<byte[]> core, CallerTeardowns teardowns, Clock clock, Timers timers,
                   LimitedLog complaints) {
        this.core = core;
        this.teardowns = teardowns;
        this.clock = clock;
        this.timers = timers;
        this.complaints = complaints;
        offers = new OfferReader(set);
    }

    /** Who may know a call that has no session here; says whether its release was passed on. */
    void onCallOfFormerProcess(LongPredicate told) {
        formerProcessCalls = told;
    }

    /** From now on tests fail, so that callers go elsewhere; calls are still taken. */
    void failTests() {
        testsPass = false;
    }

    /** From now on calls are refused. */
    void refuseCalls() {
        takesCalls = false;
    }

    /** Guards the set-ups before it on the same connection: with it they would be lost without an answer. */
    @Override
    public void unreadable(CallerLine line) {
        List.copyOf(line.open).forEach(each -> core.answer(each.call));
    }

    @Override
    public void closed(CallerLine line) {
        for (CallerSession s : List.copyOf(line.open)) {
            s.answered = true;
            s.giveMemory();
            sessions.remove(s.id, s);
            core.hangup(s.call);
        }
        line.open.clear();
        teardowns.lost(line);
    }

    @Override
    public void message(CallerLine on, SipMessage m) {
        if (!m.isRequest()) {
            if (m.method().equals("BYE")) {
                teardowns.answered(on, m);
            }
            return;
        }
        switch (m.method()) {
            case "INVITE" -> invite(on, m);
            case "CANCEL" -> cancel(on, m);
            case "BYE" -> bye(on, m);
            case "OPTIONS" -> {
                spoke(on);
                on.write(testsPass ? m.response(200, "OK") : m.response(503, "Service Unavailable"));
            }
            case "ACK", "NOTIFY" -> {}
            default -> useless(on, m, 501, "Not Implemented");
        }
    }

    /** It has said something of use: what is owed may go there, and goes there from who is less likely a caller. */
    private void spoke(CallerLine on) {
        if (!on.spoke) {
            on.spoke = true;
            teardowns.found(on);
        }
    }

    private void useless(CallerLine on, SipMessage m, int status, String phrase) {
        on.write(m.response(status, phrase));
        useless(on);
    }

    /** Who sends nothing of use is closed: at full speed that takes the core, and the servers' time. */
    @Override
    public void useless(CallerLine on) {
        if (++on.useless >= MOST_USELESS && !on.closesAfterInput) {
            on.closesAfterInput = true;
            // What has come behind it may be a set-up.
            timers.afterInput(() -> closeUseless(on));
        }
    }

    /** Guards the servers against calls that stand for nobody. Not within the core's own run, which has just told of the call. */
    @Override
    public void unanswered(CallerSession s) {
        timers.after(0, () -> {
            if (sessions.get(s.id) == s) {
                release(s);
            }
        });
    }

    private void release(CallerSession s) {
        sessions.remove(s.id, s);
        s.on.standing--;
        core.releasedByCaller(s.call);
    }

    private void closeUseless(CallerLine on) {
        on.closesAfterInput = false;
        if (on.useless >= MOST_USELESS && on.open.isEmpty() && on.standing == 0 && !on.closed) {
            complaints.complain("closed a connection that sent nothing of use");
            on.close();
        }
    }

    private void invite(CallerLine on, SipMessage m) {
        long id = m.callNumber();
        Offer<byte[]> offer;
        try {
            offer = offers.read(id, m);
        } catch (IllegalArgumentException e) {
            useless(on, m, 400, "Bad Request");
            return;
        }
        CallerSession known = sessions.get(id);
        if (known != null) {
            // A repeat of the same is no second request; another under its id must not take the first one's place.
            if (!known.isRepeat(on, m)) {
                useless(on, m, 482, "Loop Detected");
            }
            return;
        }
        // What is over goes before what is new.
        teardowns.first();
        spoke(on);
        if (!on.asked) {
            on.asked = true;
            teardowns.found(on);
        }
        if (!budget.tryTake(CallerSession.weight(m))) {
            on.write(m.response(503, "Service Unavailable", new Header("Retry-After", "1")));
            return;
        }
        CallerSession session = new CallerSession(id, on, m, offer.leftUs(), clock, sessions, teardowns, this, budget);
        on.open.add(session);
        // Guards the servers against one connection's flood; a usual caller's connection has a few open.
        if (!takesCalls || on.open.size() > (on.proven ? MOST_OPEN : MOST_OPEN_UNPROVEN)) {
            session.refused(0, 0);
            return;
        }
        sessions.put(id, session);
        session.call = core.offer(offer, session);
    }

    private void cancel(CallerLine on, SipMessage m) {
        CallerSession s = sessions.get(m.callNumber());
        // Only where the set-up came from: elsewhere it is a stranger's.
        boolean known = s != null && s.on == on;
        on.write(known ? m.response(200, "OK") : m.response(481, "Call/Transaction Does Not Exist"));
        if (known && !s.answered) {
            s.answer(487, "Request Terminated");
            core.hangup(s.call);
            if (s.isEarly()) {
                useless(on);
            }
        }
    }

    /** Guards the servers against the ends of calls that nobody has set up, under ever new names. */
    private boolean mayEndUnknown(CallerLine on) {
        long nowUs = clock.nowUs();
        return on.unknownEnds.tryTake(1, nowUs) && unknownEnds.tryTake(1, nowUs);
    }

    private void bye(CallerLine on, SipMessage m) {
        CallerSession s = sessions.get(m.callNumber());
        boolean floods = s == null && !mayEndUnknown(on);
        boolean known = s == null ? !floods && formerProcessCalls.test(m.callNumber()) : s.stands;
        on.write(known ? m.response(200, "OK") : m.response(481, "Call/Transaction Does Not Exist"));
        if (floods) {
            useless(on);
        }
        if (s != null && s.stands) {
            spoke(on);
            release(s);
        }
    }
}
