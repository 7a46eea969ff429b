package grebewick.discovery.replica;

/** Files of zones, as an operator writes them. */
final class ZoneFiles {
    /** The one zone of these files. */
    static final String ZONE = "s1.east.fleet.local.";

    private ZoneFiles() {}

    /** A file with one zone. */
    static String of(String... servers) {
        return "{\"zones\": {\"" + ZONE + "\": [" + String.join(",", servers) + "]}}";
    }

    /** A server that is up or draining. */
    static String server(int number, String status) {
        return """
            {"name": "s-%d", "address": "10.1.0.%d:5070", "zone": "east-1", "type": "std", "group": 2, "status": "%s",
             "weight": 4, "since_ms": 1700000000000}""".formatted(number, number, status);
    }
}
