package grebewick.json;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** The fields of one message, read by name and type; what is missing or of the wrong type is named. */
public record Fields(String message, Map<String, Object> values) {

    /** Reads a text that is one object; {@code message} names it in errors. */
    public static Fields parse(String message, String text) {
        return new Fields(message, asObject(message, JsonReader.parse(message, text)));
    }

    public boolean has(String name) {
        return values.get(name) != null;
    }

    private <T> T need(String name, Class<T> type) {
        Object value = values.get(name);
        if (value == null) {
            throw new JsonException(message + ": field " + name + " is missing");
        }
        if (!type.isInstance(value)) {
            throw new JsonException(message + ": field " + name + " is not of the expected type");
        }
        return type.cast(value);
    }

    public String string(String name) {
        return need(name, String.class);
    }

    public String string(String name, String absent) {
        Object value = values.get(name);
        return value == null ? absent : value instanceof String s ? s : String.valueOf(value);
    }

    public long integer(String name) {
        return need(name, Number.class).longValue();
    }

    public long integer(String name, long absent) {
        return has(name) ? integer(name) : absent;
    }

    public double number(String name) {
        return need(name, Number.class).doubleValue();
    }

    public double number(String name, double absent) {
        return has(name) ? number(name) : absent;
    }

    public boolean flag(String name) {
        return has(name) && need(name, Boolean.class);
    }

    public List<?> list(String name) {
        return has(name) ? need(name, List.class) : List.of();
    }

    public List<?> neededList(String name) {
        return need(name, List.class);
    }

    public List<String> strings(String name) {
        List<String> result = new ArrayList<>();
        for (Object o : list(name)) {
            result.add(String.valueOf(o));
        }
        return result;
    }

    public List<Double> numbers(String name) {
        List<Double> result = new ArrayList<>();
        for (Object o : list(name)) {
            if (!(o instanceof Number n)) {
                throw new JsonException(message + ": field " + name + " holds something other than numbers");
            }
            result.add(n.doubleValue());
        }
        return result;
    }

    public Fields object(String name) {
        return new Fields(message + "." + name, asObject(message + ": field " + name, need(name, Map.class)));
    }

    public List<Fields> objects(String name) {
        List<Fields> result = new ArrayList<>();
        for (Object o : list(name)) {
            result.add(new Fields(message + "." + name, asObject(message + ": field " + name, o)));
        }
        return result;
    }

    @SuppressWarnings("unchecked")
    public static Map<String, Object> asObject(String what, Object value) {
        if (!(value instanceof Map)) {
            throw new JsonException(what + " is not an object");
        }
        return (Map<String, Object>) value;
    }
}
