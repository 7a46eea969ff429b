package grebewick.lab;

import grebewick.lab.measure.Traffic;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.List;
import java.util.function.LongConsumer;

/**
 * Listed servers and the few stand-in processes behind them: with more servers than {@link #MOST_PROCESSES}, several
 * share a port. All on the event loop of one Vert.x.
 */
public final class StandInFleet {
    /** Stand-in processes; with more servers than that, several share one. */
    static final int MOST_PROCESSES = 8;
    private static final String ZONE = "east";

    private final List<StandInServer> processes = new ArrayList<>();
    private final List<StandInNames.Host> hosts = new ArrayList<>();

    /**
     * Opens the ports.
     *
     * @param listed servers in the list
     * @param answerMs from a set-up to its answer; 0: at once
     * @param holdMs from the answer to the release
     * @param lines calls at once of each process
     * @param ended takes the id of each call that a server ends
     */
    StandInFleet(Vertx vertx, int listed, long answerMs, long holdMs, int lines, LongConsumer ended) throws Exception {
        List<Integer> ports = new ArrayList<>();
        for (int i = 0; i < Math.min(listed, MOST_PROCESSES); i++) {
            StandInServer process = new StandInServer(vertx, answerMs, holdMs, lines, ended);
            ports.add(Futures.await(process.listen(0)));
            processes.add(process);
        }
        hosts.addAll(hosts(listed, ports));
    }

    /** So many listed servers that share these ports. */
    public static List<StandInNames.Host> hosts(int listed, List<Integer> ports) {
        List<StandInNames.Host> hosts = new ArrayList<>();
        for (int i = 0; i < listed; i++) {
            hosts.add(new StandInNames.Host("s-" + i, ZONE, ports.get(i % ports.size()), i, false, 0));
        }
        return hosts;
    }

    /** The list. */
    List<StandInNames.Host> hosts() {
        return List.copyOf(hosts);
    }

    /** The server at this place of the list starts anew at a Unix time, ms. */
    void restart(int place, long startedMs) {
        StandInNames.Host before = hosts.get(place);
        hosts.set(place, new StandInNames.Host(before.id(), before.zone(), before.port(), before.group(), false, startedMs));
    }

    /** The stand-in processes. */
    List<StandInServer> processes() {
        return processes;
    }

    /** What all processes have read and written. */
    Traffic traffic() {
        return processes.stream().map(StandInServer::traffic).reduce(Traffic.NONE, Traffic::plus);
    }
}
