package grebewick.sip;

import grebewick.core.CallControl.Grade;
import grebewick.core.CallControl.Settings;
import grebewick.core.Offer;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * Makes an offer of an INVITE. Guards the core against figures that are none or out of range, and the servers
 * against what they can't read: they close a connection with all that is open on it.
 */
final class OfferReader {
    /** A tier, a number and the codes round them fit into the trunk's 16 KiB beside it. */
    private static final int MOST_DESCRIPTION = 15 * 1024;
    private static final double MOST_FIGURE = 1e6;
    private static final int MOST_NUMBER = 64;
    private static final int MOST_DIGITS = 9;

    /** By class: the longest wait of a caller that makes sense, ms. */
    private final Map<String, Long> longestMs;
    /** By class: the pools that a caller may name; empty: any. */
    private final Map<String, List<Integer>> pools = new HashMap<>();

    OfferReader(Settings set) {
        longestMs = set.grades().stream().collect(Collectors.toMap(Grade::name, g -> 2 * g.hardLimitUs() / 1000, Math::max));
        if (set.familyInfo().shape().equals("pools")) {
            for (int i = 0; i < set.grades().size(); i++) {
                pools.put(set.grades().get(i).name(), set.familyInfo().poolsByClass().get(i));
            }
        }
    }

    /** Throws IllegalArgumentException where the INVITE makes no sense. */
    Offer<byte[]> read(long id, SipMessage m) {
        String number = number(m.uri());
        String tier = m.header("X-Tier", "");
        check(longestMs.containsKey(tier), "X-Tier");
        String wait = m.header("X-Deadline", "");
        check(isNumber(wait), "X-Deadline");
        long waitMs = Long.parseLong(wait);
        check(waitMs > 0 && waitMs <= longestMs.get(tier), "X-Deadline");
        String again = m.header("X-Resent", "0");
        check(again.equals("0") || again.equals("1"), "X-Resent");
        check(m.body().length > 0 && m.body().length <= MOST_DESCRIPTION, "description");
        Map<String, Double> figures = figures(m.header("X-Attrs", ""));
        double width = figures.getOrDefault("width", 1.0);
        double dest = figures.getOrDefault("dest", -1.0);
        check(width > 0 && dest >= -1 && dest == Math.rint(dest), "X-Attrs");
        check(dest < 0 || !pools.containsKey(tier) || pools.get(tier).contains((int) dest), "X-Attrs");
        return new Offer<>(id, tier, number, waitMs * 1000, again.equals("1"),
            figures.getOrDefault("again", 0.0) == 1, width, (int) dest, figures.getOrDefault("via", -1.0), m.body());
    }

    /** The number called, of a {@code sip:} or {@code sips:} address. */
    private static String number(String uri) {
        int from = uri.startsWith("sip:") ? 4 : uri.startsWith("sips:") ? 5 : -1;
        check(from > 0, "number");
        int end = from;
        while (end < uri.length() && uri.charAt(end) != '@') {
            char c = uri.charAt(end++);
            check(c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || "+*#._-".indexOf(c) >= 0, "number");
        }
        check(end > from && end - from <= MOST_NUMBER, "number");
        return uri.substring(from, end);
    }

    private static boolean isNumber(String text) {
        boolean digits = !text.isEmpty() && text.length() <= MOST_DIGITS;
        for (int i = 0; i < text.length(); i++) {
            digits &= text.charAt(i) >= '0' && text.charAt(i) <= '9';
        }
        return digits;
    }

    private static Map<String, Double> figures(String text) {
        Map<String, Double> figures = new HashMap<>();
        for (String part : text.isBlank() ? new String[0] : text.split(";")) {
            int colon = part.indexOf(':');
            check(colon > 0, "X-Attrs");
            double value = Double.parseDouble(part.substring(colon + 1).trim());
            // Not a number and the infinite fail this too.
            check(Math.abs(value) <= MOST_FIGURE, "X-Attrs");
            figures.put(part.substring(0, colon).trim(), value);
        }
        return figures;
    }

    private static void check(boolean holds, String what) {
        if (!holds) {
            throw new IllegalArgumentException(what);
        }
    }
}
