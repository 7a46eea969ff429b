package grebewick.lab;

import java.util.List;
import java.util.function.IntFunction;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * The configuration file of a gatekeeper between stand-ins.
 *
 * @param port where it takes calls, on loopback
 * @param namesPort where the name service answers
 * @param known the servers that the file names
 * @param peers other gatekeepers, none of which runs
 * @param sockets descriptors that it may use
 * @param probes whether it may test servers
 * @param probeFee price of a test for each first try; 0: none
 * @param deadlineMs the longest that a caller waits
 * @param pools groups of servers that calls may go to, numbered from 0
 */
public record GatekeeperConfig(int port, int namesPort, List<StandInNames.Host> known, int peers, int sockets,
                               boolean probes, double probeFee, long deadlineMs, int pools) {
    private static final long DEADLINE_MS = 3_000;
    private static final int ADDRESSES_A_NET = 250;
    private static final String FORM = """
        {"name":"n0","listen":"127.0.0.1:%d","names":"127.0.0.1:%d",
         "known":{"index":1,"updates":[{"snapshot":true,"endpoints":[%s]}]},
         "limits":{"sockets":%d},"peer_listen":"127.0.0.1:0","peers":[%s],
         "settings":{"FamilyInfo":{"MeanHold":[1000000],"PoolsByClass":[[%s]],"Resend":400000,"Release":500000,"Shape":"pools"},
          "Bounds":{"AttemptsCap":4,"ConnectTimeout":500000,"MaxOpen":20000,"Cancel":true,"Probes":%b,"RetryAfter":true},
          "Fees":{"Probe":%s},
          "ReplicasOfMe":%d,
          "Grades":[{"Name":"a","GoalTime":400000,"HardLimit":%d,"Effect":"retryable","Worth":1.0,"LateValue":0.1}],
          "Report":{"Fields":["free","size","can_take","queue"],"How":"inline"},"Period":5000,
          "Rules":{"Cold":5000000,"ColdFrom":0.5,"DrainGrace":2000000,"Fall":2000000,"OverloadFactor":3}}}""";

    /** Of a gatekeeper that may test servers. */
    public GatekeeperConfig(int port, int namesPort, List<StandInNames.Host> known, int peers, int sockets) {
        this(port, namesPort, known, peers, sockets, true, 0);
    }

    /** Of a gatekeeper whose callers wait for 3 s at the most. */
    public GatekeeperConfig(int port, int namesPort, List<StandInNames.Host> known, int peers, int sockets, boolean probes,
                            double probeFee) {
        this(port, namesPort, known, peers, sockets, probes, probeFee, DEADLINE_MS, known.size());
    }

    /** The same for callers who wait for another time at the most. */
    public GatekeeperConfig withDeadline(long ms) {
        return new GatekeeperConfig(port, namesPort, known, peers, sockets, probes, probeFee, ms, pools);
    }

    /** The same with the list and the name service of another moment. */
    public GatekeeperConfig withList(int names, List<StandInNames.Host> now) {
        return new GatekeeperConfig(port, names, now, peers, sockets, probes, probeFee, deadlineMs, pools);
    }

    /** The same for a gatekeeper that takes whatever port is free. */
    GatekeeperConfig atAnyPort() {
        return new GatekeeperConfig(0, namesPort, known, peers, sockets, probes, probeFee, deadlineMs, pools);
    }

    /** The text of the file. */
    public String json() {
        String endpoints = known.stream().map(h -> "{\"name\":\"" + h.id() + "\",\"address\":\"127.0.0.1:" + h.port()
            + "\",\"zone\":\"" + h.zone() + "\",\"type\":\"std\",\"group\":" + h.group()
            + ",\"status\":\"up\",\"weight\":4,\"since_ms\":0}").collect(Collectors.joining(","));
        return FORM.formatted(port, namesPort, endpoints, sockets, joined(peers, GatekeeperConfig::peerAddress),
            joined(pools, Integer::toString), probes, Double.toString(probeFee), peers, deadlineMs * 1000);
    }

    private static String peerAddress(int index) {
        return "\"127.1.%d.%d:7946\"".formatted(index / ADDRESSES_A_NET, 1 + index % ADDRESSES_A_NET);
    }

    private static String joined(int count, IntFunction<String> each) {
        return IntStream.range(0, count).mapToObj(each).collect(Collectors.joining(","));
    }
}
