package grebewick.discovery.transfer;

import grebewick.config.Address;
import grebewick.play.HandClock;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;

/**
 * A primary, replicas and clients on a hand-driven clock. Queries and answers pass through the real messages; they take
 * time, and by datagram they may get lost, come twice or overtake each other.
 */
final class SimNetwork {
    private static final long US_PER_S = 1_000_000;
    private static final long LEAST_LATENCY_US = 200;
    private static final long LATENCY_SPREAD_US = 2_000;
    private static final long REORDERED_US = 300_000;
    private static final long REFRESH_US = 1_600_000;
    private static final long REFRESH_SPREAD_US = 800_000;

    final HandClock clock = new HandClock();
    final SimPrimary primary = new SimPrimary();
    final Map<Replica, SimReplica> replicas = new LinkedHashMap<>();
    final SplittableRandom random;
    /** Parts of datagrams that get lost, come twice or come late. */
    double lost;
    double doubled;
    double reordered;
    /** How long a slow replica takes for an answer. */
    long slowUs = 700_000;
    private int lastId;

    SimNetwork(long seed) {
        System.out.println("list transfer: seed " + seed);
        random = new SplittableRandom(seed);
    }

    /** Adds replicas of one region and zone, which refresh by themselves. */
    List<SimReplica> addReplicas(int number, String region, String zone) {
        List<SimReplica> added = new ArrayList<>();
        for (int i = 0; i < number; i++) {
            Replica replica = new Replica(new Address("10.0.0." + (1 + replicas.size()), 53), region, zone);
            SimReplica sim = new SimReplica(replica, primary);
            replicas.put(replica, sim);
            added.add(sim);
            refresh(sim);
        }
        return added;
    }

    private void refresh(SimReplica replica) {
        replica.refresh();
        clock.after(REFRESH_US + random.nextLong(REFRESH_SPREAD_US), () -> refresh(replica));
    }

    /** A configuration of all replicas and zones as they are now, with the values that apply where a file has none. */
    DiscoveryConfig config() {
        return config(primary.zones());
    }

    /** The same with other zones. */
    DiscoveryConfig config(List<String> zones) {
        return new DiscoveryConfig("east", "east-1", List.copyOf(replicas.keySet()), zones, 2_000_000, 500_000, 3_000_000,
            8_000, 12_000, 8 << 20);
    }

    /** A client of it. */
    SimClient client(DiscoveryConfig config) {
        return new SimClient(this, config, List.of(), random.nextLong());
    }

    /** Lets time pass. */
    void pass(double seconds) {
        clock.pass((long) (seconds * US_PER_S));
    }

    /** A client asks a replica. */
    void ask(SimClient client, long number, Replica replica, String zone, Optional<ZoneVersion> held, boolean isTransfer) {
        TransferRequest request = new TransferRequest(lastId++ & 0xffff, zone, held);
        byte[] query = TransferCodec.encodeQuery(request);
        deliver(!isTransfer, () -> arrived(client, number, replicas.get(replica), request, query, isTransfer));
    }

    /** A client connects to a replica, which may close the connection at once; gives whether it keeps it. */
    boolean connect(SimClient client, long connection, Replica replica) {
        boolean isKept = replicas.get(replica).accept();
        if (!isKept) {
            clock.after(LEAST_LATENCY_US + random.nextLong(LATENCY_SPREAD_US), () -> client.disconnected(connection));
        }
        return isKept;
    }

    /** A connection that was kept is closed. */
    void disconnect(Replica replica) {
        replicas.get(replica).connections--;
    }

    private void deliver(boolean isDatagram, Runnable delivery) {
        if (isDatagram && random.nextDouble() < lost) {
            return;
        }
        int times = isDatagram && random.nextDouble() < doubled ? 2 : 1;
        for (int i = 0; i < times; i++) {
            boolean isLate = isDatagram && random.nextDouble() < reordered;
            clock.after(LEAST_LATENCY_US + random.nextLong(isLate ? REORDERED_US : LATENCY_SPREAD_US), delivery);
        }
    }

    private void arrived(SimClient client, long number, SimReplica replica, TransferRequest asked, byte[] query,
                         boolean isTransfer) {
        if (replica.mode == SimReplica.Mode.DEAD) {
            return;
        }
        TransferRequest request;
        try {
            request = TransferCodec.decodeQuery(query);
        } catch (TransferException e) {
            throw new AssertionError(e);
        }
        replica.queries += isTransfer ? 0 : 1;
        replica.transfers += isTransfer ? 1 : 0;
        List<byte[]> messages = spoil(replica, request, encode(request, replica.answer(request, isTransfer), isTransfer));
        replica.bytes += messages.stream().mapToLong(message -> message.length).sum();
        long waitUs = replica.mode == SimReplica.Mode.SLOW ? slowUs : 1;
        clock.after(waitUs, () -> deliver(!isTransfer, () -> read(client, number, asked, messages, isTransfer)));
    }

    private static List<byte[]> encode(TransferRequest request, TransferResponse response, boolean isTransfer) {
        if (!isTransfer) {
            return List.of(TransferCodec.encodeDatagram(request, response));
        }
        List<byte[]> messages = new ArrayList<>();
        Iterator<byte[]> stream = TransferCodec.encodeStream(request, response);
        stream.forEachRemaining(messages::add);
        return messages;
    }

    private static List<byte[]> spoil(SimReplica replica, TransferRequest request, List<byte[]> messages) {
        byte[] first = messages.get(0);
        return switch (replica.mode) {
            case CUT_SHORT -> List.of(Arrays.copyOf(first, first.length - 5));
            case GARBAGE -> List.of(new byte[] {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13});
            case OTHER_ZONE -> List.of(TransferCodec.encodeDatagram(new TransferRequest(request.id(), "s99.west.fleet.local.",
                request.held()), new TransferResponse.UpToDate(new ZoneVersion(9, 9))));
            default -> messages;
        };
    }

    private static void read(SimClient client, long number, TransferRequest asked, List<byte[]> messages, boolean isTransfer) {
        int bytes = messages.stream().mapToInt(message -> message.length).sum();
        try {
            if (!isTransfer) {
                client.answered(number, bytes, TransferCodec.decodeDatagram(asked, messages.get(0)));
                return;
            }
            TransferAssembler assembler = new TransferAssembler(asked, Integer.MAX_VALUE, Long.MAX_VALUE);
            Optional<TransferResponse> response = Optional.empty();
            for (byte[] message : messages) {
                response = assembler.add(message);
            }
            client.answered(number, bytes, response.orElseThrow());
        } catch (TransferException e) {
            client.failed(number, bytes, TransferFailure.MALFORMED);
        }
    }
}
