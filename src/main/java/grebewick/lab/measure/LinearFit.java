package grebewick.lab.measure;

import java.util.List;

/**
 * A straight line through measured points, by least squares.
 *
 * @param intercept the value at 0
 * @param slope the value's growth for one more
 * @param largestError the largest distance of a point from the line, as a part of the line's value there
 */
public record LinearFit(double intercept, double slope, double largestError) {
    /** One measured point. */
    public record Point(double x, double y) {}

    /** Fits at least two points with different {@code x}. */
    public static LinearFit of(List<Point> points) {
        double meanX = points.stream().mapToDouble(Point::x).average().orElse(Double.NaN);
        double meanY = points.stream().mapToDouble(Point::y).average().orElse(Double.NaN);
        double covariance = points.stream().mapToDouble(p -> (p.x - meanX) * (p.y - meanY)).sum();
        double variance = points.stream().mapToDouble(p -> (p.x - meanX) * (p.x - meanX)).sum();
        if (!(variance > 0)) {
            throw new IllegalArgumentException("a line needs points at two places: " + points);
        }
        double slope = covariance / variance;
        double intercept = meanY - slope * meanX;
        double error = points.stream().mapToDouble(p -> {
            double onLine = intercept + slope * p.x;
            return onLine == 0 ? 0 : Math.abs((p.y - onLine) / onLine);
        }).max().orElse(0);
        return new LinearFit(intercept, slope, error);
    }

    /** The line's value at {@code x}. */
    public double at(double x) {
        return intercept + slope * x;
    }
}
