package grebewick.benchlink;

import com.fasterxml.jackson.core.JsonGenerator;
import grebewick.core.CallControl.Action;
import grebewick.core.CallControl.AskLoad;
import grebewick.core.CallControl.Attempt;
import grebewick.core.CallControl.Call;
import grebewick.core.CallControl.Checked;
import grebewick.core.CallControl.Close;
import grebewick.core.CallControl.Due;
import grebewick.core.CallControl.Event;
import grebewick.core.CallControl.Fetch;
import grebewick.core.CallControl.Fleet;
import grebewick.core.CallControl.Hangup;
import grebewick.core.CallControl.NeighbourSays;
import grebewick.core.CallControl.Observe;
import grebewick.core.CallControl.Refuse;
import grebewick.core.CallControl.Remind;
import grebewick.core.CallControl.Result;
import grebewick.core.CallControl.Scope;
import grebewick.core.CallControl.ServerEntry;
import grebewick.core.CallControl.Signal;
import grebewick.core.CallControl.Stage;
import grebewick.core.CallControl.Started;
import grebewick.core.CallControl.State;
import grebewick.core.CallControl.Surrender;
import grebewick.core.CallControl.Trace;
import grebewick.core.CallControl.Withdraw;
import grebewick.json.Fields;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Turns wire messages into events and settings, and actions into wire messages. Translates only. */
final class Codec {
    private final Map<Long, List<ServerEntry>> tables = new HashMap<>();

    /** Keeps a numbered list for the {@code Fleet} events that follow it. */
    void ledger(Fields f) {
        List<ServerEntry> entries = new ArrayList<>();
        for (Fields line : f.objects("Lines")) {
            entries.add(new ServerEntry(line.string("Switch"), (int) line.integer("PlaceNo", -1),
                stage(line), line.integer("Launched", 0), line.string("Model", ""), line.string("Zone", ""),
                line.number("Units", 1)));
        }
        tables.put(f.integer("Table"), List.copyOf(entries));
    }

    /** The event of a message, or null where the name is none of an event's. */
    Event event(Fields f) {
        switch (f.message()) {
            case "Fleet":
                return fleet(f);
            case "Call":
                return new Call(f.integer("Call"), f.integer("DropDead"), f.flag("Passing"), f.flag("Write"),
                    f.flag("IsRetry"), f.number("Units", 1), f.flag("Reconnect"), f.integer("Estimate", 0),
                    f.string("Billing", ""), f.number("Hop", -1), f.string("Item", ""),
                    (int) f.integer("FarEnd", -1), f.string("Band"));
            case "Started":
                return new Started(f.integer("Call"), (int) f.integer("Copy", 0), f.string("Switch"),
                    f.integer("CostTime", 0));
            case "Result":
                return new Result(f.integer("Call"), (int) f.integer("Copy", 0), state(f), f.flag("Terminal"),
                    f.string("Switch"), f.integer("CostTime", 0), f.integer("Why", 0), f.numbers("Metrics"));
            case "Hangup":
                return new Hangup(f.integer("Call"));
            case "Due":
                return new Due(f.integer("Name"));
            case "Checked":
                return new Checked(state(f), f.string("Switch"), f.integer("CostTime", 0), f.numbers("Metrics"));
            case "NeighbourSays":
                return new NeighbourSays((int) f.integer("SrcPeer", 0), bytes(f));
            default:
                return null;
        }
    }

    private Fleet fleet(Fields f) {
        Scope scope = switch (f.string("Scope")) {
            case "Partial" -> Scope.PARTIAL;
            case "Complete" -> Scope.COMPLETE;
            case "Persisted" -> Scope.PERSISTED;
            case "Error" -> Scope.ERROR;
            default -> throw new WireException("Fleet: field Scope has an unknown value");
        };
        if (scope == Scope.ERROR) {
            return new Fleet(scope, f.integer("Index", 0), List.of());
        }
        List<ServerEntry> entries = tables.get(f.integer("Table"));
        if (entries == null) {
            throw new WireException("Fleet: field Table names a list that was not sent");
        }
        return new Fleet(scope, f.integer("Index", 0), entries);
    }

    private static byte[] bytes(Fields f) {
        try {
            return Base64.getDecoder().decode(f.string("Bytes", ""));
        } catch (IllegalArgumentException e) {
            throw new WireException(f.message() + ": field Bytes is not base64");
        }
    }

    private static Stage stage(Fields f) {
        return switch (f.string("StageState")) {
            case "healthy" -> Stage.HEALTHY;
            case "cordoned" -> Stage.DRAINING;
            case "deregistered" -> Stage.DEREGISTERED;
            default -> throw new WireException(f.message() + ": field StageState has an unknown value");
        };
    }

    private static State state(Fields f) {
        return switch (f.string("StateCode")) {
            case "Ok" -> State.OK;
            case "Failed" -> State.FAILED;
            case "QueueFull" -> State.QUEUE_FULL;
            case "TimedOut" -> State.TIMED_OUT;
            case "ConnectError" -> State.CONNECT_ERROR;
            case "ResetByPeer" -> State.RESET_BY_PEER;
            case "Canceled" -> State.CANCELED;
            case "Ignored" -> State.IGNORED;
            default -> throw new WireException(f.message() + ": field StateCode has an unknown value");
        };
    }

    /** Writes one action of an instance. */
    static void write(JsonGenerator out, String gatewayId, Action action) throws IOException {
        if (action instanceof Attempt a) {
            begin(out, "Attempt", gatewayId);
            out.writeNumberField("Call", a.call());
            out.writeStringField("Switch", a.server());
            if (a.patienceUs() != 0) {
                out.writeNumberField("Patience", a.patienceUs());
            }
        } else if (action instanceof Withdraw a) {
            begin(out, "Withdraw", gatewayId);
            out.writeNumberField("Call", a.call());
            out.writeNumberField("Copy", a.copy());
        } else if (action instanceof Refuse a) {
            begin(out, "Refuse", gatewayId);
            out.writeNumberField("Call", a.call());
            if (a.notBeforeForUs() > 0) {
                out.writeNumberField("NotBeforeFor", a.notBeforeForUs());
            }
        } else if (action instanceof Surrender a) {
            begin(out, "Surrender", gatewayId);
            out.writeNumberField("Call", a.call());
        } else if (action instanceof Remind a) {
            begin(out, "Remind", gatewayId);
            out.writeNumberField("Moment", a.momentUs());
            out.writeNumberField("Name", a.name());
        } else if (action instanceof AskLoad a) {
            begin(out, "AskLoad", gatewayId);
            out.writeStringField("Switch", a.server());
        } else if (action instanceof Close a) {
            begin(out, "Close", gatewayId);
            out.writeStringField("Switch", a.server());
        } else if (action instanceof Signal a) {
            begin(out, "Signal", gatewayId);
            if (a.peer() < 0) {
                out.writeStringField("Peer", "*");
            } else {
                out.writeNumberField("Peer", a.peer());
            }
            out.writeStringField("Bytes", Base64.getEncoder().encodeToString(a.bytes()));
        } else if (action instanceof Observe a) {
            begin(out, "Observe", gatewayId);
            out.writeBooleanField("Active", a.active());
        } else if (action instanceof Fetch) {
            begin(out, "Fetch", gatewayId);
        } else if (action instanceof Trace a) {
            trace(out, "Trace", gatewayId, a.text());
            return;
        }
        out.writeEndObject();
        out.writeEndObject();
    }

    /** Writes a log line or, as {@code Exception}, the failure of an instance. */
    static void trace(JsonGenerator out, String name, String gatewayId, String text) throws IOException {
        begin(out, name, gatewayId);
        out.writeStringField("Text", text);
        out.writeEndObject();
        out.writeEndObject();
    }

    private static void begin(JsonGenerator out, String name, String gatewayId) throws IOException {
        out.writeStartObject();
        out.writeObjectFieldStart(name);
        out.writeStringField("GatewayId", gatewayId);
    }
}
