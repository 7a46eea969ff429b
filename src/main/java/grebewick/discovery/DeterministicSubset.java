package grebewick.discovery;

import grebewick.config.Endpoint;
import grebewick.core.CallControl.Stage;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;

/**
 * The servers that this gatekeeper works with, where the list has more than its descriptors bear. Guards standing calls,
 * which need a connection with their server to be told of their end: whoever is chosen stays so while it is listed, and a
 * server that drains is followed by another at once. Gatekeepers draw differently, so that together they use all servers;
 * one that starts again draws as before: the ends of calls of before its start come from the servers that it had then.
 */
public final class DeterministicSubset {
    private final int most;
    /** By class: the pools that its calls may go to. */
    private final List<Set<Integer>> pools;
    private final long seed;
    private final Consumer<String> log;
    private final Set<String> chosen = new HashSet<>();
    private boolean parts;

    /**
     * At most {@code most} servers that take calls; {@code pools} may be empty: any server takes any call. {@code self}: what
     * tells this gatekeeper from others, and stays over restarts.
     */
    public DeterministicSubset(int most, Collection<? extends Collection<Integer>> pools, String self, Consumer<String> log) {
        this.most = most;
        this.pools = pools.isEmpty() ? List.of(Set.of()) : pools.stream().map(Set::<Integer>copyOf).toList();
        seed = self.hashCode() * 0x9e3779b97f4a7c15L;
        this.log = log;
    }

    /** What is chosen of a list, in its order: all of it where that is not too much. */
    public List<Endpoint> of(List<Endpoint> list) {
        // A set: whether it holds one of the chosen is asked once for each of them.
        chosen.retainAll(list.stream().map(e -> e.entry().server()).collect(Collectors.toSet()));
        boolean first = chosen.isEmpty();
        List<Endpoint> rest = new ArrayList<>();
        int inUse = 0;
        for (Endpoint e : list) {
            if (e.entry().stage() == Stage.HEALTHY) {
                inUse += chosen.contains(e.entry().server()) ? 1 : 0;
                rest.add(e);
            }
        }
        rest.removeIf(e -> chosen.contains(e.entry().server()));
        if (inUse + rest.size() <= most) {
            list.forEach(e -> chosen.add(e.entry().server()));
            return list;
        }
        if (first) {
            // One that drains gets nothing, but may hold calls of before the start: it comes along where it would be drawn.
            list.stream().filter(e -> e.entry().stage() != Stage.HEALTHY).forEach(rest::add);
        }
        rest.sort(Comparator.comparingLong(e -> rank(e.entry().server())));
        // Class by class in turn, so that each has its share of what is left.
        List<Set<Integer>> open = new ArrayList<>(pools);
        while (inUse < most && !open.isEmpty()) {
            Iterator<Set<Integer>> turn = open.iterator();
            while (turn.hasNext() && inUse < most) {
                Set<Integer> places = turn.next();
                Endpoint next = rest.stream().filter(e -> places.isEmpty() || places.contains(e.entry().placeNo())).findFirst()
                    .orElse(null);
                if (next == null) {
                    turn.remove();
                } else {
                    rest.remove(next);
                    chosen.add(next.entry().server());
                    inUse += next.entry().stage() == Stage.HEALTHY ? 1 : 0;
                }
            }
        }
        if (!parts) {
            parts = true;
            log.accept("servers: " + inUse + " of " + list.size() + " are in use, as the descriptors bear no more");
        }
        return list.stream().filter(e -> chosen.contains(e.entry().server())).toList();
    }

    /** In an order of this gatekeeper's own (the finalizer of MurmurHash3). */
    private long rank(String server) {
        long x = seed ^ server.hashCode() * 0x9e3779b97f4a7c15L;
        x = (x ^ x >>> 33) * 0xff51afd7ed558ccdL;
        x = (x ^ x >>> 33) * 0xc4ceb9fe1a85ec53L;
        return x ^ x >>> 33;
    }
}
