package grebewick.lab.hostile;

import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;

/** What fronts over HTTP/1.1 have in common. */
abstract class HttpUnderTest implements FrontUnderTest {
    private static final int BODY = 14_000;
    private static final int FIELDS = 1_200;

    /** The path of a sound request. */
    abstract String path(long number);

    @Override
    public void greet(DataInputStream in, OutputStream out) throws IOException {
        // A client says nothing first.
    }

    private static byte[] text(String head, String body) {
        return (head + "Host: localhost\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
            .getBytes(StandardCharsets.US_ASCII);
    }

    @Override
    public byte[] request(long number) {
        return text("GET " + path(number) + " HTTP/1.1\r\n", "");
    }

    @Override
    public byte[] useless(HostileTraffic kind, long number) {
        return switch (kind) {
            case UNKNOWN_ENDS -> text("DELETE " + path(number) + " HTTP/1.1\r\n", "");
            case UNSOUND -> text("GET /nothing/" + number + " HTTP/1.1\r\n", "");
            case SOUND_FLOOD -> request(number);
            default -> text("OPTIONS * HTTP/1.1\r\n", "");
        };
    }

    @Override
    public byte[] large(boolean manyFields, long number) {
        String line = "POST " + path(number) + " HTTP/1.1\r\n";
        return manyFields ? text(line + "v:1\r\n".repeat(FIELDS), "") : text(line, "x".repeat(BODY));
    }

    @Override
    public boolean readAnswer(DataInputStream in, OutputStream out) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.length() < 4 || !head.substring(head.length() - 4).equals("\r\n\r\n")) {
            head.append((char) in.readUnsignedByte());
        }
        String lower = head.toString().toLowerCase();
        in.readNBytes(Integer.parseInt(lower.replaceAll("(?s).*content-length: (\\d+).*", "$1")));
        return !lower.startsWith("http/1.1 5");
    }
}
