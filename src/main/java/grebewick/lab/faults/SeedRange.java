package grebewick.lab.faults;

import java.util.regex.Matcher;
import java.util.regex.Pattern;
import picocli.CommandLine.ITypeConverter;
import picocli.CommandLine.TypeConversionException;

/** Seeds from the first to the last, both included. */
record SeedRange(long first, long last) {
    private static final Pattern FORM = Pattern.compile("(\\d{1,18})(?:-(\\d{1,18}))?");

    /** For options of a command line; what cannot be read is said with the option's name, exit code 2. */
    static final class SeedReader implements ITypeConverter<SeedRange> {
        @Override
        public SeedRange convert(String text) {
            return parse(text);
        }
    }

    /** Reads {@code 3} or {@code 1-50}. */
    static SeedRange parse(String text) {
        Matcher matcher = FORM.matcher(text);
        if (!matcher.matches()) {
            throw new TypeConversionException("'" + text + "' is not of the form 3 or 1-50");
        }
        long first = Long.parseLong(matcher.group(1));
        long last = matcher.group(2) == null ? first : Long.parseLong(matcher.group(2));
        if (last < first) {
            throw new TypeConversionException(text + " ends before it begins");
        }
        return new SeedRange(first, last);
    }
}
