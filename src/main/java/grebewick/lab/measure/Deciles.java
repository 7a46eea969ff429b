package grebewick.lab.measure;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;

/** The deciles of few values by the nearest rank: each is one of the values. */
public final class Deciles {
    /** Cuts between ten parts. */
    public static final int CUTS = 9;
    private static final int PARTS = 10;

    private final List<Double> sorted;

    private Deciles(List<Double> sorted) {
        this.sorted = sorted;
    }

    /** Those of these values, of which there is at least one. */
    public static Deciles of(Collection<Double> values) {
        if (values.isEmpty()) {
            throw new IllegalArgumentException("no values");
        }
        List<Double> sorted = new ArrayList<>(values);
        Collections.sort(sorted);
        return new Deciles(sorted);
    }

    /** The value that {@code number} tenths of all values do not pass; 10: the largest. */
    public double get(int number) {
        int rank = (int) Math.ceil(number * sorted.size() / (double) PARTS);
        return sorted.get(Math.max(1, rank) - 1);
    }
}
