package grebewick.trunk;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;

/** Reads load reports such as {@code x0:12;x1:40;qps:3} into the order of the settings' fields. */
final class Reports {
    /** Names that a socket may use beside those of the settings. */
    private static final Map<String, String> ALIAS = Map.of("x0", "free", "x1", "size", "qps", "can_take", "eps", "hold_back");

    private final List<String> fields;

    Reports(List<String> fields) {
        this.fields = fields;
    }

    /** The figures, -1 for one that is missing or unreadable; empty where there is no report. */
    List<Double> read(String text) {
        if (text.isEmpty()) {
            return List.of();
        }
        Double[] figures = new Double[fields.size()];
        Arrays.fill(figures, -1.0);
        for (String part : text.split(";")) {
            int colon = part.indexOf(':');
            String name = colon < 0 ? "" : part.substring(0, colon).trim();
            int at = fields.indexOf(name) >= 0 ? fields.indexOf(name) : fields.indexOf(ALIAS.getOrDefault(name, name));
            if (at >= 0) {
                try {
                    figures[at] = Double.valueOf(part.substring(colon + 1).trim());
                } catch (NumberFormatException e) {
                    figures[at] = -1.0;
                }
            }
        }
        return new ArrayList<>(Arrays.asList(figures));
    }
}
