package grebewick.diameter;

import static grebewick.diameter.DiameterMessage.*;

import grebewick.play.Dialect;
import grebewick.play.Sites;
import io.vertx.core.buffer.Buffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * A peer's messages as text: {@code AAR s1}, {@code AAA s1 2001}, {@code DWR}. Answers go under the identifiers
 * of the last request of that kind and session, with {@code first=1} of the first one; {@code e2e=N} sets a
 * request's end-to-end id.
 */
public final class DiameterDialect implements Dialect {
    private static final Map<Integer, String> NAMES = Map.of(CAPABILITIES_EXCHANGE, "CE", AA, "AA", ABORT_SESSION, "AS",
        SESSION_TERMINATION, "ST", DEVICE_WATCHDOG, "DW", DISCONNECT_PEER, "DP");

    private final String host;
    private final Map<String, DiameterMessage> asked = new HashMap<>();
    private final int stateId;
    private int next = 1;

    /** A peer of that identity, with its Origin-State-Id. */
    public DiameterDialect(String host, int stateId) {
        this.host = host;
        this.stateId = stateId;
    }

    private static int command(String name) {
        return NAMES.entrySet().stream().filter(e -> name.startsWith(e.getValue())).findFirst().orElseThrow().getKey();
    }

    @Override
    public synchronized Buffer encode(String text) {
        String[] w = text.split(" ");
        if (w[0].equals("raw")) {
            byte[] bytes = new byte[w.length - 1];
            for (int i = 1; i < w.length; i++) {
                bytes[i - 1] = (byte) Integer.parseInt(w[i], 16);
            }
            return Buffer.buffer(bytes);
        }
        int command = command(w[0]);
        boolean session = command != CAPABILITIES_EXCHANGE && command != DEVICE_WATCHDOG && command != DISCONNECT_PEER;
        String id = session ? w[1] : "";
        Identity me = new Identity(host, "realm", stateId);
        Map<String, String> o = Sites.options(w, session ? 2 : 1);
        if (w[0].endsWith("A")) {
            String request = NAMES.get(command) + "R " + id;
            int result = w.length > (session ? 2 : 1) ? Integer.parseInt(w[session ? 2 : 1]) : SUCCESS;
            return DiameterCodec.encode(asked.get(o.containsKey("first") ? request + " first" : request).answer(me, result,
                Avp.unsigned(Avp.AUTH_APPLICATION_ID, NASREQ), Avp.unsigned(Avp.ORIGIN_STATE_ID, stateId)));
        }
        List<Avp> avps = new ArrayList<>(me.origin());
        if (command == CAPABILITIES_EXCHANGE) {
            avps.add(Avp.unsigned(Avp.AUTH_APPLICATION_ID, Long.parseLong(o.getOrDefault("app", "1"))));
        }
        if (session) {
            avps.add(0, Avp.text(Avp.SESSION_ID, id));
            avps.add(Avp.text(Avp.DESTINATION_REALM, "realm"));
            avps.add(Avp.unsigned(Avp.AUTH_APPLICATION_ID, NASREQ));
            avps.add(Avp.text(Avp.DESTINATION_HOST, o.getOrDefault("to", "p1")));
            avps.add(Avp.unsigned(command == AA ? Avp.AUTH_REQUEST_TYPE : Avp.TERMINATION_CAUSE, 1));
        }
        if (o.containsKey("state")) {
            avps.add(Avp.unsigned(Avp.ORIGIN_STATE_ID, Long.parseLong(o.get("state"))));
        }
        if (o.containsKey("without")) {
            avps.removeIf(a -> a.code() == Integer.parseInt(o.get("without")));
        }
        if (o.containsKey("avp")) {
            avps.add(Avp.text(Integer.parseInt(o.get("avp")), o.getOrDefault("is", "x")));
        }
        int flags = REQUEST | (session ? PROXIABLE : 0) | Integer.parseInt(o.getOrDefault("flags", "0"));
        int endToEnd = Integer.parseInt(o.getOrDefault("e2e", Integer.toString(1000 + next)));
        return DiameterCodec.encode(new DiameterMessage(flags, command,
            Long.parseLong(o.getOrDefault("in", session ? "1" : "0")), next++, endToEnd, avps));
    }

    @Override
    public Consumer<Buffer> reader(Consumer<String> each) {
        DiameterCodec codec = new DiameterCodec();
        return bytes -> codec.read(bytes, new DiameterCodec.Reader() {
            @Override
            public void message(DiameterMessage m) {
                each.accept(heard(m));
            }

            @Override
            public void fault(DiameterMessage head, DiameterException fault, boolean lost) {
                each.accept("fault " + fault.getMessage());
            }
        });
    }

    private synchronized String heard(DiameterMessage m) {
        String name = NAMES.getOrDefault(m.command(), "" + m.command()) + (m.isRequest() ? "R" : "A");
        String id = m.text(Avp.SESSION_ID);
        String line = name + (id.isEmpty() ? "" : " " + id);
        if (m.isRequest()) {
            asked.put(name + " " + id, m);
            asked.putIfAbsent(name + " " + id + " first", m);
            return line + (m.mayBeRepeat() ? " T" : "");
        }
        Avp failed = m.find(Avp.FAILED_AVP);
        return line + " " + m.result() + ((m.flags() & ERROR) != 0 ? " E" : "")
            + (failed == null ? "" : " failed=" + Avp.readAll(java.nio.ByteBuffer.wrap(failed.data())).get(0).code());
    }

    @Override
    public String[] ping() {
        return new String[] {"DWR", "DWA 2001"};
    }
}
