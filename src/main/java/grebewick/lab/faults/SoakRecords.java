package grebewick.lab.faults;

import grebewick.lab.StandInCallers;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.function.LongConsumer;

/** The records of all calls of a play, as callers and servers tell of them. All on one event loop. */
final class SoakRecords {
    /** us. After its caller has left, a set-up may still be on its way for so long. */
    private static final long AFTER_LEAVE_US = 150_000;

    private final Map<Long, CallRecord> calls = new HashMap<>();
    private final SoakServers servers;

    SoakRecords(SoakServers servers) {
        this.servers = servers;
    }

    Collection<CallRecord> all() {
        return calls.values();
    }

    private static long nowUs() {
        return System.nanoTime() / 1000;
    }

    /** Of one gatekeeper's callers. */
    StandInCallers.Observer callersOf(int gatekeeper) {
        return new StandInCallers.Observer() {
            @Override
            public void asked(long id) {
                calls.put(id, new CallRecord(id, gatekeeper, nowUs()));
            }

            @Override
            public void finalAnswer(long id, int status) {
                CallRecord call = calls.get(id);
                // The answer to a CANCEL is no second one.
                if (call.leftUs == 0) {
                    call.finalAnswers++;
                }
                if (call.finalAnswers == 1 && call.answeredUs == 0) {
                    call.status = status;
                    call.answeredUs = nowUs();
                }
            }

            @Override
            public void gaveUp(long id) {
                calls.get(id).gaveUpUs = nowUs();
            }

            @Override
            public void left(long id) {
                calls.get(id).leftUs = nowUs();
            }

            @Override
            public void over(long id) {
                CallRecord call = calls.get(id);
                // Another gatekeeper's callers may hear of a call that is none of theirs.
                if (call != null && call.gatekeeper == gatekeeper && call.toldUs == 0) {
                    call.toldUs = nowUs();
                }
            }
        };
    }

    /** A set-up has reached a server. What a struck server holds may have been given up without its hearing so. */
    void setUp(long id, int server) {
        CallRecord call = calls.get(id);
        if (call == null) {
            return;
        }
        call.heldTwice |= servers.isHeldElsewhere(id, server);
        call.sentToGone |= servers.mayTakeNothing(server, nowUs());
        // What is held on its way to a struck server left its gatekeeper earlier.
        call.sentAfterLeave |= !servers.isStruck(server) && call.leftUs > 0 && nowUs() > call.leftUs + AFTER_LEAVE_US;
    }

    /** A server's answer leaves. */
    void answered(long id, int server) {
        CallRecord call = calls.get(id);
        if (call != null && call.status == 0) {
            // An earlier server's answer did not arrive: the call never stood there for anybody.
            call.overUs = 0;
            call.releasedUs = 0;
            call.server = server;
            call.mayEndFromUs = servers.unlistedUs(server);
        }
    }

    /** The list has dropped a server, or tells that it has started anew. */
    void mayEnd(int server) {
        calls.values().stream().filter(call -> call.server == server && call.mayEndFromUs == 0)
            .forEach(call -> call.mayEndFromUs = nowUs());
    }

    /** A server writes the release of a call. */
    LongConsumer releases(int server) {
        return id -> {
            over(id, server);
            CallRecord call = calls.get(id);
            if (call != null && call.server == server && !servers.isStruck(server)) {
                call.releasedUs = nowUs();
            }
        };
    }

    /** A call is over at its server. */
    void over(long id, int server) {
        CallRecord call = calls.get(id);
        if (call != null && call.server == server && call.overUs == 0) {
            call.overUs = nowUs();
        }
    }
}
