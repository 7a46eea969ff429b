package grebewick.lab;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import grebewick.config.Address;
import grebewick.config.Endpoint;
import grebewick.core.CallControl.ServerEntry;
import grebewick.core.CallControl.Stage;
import grebewick.discovery.replica.HistoryLimits;
import grebewick.discovery.replica.LimitSettings;
import grebewick.discovery.replica.ReplicaState;
import grebewick.discovery.replica.ReplicaState.Transport;
import grebewick.discovery.transfer.TransferCodec;
import grebewick.discovery.transfer.TransferException;
import grebewick.discovery.transfer.TransferRequest;
import grebewick.discovery.transfer.ZoneContent;
import grebewick.discovery.transfer.ZoneVersion;
import java.io.IOException;
import java.io.OutputStream;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.function.LongSupplier;

/**
 * What a replica spends on a query and on a whole copy: processor time of one thread over queries that are decoded, answered
 * and encoded, without sockets, and of the event loop of a server that is asked over loopback. Prints a table and writes
 * {@code target/replica-cost.json}; ends by itself.
 */
public final class ReplicaCostBench {
    private static final int[] SIZES = {10, 190, 3_800};
    private static final String ZONE = "s12.east.fleet.local.";
    private static final ZoneVersion FIRST = new ZoneVersion(1_764_650_000_000L, 1);
    private static final LimitSettings NO_LIMITS = new LimitSettings(1 << 20, 1L << 50, 1L << 50);
    private static final int ROUNDS = 7;
    private static final int QUERIES = 20_000;
    /** Servers of all copies in a round. */
    private static final int COPIED_SERVERS = 76_000;
    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();
    private static final double NS_PER_US = 1_000.0;

    /** One row: medians over the rounds, and the range of the rounds. */
    private record Row(String what, int servers, int bytes, double medianUs, double leastUs, double mostUs) {}

    /** One way to ask; gives the bytes of the answer. */
    private interface Work {
        int run() throws TransferException, IOException;
    }

    private ReplicaCostBench() {}

    /** Takes no arguments. */
    public static void main(String[] args) throws Exception {
        List<Row> rows = new ArrayList<>();
        double loadBefore = load();
        for (int size : SIZES) {
            measure(size, rows);
        }
        print(rows, loadBefore);
        write(rows, loadBefore);
    }

    private static void measure(int size, List<Row> rows) throws Exception {
        ReplicaState state = new ReplicaState(new HistoryLimits(64, 1 << 20), NO_LIMITS);
        state.serve(List.of(ZONE));
        ZoneContent first = content(FIRST, size, Stage.HEALTHY);
        ZoneContent second = content(FIRST.next(), size, Stage.DRAINING);
        state.take(ZONE, first);
        state.take(ZONE, second);
        byte[] current = query(Optional.of(second.version()));
        byte[] behind = query(Optional.of(FIRST));
        byte[] nothing = query(Optional.empty());
        LongSupplier own = THREADS::getCurrentThreadCpuTime;
        rows.add(row("query, nothing new", size, QUERIES, own, () -> datagram(state, current)));
        rows.add(row("query, one change", size, QUERIES, own, () -> datagram(state, behind)));
        rows.add(row("whole copy", size, COPIED_SERVERS / size, own, () -> stream(state, nothing)));
        int messages = messages(state, nothing);
        try (ReplicaSocketCost sockets = new ReplicaSocketCost(state)) {
            rows.add(row("UDP, nothing new", size, QUERIES / 4, sockets::cpuNs, () -> sockets.datagram(current)));
            rows.add(row("UDP, one change", size, QUERIES / 4, sockets::cpuNs, () -> sockets.datagram(behind)));
            rows.add(row("TCP, whole copy", size, Math.min(1_000, COPIED_SERVERS / size), sockets::cpuNs,
                () -> sockets.stream(nothing, messages)));
        }
    }

    private static ZoneContent content(ZoneVersion version, int size, Stage firstStage) {
        List<Endpoint> servers = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            ServerEntry entry = new ServerEntry(String.format("s-%08x", i * 0x9e3779b9), i % 7,
                i == 0 ? firstStage : Stage.HEALTHY,
                1_764_600_000_000_000L + i * 1_000L, "std", "east-" + i % 5, 4);
            servers.add(new Endpoint(entry, new Address("10." + i / 65_536 + "." + i / 256 % 256 + "." + i % 256, 5_070)));
        }
        return ZoneContent.of(version, servers);
    }

    private static byte[] query(Optional<ZoneVersion> held) {
        return TransferCodec.encodeQuery(new TransferRequest(4_711, ZONE, held));
    }

    private static int datagram(ReplicaState state, byte[] query) throws TransferException {
        TransferRequest request = TransferCodec.decodeQuery(query);
        return TransferCodec.encodeDatagram(request, state.answer(request, Transport.DATAGRAM, 0)).length;
    }

    private static int messages(ReplicaState state, byte[] query) throws TransferException {
        TransferRequest request = TransferCodec.decodeQuery(query);
        int messages = 0;
        Iterator<byte[]> each = TransferCodec.encodeStream(request, state.answer(request, Transport.STREAM, 0));
        for (; each.hasNext(); each.next()) {
            messages++;
        }
        state.transferEnded();
        return messages;
    }

    private static int stream(ReplicaState state, byte[] query) throws TransferException {
        TransferRequest request = TransferCodec.decodeQuery(query);
        int bytes = 0;
        Iterator<byte[]> messages = TransferCodec.encodeStream(request, state.answer(request, Transport.STREAM, 0));
        while (messages.hasNext()) {
            bytes += messages.next().length + 2;
        }
        state.transferEnded();
        return bytes;
    }

    private static Row row(String what, int size, int times, LongSupplier cpuNs, Work work) throws Exception {
        double[] us = new double[ROUNDS];
        int bytes = 0;
        // Once more, for the compiler.
        for (int round = -1; round < ROUNDS; round++) {
            long startNs = cpuNs.getAsLong();
            for (int i = 0; i < times; i++) {
                bytes = work.run();
            }
            double perTime = (cpuNs.getAsLong() - startNs) / NS_PER_US / times;
            if (round >= 0) {
                us[round] = perTime;
            }
        }
        Arrays.sort(us);
        return new Row(what, size, bytes, us[ROUNDS / 2], us[0], us[ROUNDS - 1]);
    }

    private static double load() {
        return ManagementFactory.getOperatingSystemMXBean().getSystemLoadAverage();
    }

    private static void print(List<Row> rows, double loadBefore) {
        System.out.printf("processors %d, load average %.1f before and %.1f after, %d rounds%n",
            Runtime.getRuntime().availableProcessors(), loadBefore, load(), ROUNDS);
        System.out.printf("%-20s %8s %10s %12s %10s %10s%n", "what", "servers", "bytes", "median us", "least", "most");
        for (Row row : rows) {
            System.out.printf("%-20s %8d %10d %12.1f %10.1f %10.1f%n", row.what, row.servers, row.bytes, row.medianUs,
                row.leastUs,
                row.mostUs);
        }
    }

    private static void write(List<Row> rows, double loadBefore) throws IOException {
        Path path = Files.createDirectories(Path.of("target")).resolve("replica-cost.json");
        try (OutputStream out = Files.newOutputStream(path); JsonGenerator json = new JsonFactory().createGenerator(out)) {
            json.writeStartObject();
            json.writeNumberField("load_before", loadBefore);
            json.writeNumberField("load_after", load());
            json.writeArrayFieldStart("rows");
            for (Row row : rows) {
                json.writeStartObject();
                json.writeStringField("what", row.what);
                json.writeNumberField("servers", row.servers);
                json.writeNumberField("bytes", row.bytes);
                json.writeNumberField("median_us", row.medianUs);
                json.writeNumberField("least_us", row.leastUs);
                json.writeNumberField("most_us", row.mostUs);
                json.writeEndObject();
            }
            json.writeEndArray();
            json.writeEndObject();
        }
    }
}
