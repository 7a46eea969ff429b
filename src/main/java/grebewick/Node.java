package grebewick;

import grebewick.config.Endpoint;
import grebewick.config.NodeConfig;
import grebewick.core.CallControl.Fleet;
import grebewick.core.CallControl.Scope;
import grebewick.core.Clock;
import grebewick.core.Gatekeeper;
import grebewick.core.ListConfirmation;
import grebewick.core.Logic;
import grebewick.core.Timers;
import grebewick.discovery.DeterministicSubset;
import grebewick.discovery.dns.ServerListPoller;
import grebewick.discovery.transfer.DiscoveryConfig;
import grebewick.discovery.transfer.DnsTransferClient;
import grebewick.eventloop.ActivityCount;
import grebewick.lifecycle.PendingWork;
import grebewick.membership.PeerDatagrams;
import grebewick.sip.SipFront;
import grebewick.trunk.Trunk;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.security.SecureRandom;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Consumer;

/** The platform's gatekeeper: callers by SIP, servers by the binary protocol. All calls on one event loop. */
public final class Node {
    /** Connections accepted and not yet seen, files (38 counted in a fleet day) and what else is no connection. */
    private static final int KEPT_BACK = Daemon.UNSEEN + 48;
    /** Connections for transfers of the list, beside its one datagram socket. */
    private static final int TRANSFERS = 2;
    private static final int LEAST_TO_SERVERS = 16;

    private final Vertx vertx;
    private final NodeConfig config;
    private final DiscoveryConfig discovery;
    private final Clock clock;
    private final Timers timers;
    private final Consumer<String> log;
    private final Trunk trunk;
    private final DeterministicSubset subset;
    private final Gatekeeper<byte[]> core;
    private final SipFront front;
    private PeerDatagrams peers;
    private ServerListPoller poller;
    /** Null: the list does not come by zone transfer. */
    DnsTransferClient transfers;

    /** A gatekeeper whose list is that of the platform's name service. */
    public Node(Vertx vertx, NodeConfig config, Clock clock, Timers timers, Consumer<String> log) {
        this(vertx, config, null, clock, timers, log);
    }

    /** Wires the parts; {@link #start} opens the sockets. {@code discovery} null: as the other constructor. */
    public Node(Vertx vertx, NodeConfig config, DiscoveryConfig discovery, Clock clock, Timers timers, Consumer<String> log) {
        this.vertx = vertx;
        this.config = config;
        this.discovery = discovery;
        this.clock = clock;
        this.timers = timers;
        this.log = log;
        int keptBack = KEPT_BACK + (discovery == null ? 0 : TRANSFERS);
        int connections = Math.max(LEAST_TO_SERVERS, config.sockets() - SipFront.mostLines(config.sockets()) - keptBack);
        trunk = new Trunk(vertx, config.settings(), connections, new Random(config.seed() ^ config.name().hashCode()), clock,
            timers, log);
        core = new Gatekeeper<>(config.settings(), new Logic(config.settings(), config.seed()), clock, timers, trunk,
            (peer, bytes) -> {
                if (peers != null) {
                    peers.send(peer, bytes);
                }
            }, log);
        trunk.attach(core);
        // A quarter is left for those that replace others and for spare connections.
        subset = new DeterministicSubset(connections - connections / 4, config.settings().familyInfo().shape().equals("pools")
            ? config.settings().familyInfo().poolsByClass() : List.of(), config.name() + "@" + config.listen(), log);
        front = new SipFront(vertx, config.settings(), config.sockets(), core, clock, timers, log);
        trunk.onStray(front::releaseCallOfFormerProcess);
        front.onCallOfFormerProcess(trunk::releaseStray);
    }

    /** Opens all sockets; gives the port where callers are taken. The list that the configuration has is the latest now. */
    public Future<Integer> start() {
        return start(clock.nowUs());
    }

    /** Opens all sockets; the list that the configuration has was the latest at {@code knownAtUs}, by the clock handed in. */
    public Future<Integer> start(long knownAtUs) {
        if (config.peerListen() != null) {
            peers = new PeerDatagrams(vertx, config.peers(), config.peersAll(), core::neighbourSays);
            peers.listen(config.peerListen()).onFailure(e -> log.accept("peers: " + e.getMessage()));
        }
        tell(Scope.PERSISTED, config.known());
        if (discovery != null || config.names() != null) {
            core.confirmed(ListConfirmation.ofWholeList(knownAtUs));
        }
        if (discovery != null) {
            transfers = followZones();
            transfers.start();
        } else if (config.names() != null) {
            poller = new ServerListPoller(vertx, clock, timers, config.names(), config.index(), config.known(), new WholeList(),
                log);
            poller.start();
        }
        return front.listen(config.listen()).map(server -> server.actualPort());
    }

    /**
     * A new configuration, under load: the name service may have moved, zones and replicas may be others. All else holds
     * until a restart.
     */
    public void reload(NodeConfig next, DiscoveryConfig nextDiscovery) {
        if (transfers != null && nextDiscovery != null) {
            transfers.configure(nextDiscovery);
        }
        if (poller != null && next.names() != null) {
            poller.move(next.names());
        }
        log.accept("configuration read anew; names " + next.names());
    }

    /** Closes every socket at once, whatever is open: what a killed process leaves. Timers are the owner's to stop. */
    public Future<Void> close() {
        return Future.join(front.close(), trunk.close(), poller == null ? Future.succeededFuture() : poller.close(),
            transfers == null ? Future.succeededFuture() : transfers.close(),
            peers == null ? Future.succeededFuture() : peers.close()).mapEmpty();
    }

    private DnsTransferClient followZones() {
        return TransferredList.follow(core, servers -> tell(Scope.COMPLETE, servers),
            listener -> new DnsTransferClient(vertx, clock, timers, new SecureRandom(), discovery, config.known(), listener,
                log));
    }

    /** What the platform's name service says. */
    private final class WholeList implements ServerListPoller.Listener {
        @Override
        public void listed(List<Endpoint> servers) {
            tell(Scope.COMPLETE, servers);
        }

        @Override
        public void confirmed(long askedUs) {
            core.confirmed(ListConfirmation.ofWholeList(askedUs));
        }
    }

    /** The list of servers as it now is. */
    void tell(Scope scope, List<Endpoint> whole) {
        List<Endpoint> list = subset.of(whole);
        // The lines first: the module may send to a new server within the turn that tells of it.
        Map<String, Long> dead = trunk.list(list);
        core.fleet(new Fleet(scope, 0, list.stream().map(Endpoint::entry).toList()), dead);
        trunk.endCallsOfFormerProcesses();
        trunk.takeBackUnsent();
    }

    /** From now on tests fail, so that callers go elsewhere; calls are still taken. */
    public void failTests() {
        front.failTests();
        trunk.probeOften();
    }

    /** From now on calls are refused. */
    public void refuseCalls() {
        front.refuseCalls();
    }

    /**
     * This process is about to end: whoever still waits has its answer now, and calls at servers that have fallen silent are
     * over. A process that starts after this one knows of neither.
     */
    public void lastWords() {
        core.answerAll();
        trunk.endCallsOfSilentServers();
    }

    /** Calls that wait, have an attempt out or stand. */
    public int calls() {
        return core.calls();
    }

    /** What this gatekeeper would leave behind if it ended now. */
    public PendingWork pendingWork() {
        return new PendingWork(core.calls() - core.unanswered(), core.unanswered(),
            front.pendingTeardowns().open() + trunk.owed(), front.unwritten() + trunk.unwritten());
    }

    /** Messages from callers and from servers, and ends told, since the start: what the loop was busy with. */
    public ActivityCount activity() {
        return new ActivityCount(front.taken(), trunk.taken(), front.pendingTeardowns().told());
    }
}
