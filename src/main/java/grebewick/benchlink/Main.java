package grebewick.benchlink;

import grebewick.Logic;
import java.io.BufferedReader;
import java.io.BufferedWriter;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStreamWriter;
import java.nio.charset.StandardCharsets;

/** Command line: {@code benchlink} speaks the wire on standard input and output. */
public final class Main {
    private Main() { }

    /** Runs the adapter; exits with 0 at the end of input, 1 on bad input, 2 on a bad command line. */
    public static void main(String[] args) throws IOException {
        if (args.length != 1 || !args[0].equals("benchlink")) {
            System.err.println("usage: java -jar grebewick.jar benchlink");
            System.exit(2);
        }
        try {
            new Loop(Logic::new).run(
                new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8), 1 << 16),
                new BufferedWriter(new OutputStreamWriter(System.out, StandardCharsets.UTF_8), 1 << 16));
        } catch (WireException e) {
            System.err.println(e.getMessage());
            System.exit(1);
        }
    }
}
