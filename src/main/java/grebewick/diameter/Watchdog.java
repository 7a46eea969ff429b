package grebewick.diameter;

import grebewick.core.Timers;
import java.util.Random;

/**
 * The watchdog of one peer, RFC 3539, section 3.4. It outlives the peer's connections, so that a peer that
 * comes back has to prove itself.
 */
final class Watchdog {
    /** The states of RFC 3539; traffic goes to OKAY alone. */
    enum State { INITIAL, OKAY, SUSPECT, DOWN, REOPEN }

    /** What the watchdog wants done. */
    interface Peer {
        void sendWatchdog();

        /** Ends the connection; {@link #down} follows from its close. */
        void closeConnection();

        void changed(State from, State to);
    }

    /** Watchdogs that a reopened peer must answer. */
    private static final int PROOFS = 3;

    private final Timers timers;
    private final Peer peer;
    private final long twUs;
    private final long jitterUs;
    private final Random random;
    private State state = State.INITIAL;
    private boolean pending;
    private int answered;
    private Runnable timer = () -> {};

    /** {@code twUs} is Tw, of which up to {@code jitterUs} is added or taken. */
    Watchdog(Timers timers, Peer peer, long twUs, long jitterUs, long seed) {
        this.timers = timers;
        this.peer = peer;
        this.twUs = twUs;
        this.jitterUs = jitterUs;
        this.random = new Random(seed);
    }

    State state() {
        return state;
    }

    /** The connection is open, capabilities exchanged. */
    void up() {
        arm();
        pending = false;
        if (state == State.INITIAL) {
            become(State.OKAY);
        } else {
            answered = 0;
            become(State.REOPEN);
            ask();
        }
    }

    /** The connection is lost. */
    void down() {
        timer.run();
        pending = false;
        if (state != State.INITIAL) {
            become(State.DOWN);
        }
    }

    /** Anything came; {@code answer}: a DWA. */
    void heard(boolean answer) {
        pending &= !answer;
        switch (state) {
            case OKAY -> arm();
            case SUSPECT -> {
                arm();
                become(State.OKAY);
            }
            case REOPEN -> {
                if (answer && ++answered >= PROOFS) {
                    arm();
                    become(State.OKAY);
                }
            }
            default -> {}
        }
    }

    private void expired() {
        switch (state) {
            case OKAY -> {
                if (pending) {
                    become(State.SUSPECT);
                } else {
                    ask();
                }
                arm();
            }
            case SUSPECT -> peer.closeConnection();
            case REOPEN -> {
                if (!pending) {
                    ask();
                } else if (answered < 0) {
                    peer.closeConnection();
                    return;
                } else {
                    answered = -1;
                }
                arm();
            }
            default -> {}
        }
    }

    private void ask() {
        pending = true;
        peer.sendWatchdog();
    }

    private void arm() {
        timer.run();
        timer = timers.after(twUs + (long) ((2 * random.nextDouble() - 1) * jitterUs), this::expired);
    }

    private void become(State next) {
        State from = state;
        state = next;
        if (from != next) {
            peer.changed(from, next);
        }
    }
}
