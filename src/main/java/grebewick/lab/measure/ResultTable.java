package grebewick.lab.measure;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;

/** Results of one bench, as a Markdown table for people and as JSON for programs. Units stand in the columns' names. */
public final class ResultTable {
    private final String bench;
    private final List<String> arguments;
    private final List<String> columns;
    private final List<List<Object>> rows = new ArrayList<>();
    private final List<String> notes = new ArrayList<>();

    /** An empty table. */
    public ResultTable(String bench, List<String> arguments, String... columns) {
        this.bench = bench;
        this.arguments = List.copyOf(arguments);
        this.columns = List.of(columns);
    }

    /** Adds a row: a {@code String}, {@code Long}, {@code Integer} or {@code Double} for each column. */
    public void add(Object... cells) {
        if (cells.length != columns.size()) {
            throw new IllegalArgumentException(cells.length + " cells for " + columns.size() + " columns");
        }
        rows.add(List.of(cells));
    }

    /** Adds a sentence to stand under the table, such as the conditions of a run. */
    public void note(String text) {
        notes.add(text);
    }

    /** The table in Markdown, the notes under it. */
    public String markdown() {
        StringBuilder text = new StringBuilder();
        text.append("| ").append(String.join(" | ", columns)).append(" |\n");
        text.append(columns.stream().map(c -> "---").collect(Collectors.joining(" | ", "| ", " |"))).append('\n');
        for (List<Object> row : rows) {
            text.append(row.stream().map(ResultTable::cell).collect(Collectors.joining(" | ", "| ", " |"))).append('\n');
        }
        notes.forEach(note -> text.append('\n').append(note).append('\n'));
        return text.toString();
    }

    private static String cell(Object value) {
        if (value instanceof Double number) {
            double size = Math.abs(number);
            return String.format(Locale.ROOT, size >= 100 || size == 0 ? "%.0f" : size >= 1 ? "%.2f" : "%.4f", number);
        }
        return value.toString();
    }

    /** The table in JSON: bench, arguments, notes, and the rows as objects by column. */
    public String json() throws IOException {
        StringWriter text = new StringWriter();
        try (JsonGenerator json = new JsonFactory().createGenerator(text)) {
            json.useDefaultPrettyPrinter();
            json.writeStartObject();
            json.writeStringField("bench", bench);
            writeStrings(json, "arguments", arguments);
            writeStrings(json, "notes", notes);
            json.writeArrayFieldStart("rows");
            for (List<Object> row : rows) {
                writeRow(json, row);
            }
            json.writeEndArray();
            json.writeEndObject();
        }
        return text.append('\n').toString();
    }

    private static void writeStrings(JsonGenerator json, String field, List<String> values) throws IOException {
        json.writeArrayFieldStart(field);
        for (String value : values) {
            json.writeString(value);
        }
        json.writeEndArray();
    }

    private void writeRow(JsonGenerator json, List<Object> row) throws IOException {
        json.writeStartObject();
        for (int i = 0; i < columns.size(); i++) {
            Object value = row.get(i);
            if (value instanceof Double number) {
                json.writeNumberField(columns.get(i), number);
            } else if (value instanceof Number number) {
                json.writeNumberField(columns.get(i), number.longValue());
            } else {
                json.writeStringField(columns.get(i), value.toString());
            }
        }
        json.writeEndObject();
    }

    /** Prints the table and writes the JSON to a file, whose folder is made. */
    public void publish(Path file) throws IOException {
        System.out.println(markdown());
        Path folder = file.toAbsolutePath().getParent();
        Files.createDirectories(folder);
        Files.writeString(file, json());
        System.out.println("written to " + file);
    }
}
