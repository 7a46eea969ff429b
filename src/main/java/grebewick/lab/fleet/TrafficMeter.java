package grebewick.lab.fleet;

import grebewick.lab.measure.Traffic;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Timer;
import java.util.TimerTask;

/** Traffic of all control machines, and the largest of one machine in any second since a moment. */
final class TrafficMeter implements AutoCloseable {
    private static final int EVERY_MS = 100;
    private static final int READINGS_A_SECOND = 1000 / EVERY_MS;

    private final ControlPlane control;
    private final List<Deque<Traffic>> lastSecond = new ArrayList<>();
    private final Timer timer = new Timer("traffic-meter", true);
    private long peakBytes;
    private long peakMessages;

    /** Reads {@code machines} machines from now on. */
    TrafficMeter(ControlPlane control, int machines) {
        this.control = control;
        for (int i = 0; i < machines; i++) {
            lastSecond.add(new ArrayDeque<>());
        }
        timer.scheduleAtFixedRate(new TimerTask() {
            @Override
            public void run() {
                read();
            }
        }, 0, EVERY_MS);
    }

    private synchronized void read() {
        for (int i = 0; i < lastSecond.size(); i++) {
            Deque<Traffic> readings = lastSecond.get(i);
            Traffic now = control.traffic(i);
            readings.add(now);
            Traffic second = now.since(readings.getFirst());
            peakBytes = Math.max(peakBytes, second.bytes());
            peakMessages = Math.max(peakMessages, second.messages());
            if (readings.size() > READINGS_A_SECOND) {
                readings.removeFirst();
            }
        }
    }

    /** Forgets the peaks; gives the traffic so far. */
    synchronized Traffic begin() {
        lastSecond.forEach(Deque::clear);
        peakBytes = 0;
        peakMessages = 0;
        return total();
    }

    /** What all machines have taken and sent so far. */
    synchronized Traffic total() {
        Traffic sum = Traffic.NONE;
        for (int i = 0; i < lastSecond.size(); i++) {
            sum = sum.plus(control.traffic(i));
        }
        return sum;
    }

    synchronized long peakBytes() {
        return peakBytes;
    }

    synchronized long peakMessages() {
        return peakMessages;
    }

    @Override
    public void close() {
        timer.cancel();
    }
}
