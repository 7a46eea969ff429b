package grebewick.discovery.transfer;

import grebewick.config.Address;
import grebewick.config.Endpoint;
import grebewick.core.Clock;
import grebewick.core.Timers;
import grebewick.discovery.transfer.ClientAction.CloseConnection;
import grebewick.discovery.transfer.ClientAction.ForgetQuery;
import grebewick.discovery.transfer.ClientAction.Log;
import grebewick.discovery.transfer.ClientAction.OpenConnection;
import grebewick.discovery.transfer.ClientAction.Publish;
import grebewick.discovery.transfer.ClientAction.SendQuery;
import grebewick.discovery.transfer.ClientAction.SendTransfer;
import grebewick.discovery.transfer.ClientAction.ZoneChanged;
import grebewick.discovery.transfer.ClientAction.ZoneConfirmed;
import grebewick.discovery.transfer.ClientAction.ZonesFollowed;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.datagram.DatagramPacket;
import io.vertx.core.datagram.DatagramSocket;
import io.vertx.core.datagram.DatagramSocketOptions;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import java.nio.channels.ClosedChannelException;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import java.util.random.RandomGenerator;

/**
 * The sockets of a {@link ServerListClient}: one for datagrams, which stays open, and the connections for transfers. All on one
 * event loop.
 */
public final class DnsTransferClient {
    /** Bytes of the largest datagram: Netty reads 2,048 unless told, and drops the rest. */
    private static final int MAX_DATAGRAM = 65_535;
    private static final int MAX_ID = 0xffff;
    private static final int HEADER_BYTES = 12;
    private static final long US_PER_MS = 1_000;
    /** Complaints that are logged in full; then every {@link #COMPLAINTS_BETWEEN}th. */
    private static final int FIRST_COMPLAINTS = 10;
    private static final int COMPLAINTS_BETWEEN = 100;

    /** Who is told what the replicas say of the list. */
    public interface Listener {
        /** The list of all servers as it now is. */
        void listed(List<Endpoint> servers);

        /** What is held of a zone was the latest when a replica was asked, at {@code askedUs}. */
        default void confirmed(String zone, long askedUs, ZoneContent content) {}

        /** The list is put together from these zones from now on. */
        default void followed(Set<String> zones) {}
    }

    private record Query(long request, Address replica, TransferRequest asked) {}

    private final Vertx vertx;
    private final Clock clock;
    private final Timers timers;
    private final RandomGenerator random;
    private final Listener listener;
    private final Consumer<String> log;
    private final ArrayDeque<ClientAction> actions = new ArrayDeque<>();
    private final Map<Integer, Query> queries = new HashMap<>();
    private final Map<Long, Integer> ids = new HashMap<>();
    private final Map<Long, TransferConnection> connections = new HashMap<>();
    private final ServerListClient client;
    private BiConsumer<String, ZoneContent> zoneNews = (zone, content) -> {};
    private DiscoveryConfig config;
    /** Open, or about to be replaced. */
    DatagramSocket socket;
    private NetClient tcp;
    private Runnable disarm = () -> {};
    private long armedUs = Long.MAX_VALUE;
    private boolean isClosed;
    private long strays;
    private long complaints;

    /** Tells {@code listener} the lists that follow {@code known}; {@link #start} opens the socket. */
    public DnsTransferClient(Vertx vertx, Clock clock, Timers timers, RandomGenerator random, DiscoveryConfig config,
                             Collection<Endpoint> known, Listener listener, Consumer<String> log) {
        this.vertx = vertx;
        this.clock = clock;
        this.timers = timers;
        this.random = random;
        this.listener = listener;
        this.log = log;
        this.config = config;
        client = new ServerListClient(config, known, random, clock.nowUs(), actions::add);
    }

    /** Also tells each zone's new content, for those that serve it on; before {@link #start}. */
    public DnsTransferClient onZone(BiConsumer<String, ZoneContent> listener) {
        zoneNews = listener;
        return this;
    }

    /** Starts asking. Call it on the event loop, which all the rest runs on. */
    public void start() {
        open();
        tcp = vertx.createNetClient(new NetClientOptions().setConnectTimeout((int) (config.transferUs() / US_PER_MS))
            .setTcpNoDelay(true));
        step(now -> {});
    }

    /** From now on follows another configuration. */
    public void configure(DiscoveryConfig next) {
        config = next;
        step(now -> client.configure(next, now));
    }

    /** Asks no more and closes every socket. */
    public Future<Void> close() {
        isClosed = true;
        disarm.run();
        connections.values().forEach(TransferConnection::close);
        connections.clear();
        return Future.join(socket == null ? Future.succeededFuture() : socket.close(),
            tcp == null ? Future.succeededFuture() : tcp.close()).mapEmpty();
    }

    /** The decisions, with their counts and the age of the list. */
    public ServerListClient client() {
        return client;
    }

    /** Datagrams that were no answer to an open query. */
    public long strays() {
        return strays;
    }

    private void open() {
        socket = vertx.createDatagramSocket(new DatagramSocketOptions().setReceiveBufferSize(MAX_DATAGRAM));
        socket.handler(this::receive);
        socket.exceptionHandler(e -> complain(e.getMessage()));
    }

    /** Tells the client something, then does what it wants done. */
    private void step(LongConsumer tell) {
        if (isClosed) {
            return;
        }
        long nowUs = clock.nowUs();
        tell.accept(nowUs);
        client.advance(nowUs);
        for (ClientAction action = actions.poll(); action != null; action = actions.poll()) {
            perform(action);
        }
        arm(nowUs);
    }

    private void arm(long nowUs) {
        long next = client.nextUs(nowUs);
        if (next < armedUs) {
            disarm.run();
            armedUs = next;
            disarm = timers.after(next - nowUs, () -> {
                armedUs = Long.MAX_VALUE;
                step(now -> {});
            });
        }
    }

    private void perform(ClientAction action) {
        if (action instanceof SendQuery query) {
            send(query);
        } else if (action instanceof ForgetQuery query) {
            forget(query.request());
        } else if (action instanceof OpenConnection connection) {
            connect(connection);
        } else if (action instanceof SendTransfer transfer) {
            connections.get(transfer.connection()).ask(transfer.request(), transfer.zone(), transfer.held());
        } else if (action instanceof CloseConnection connection) {
            connections.remove(connection.connection()).close();
        } else if (action instanceof ZoneChanged zone) {
            zoneNews.accept(zone.zone(), zone.content());
        } else if (action instanceof ZoneConfirmed zone) {
            listener.confirmed(zone.zone(), zone.askedUs(), zone.content());
        } else if (action instanceof ZonesFollowed followed) {
            listener.followed(followed.zones());
        } else if (action instanceof Publish list) {
            listener.listed(list.servers());
        } else if (action instanceof Log line) {
            log.accept(line.line());
        }
    }

    private void send(SendQuery query) {
        int id = random.nextInt(MAX_ID + 1);
        while (queries.containsKey(id)) {
            id = id + 1 & MAX_ID;
        }
        Address to = query.replica().address();
        TransferRequest asked = new TransferRequest(id, query.zone(), query.held());
        queries.put(id, new Query(query.request(), to, asked));
        ids.put(query.request(), id);
        DatagramSocket on = socket;
        on.send(Buffer.buffer(TransferCodec.encodeQuery(asked)), to.port(), to.host())
            .onFailure(e -> unsent(on, query.request(), e));
    }

    /** A socket that was closed by itself is replaced; the query that could not be sent has failed. */
    private void unsent(DatagramSocket on, long request, Throwable e) {
        if (isClosed) {
            return;
        }
        complain("a query could not be sent: " + e.getMessage());
        if (e instanceof ClosedChannelException && on == socket) {
            open();
        }
        forget(request);
        step(now -> client.failed(now, request, TransferFailure.DISCONNECTED));
    }

    private void forget(long request) {
        Integer id = ids.remove(request);
        if (id != null) {
            queries.remove(id);
        }
    }

    private void receive(DatagramPacket packet) {
        byte[] bytes = packet.data().getBytes();
        Query query = bytes.length < HEADER_BYTES ? null : queries.get((bytes[0] & 0xff) << 8 | bytes[1] & 0xff);
        if (query == null || query.replica.port() != packet.sender().port()
            || !query.replica.host().equals(packet.sender().hostAddress())) {
            strays++;
            return;
        }
        forget(query.request);
        step(now -> {
            client.received(now, query.request, bytes.length);
            try {
                TransferAssembler answer = TransferCodec.datagramAssembler(query.asked);
                TransferResponse response = TransferCodec.decodeDatagram(answer, bytes);
                client.answered(now, query.request, response, answer.sourceAgeUs());
            } catch (TransferException e) {
                complain(query.replica + ": " + e.getMessage());
                client.failed(now, query.request, TransferFailure.MALFORMED);
            }
        });
    }

    private void connect(OpenConnection wanted) {
        long number = wanted.connection();
        TransferConnection connection = new TransferConnection(vertx.getOrCreateContext(), random, config.maxTransferBytes(),
            new TransferConnection.Listener() {
                @Override
                public void received(int bytes) {
                    client.streamed(clock.nowUs(), bytes);
                }

                @Override
                public void answered(long request, TransferResponse response, long sourceAgeUs) {
                    step(now -> client.answered(now, request, response, sourceAgeUs));
                }

                @Override
                public void failed(long request, String cause) {
                    complain(wanted.replica() + ": " + cause);
                    step(now -> client.failed(now, request, TransferFailure.MALFORMED));
                }

                @Override
                public void disconnected(TransferFailure failure, String cause) {
                    complain(wanted.replica() + ": " + cause);
                    connections.remove(number);
                    step(now -> client.disconnected(now, number, failure));
                }

                @Override
                public void closedIdle() {
                    connections.remove(number);
                    step(now -> client.disconnected(now, number, TransferFailure.DISCONNECTED));
                }
            });
        connections.put(number, connection);
        connection.open(tcp, wanted.replica());
    }

    private void complain(String text) {
        complaints++;
        if (complaints <= FIRST_COMPLAINTS || complaints % COMPLAINTS_BETWEEN == 0) {
            log.accept("server list: " + text + " (" + complaints + " so far)");
        }
    }

    /** The version held of a zone. */
    public Optional<ZoneVersion> held(String zone) {
        return client.held(zone);
    }
}
