package grebewick.benchlink;

import grebewick.core.Logic;
import java.io.BufferedReader;
import java.io.BufferedWriter;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStreamWriter;
import java.nio.charset.StandardCharsets;

/** Speaks the simulator's wire on standard input and output. */
public final class Adapter {
    private Adapter() {}

    /** Runs until the input ends; gives the exit code, 0 at the end of input and 1 on bad input. */
    public static int run() throws IOException {
        try {
            new Loop(Logic::new).run(
                new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8), 1 << 16),
                new BufferedWriter(new OutputStreamWriter(System.out, StandardCharsets.UTF_8), 1 << 16));
            return 0;
        } catch (WireException e) {
            System.err.println(e.getMessage());
            return 1;
        }
    }
}
