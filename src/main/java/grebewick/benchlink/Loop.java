package grebewick.benchlink;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import grebewick.config.SettingsReader;
import grebewick.core.CallControl;
import grebewick.core.CallControl.Event;
import grebewick.core.CallControl.Settings;
import grebewick.json.Fields;
import grebewick.json.JsonException;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.StringWriter;
import java.io.Writer;
import java.util.HashMap;
import java.util.Map;
import java.util.function.BiFunction;

/** Reads batches, hands their events to the instances and writes one reply a batch. */
final class Loop {
    private static final JsonFactory JSON = new JsonFactory();

    private final BiFunction<Settings, Long, CallControl> maker;
    private final Map<String, CallControl> instances = new HashMap<>();
    private final Codec codec = new Codec();

    Loop(BiFunction<Settings, Long, CallControl> maker) {
        this.maker = maker;
    }

    /** Runs until the input ends. */
    void run(BufferedReader in, Writer out) throws IOException {
        for (String line = in.readLine(); line != null; line = in.readLine()) {
            out.write(reply(line));
            out.write('\n');
            out.flush();
        }
    }

    /**
     * The reply to one batch.
     *
     * @throws WireException where the batch is not the wire's
     */
    String reply(String line) throws IOException {
        try {
            return reply(Fields.parse("batch", line));
        } catch (JsonException e) {
            throw new WireException(e);
        }
    }

    private String reply(Fields batch) throws IOException {
        long nowUs = batch.integer("T");
        StringWriter text = new StringWriter();
        try (JsonGenerator json = JSON.createGenerator(text)) {
            json.writeStartObject();
            json.writeArrayFieldStart("cmds");
            for (Object item : batch.neededList("news")) {
                Map<String, Object> message = Fields.asObject("batch: field news", item);
                if (message.size() != 1) {
                    throw new WireException("batch: a message of field news needs one name");
                }
                Map.Entry<String, Object> entry = message.entrySet().iterator().next();
                take(nowUs, new Fields(entry.getKey(), Fields.asObject(entry.getKey(), entry.getValue())), json);
            }
            json.writeEndArray();
            json.writeEndObject();
        }
        return text.toString();
    }

    private void take(long nowUs, Fields message, JsonGenerator json) throws IOException {
        if (message.message().equals("Ledger")) {
            codec.ledger(message);
            return;
        }
        String id = message.string("GatewayId");
        if (message.message().equals("Killed")) {
            instances.remove(id);
            return;
        }
        if (message.message().equals("Launch")) {
            Settings settings = SettingsReader.read(message.object("Options"));
            long seed = message.integer("RandomSeed");
            guarded(id, json, () -> instances.put(id, maker.apply(settings, seed)));
            return;
        }
        Event event = codec.event(message);
        if (event == null) {
            throw new WireException(message.message() + ": unknown message");
        }
        CallControl instance = instances.get(id);
        if (instance == null) {
            throw new WireException(message.message() + ": field GatewayId names an instance that does not run");
        }
        guarded(id, json, () -> instance.handle(nowUs, event, action -> {
            try {
                Codec.write(json, id, action);
            } catch (IOException e) {
                throw new java.io.UncheckedIOException(e);
            }
        }));
    }

    /** A failure of the decisions is reported for its instance, never swallowed. */
    private static void guarded(String id, JsonGenerator json, Runnable step) throws IOException {
        try {
            step.run();
        } catch (RuntimeException e) {
            Codec.trace(json, "Exception", id, e.getMessage() == null ? e.toString() : e.getMessage());
            StackTraceElement[] trace = e.getStackTrace();
            System.err.println(id + ": " + e + (trace.length > 0 ? " at " + trace[0] : ""));
        }
    }
}
