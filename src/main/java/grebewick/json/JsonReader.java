package grebewick.json;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads JSON texts into maps, lists, strings, numbers and booleans. */
public final class JsonReader {
    private static final JsonFactory JSON = new JsonFactory();

    private JsonReader() {}

    /**
     * Reads the one JSON value of a text.
     *
     * @param what names the text in errors
     * @throws JsonException where the text is not one JSON value
     */
    public static Object parse(String what, String text) {
        try (JsonParser parser = JSON.createParser(text)) {
            if (parser.nextToken() == null) {
                throw new JsonException(what + " is empty");
            }
            Object value = value(parser);
            if (parser.nextToken() != null) {
                throw new JsonException(what + " holds more than one value");
            }
            return value;
        } catch (IOException e) {
            throw new JsonException(what + " is not JSON");
        }
    }

    private static Object value(JsonParser parser) throws IOException {
        return switch (parser.currentToken()) {
            case START_OBJECT -> object(parser);
            case START_ARRAY -> array(parser);
            case VALUE_NUMBER_INT -> parser.getLongValue();
            case VALUE_NUMBER_FLOAT -> parser.getDoubleValue();
            case VALUE_TRUE -> Boolean.TRUE;
            case VALUE_FALSE -> Boolean.FALSE;
            case VALUE_NULL -> null;
            default -> parser.getText();
        };
    }

    private static Map<String, Object> object(JsonParser parser) throws IOException {
        Map<String, Object> object = new LinkedHashMap<>();
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            String name = parser.currentName();
            parser.nextToken();
            object.put(name, value(parser));
        }
        return object;
    }

    private static List<Object> array(JsonParser parser) throws IOException {
        List<Object> array = new ArrayList<>();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            array.add(value(parser));
        }
        return array;
    }
}
