package grebewick.discovery.dns;

import grebewick.config.Endpoint;
import grebewick.core.CallControl.ServerEntry;
import grebewick.core.CallControl.Stage;
import grebewick.discovery.dns.ServerListMessage.Question;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.xbill.DNS.Record;
import org.xbill.DNS.SRVRecord;

/**
 * The list of servers as answers of the name service bring it: the latest serial counts, and what was told of a server serves
 * until it is repeated for a newer list. Of an answer that was cut, the drains alone are heeded. Decisions only.
 */
final class PolledServerList {
    private final Consumer<List<Endpoint>> news;
    private final Consumer<String> unreadable;
    private long serial;
    /** The servers of list {@code serial}, by name; null: none later than the configuration's was heard. */
    private Map<String, PolledServer> list;
    /** Those of them with records to ask for, in the order of asking. */
    private final ArrayDeque<PolledServer> unsure = new ArrayDeque<>();
    /** Servers that a cut answer calls draining; held until the next whole list. */
    private final Set<String> drains = new HashSet<>();
    /** By server: what was told last. It serves until the name service has repeated it for a newer list. */
    private Map<String, Endpoint> told = new LinkedHashMap<>();

    /**
     * Tells lists later than event {@code index}, at which {@code known} held; {@code unreadable} takes why a record on one
     * server cannot be read.
     */
    PolledServerList(long index, List<Endpoint> known, Consumer<List<Endpoint>> news, Consumer<String> unreadable) {
        this.serial = index;
        this.news = news;
        this.unreadable = unreadable;
        known.forEach(e -> told.put(e.entry().server(), e));
    }

    /** Whether what a cut answer said is still held against the list. */
    boolean hasDrains() {
        return !drains.isEmpty();
    }

    /** Whether a whole answer is of a list before the one that is held, or of no list where it should be. */
    boolean isStale(ServerListMessage answer) {
        return answer.serial() < serial && (answer.isOnList() || answer.serial() != ServerListMessage.NO_SERIAL);
    }

    /** Takes a whole answer that is not stale; true: it has begun a newer list, whose servers are to be asked for. */
    boolean take(ServerListMessage answer) {
        boolean newer = answer.isOnList() && (answer.serial() > serial || hasDrains());
        if (newer) {
            serial = answer.serial();
            drains.clear();
            begin(answer);
        }
        if (list == null) {
            return false;
        }
        boolean heard = hear(answer);
        if (newer || heard && unsure.stream().noneMatch(PolledServer::isUnsure)) {
            tell();
        }
        return newer;
    }

    /** Questions after so many servers at the most; those that stay unknown are asked for again after all others. */
    List<Question> questions(int most) {
        List<Question> questions = new ArrayList<>();
        for (int i = Math.min(most, unsure.size()); i > 0; i--) {
            PolledServer server = unsure.poll();
            server.addQuestions(questions);
            if (server.isUnsure()) {
                unsure.add(server);
            }
        }
        return questions;
    }

    /** A list later than the one before: what was told of its servers serves until it is repeated, new ones first. */
    private void begin(ServerListMessage answer) {
        Map<String, PolledServer> before = list == null ? Map.of() : list;
        list = new LinkedHashMap<>();
        for (SRVRecord srv : answer.servers()) {
            String name = srv.getTarget().toString();
            list.put(name, new PolledServer(srv, before.get(name), told.get(id(srv))));
        }
        unsure.clear();
        list.values().stream().sorted(Comparator.comparing(t -> t.before != null)).forEach(unsure::add);
    }

    /** What is said of a server counts only for the list that is being put together. */
    private boolean hear(ServerListMessage answer) {
        boolean heard = false;
        for (Record r : answer.details()) {
            PolledServer server = list.get(r.getName().toString());
            try {
                heard |= server != null && server.hear(r);
            } catch (NumberFormatException e) {
                // Takes nothing from the list, nor from what is said of others.
                unreadable.accept(e.getMessage());
            }
        }
        return heard;
    }

    /** Guards against a drain that stands in lists too long for their answers: none undoes a drain but a whole list. */
    void heedDrains(ServerListMessage cut) {
        if (cut.serial() != ServerListMessage.NO_SERIAL && cut.serial() < serial) {
            return;
        }
        int before = drains.size();
        for (SRVRecord srv : cut.servers()) {
            if (srv.getPriority() != 0) {
                drains.add(id(srv));
            }
        }
        // Of servers never told, none is sent anything.
        drains.retainAll(told.keySet());
        if (drains.size() > before) {
            told.replaceAll((id, e) -> draining(e));
            news.accept(List.copyOf(told.values()));
        }
    }

    private Endpoint draining(Endpoint e) {
        ServerEntry s = e.entry();
        return !drains.contains(s.server()) ? e : new Endpoint(new ServerEntry(s.server(), s.placeNo(), Stage.DRAINING,
            s.startedAtUs(), s.model(), s.zone(), s.weight()), e.address());
    }

    /**
     * Tells the list as far as it is known. Guards against drains and ends that are heeded late because what
     * else is asked of the servers got lost: only a server never told before waits for its address and text.
     */
    void tell() {
        if (list == null) {
            return;
        }
        Map<String, Endpoint> now = new LinkedHashMap<>();
        for (PolledServer server : list.values()) {
            Endpoint e = server.endpoint();
            if (e != null) {
                now.put(e.entry().server(), draining(e));
            }
        }
        if (!now.equals(told)) {
            told = now;
            news.accept(List.copyOf(now.values()));
        }
    }

    private static String id(SRVRecord srv) {
        return srv.getTarget().toString().split("\\.")[0];
    }
}
