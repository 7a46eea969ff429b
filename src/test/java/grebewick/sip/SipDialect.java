package grebewick.sip;

import grebewick.play.Dialect;
import grebewick.play.Sites;
import grebewick.sip.SipMessage.Header;
import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** A caller's messages as text: {@code INVITE 01 deadline=2000}, {@code 503 INVITE 01 retry=1}, {@code BYE 01 16}. */
public final class SipDialect implements Dialect {
    @Override
    public Buffer encode(String text) {
        String[] w = text.split(" ");
        if (w[0].equals("raw")) {
            return Buffer.buffer(text.substring(4).replace("|", "\r\n"));
        }
        Map<String, String> o = Sites.options(w, 2);
        boolean answer = Character.isDigit(w[0].charAt(0));
        String id = String.format("%016x", Long.parseUnsignedLong(w[answer ? 2 : 1], 16));
        String method = answer ? w[1] : w[0];
        List<Header> headers = new ArrayList<>(List.of(new Header("Via", "SIP/2.0/TCP peer"), new Header("Call-ID", id),
            new Header("CSeq", "1 " + method)));
        byte[] body = {};
        if (method.equals("INVITE")) {
            headers.add(new Header("X-Tier", o.getOrDefault("tier", "a")));
            headers.add(new Header("X-Deadline", o.getOrDefault("deadline", "4000")));
            headers.add(new Header("X-Attrs", o.getOrDefault("attrs", "dest:0;width:1;via:-1")));
            body = o.getOrDefault("offer", "offer-" + w[1]).getBytes(StandardCharsets.UTF_8);
        }
        return SipCodec.encode(new SipMessage(method, "sip:55@net", answer ? Integer.parseInt(w[0]) : 0, "OK", headers, body));
    }

    @Override
    public Consumer<Buffer> reader(Consumer<String> each) {
        SipCodec codec = new SipCodec();
        return bytes -> codec.read(bytes, m -> {
            StringBuilder line = new StringBuilder(m.isRequest() ? "" : m.status() + " ").append(m.method()).append(' ')
                .append(String.format("%02x", Long.parseUnsignedLong(m.header("Call-ID"), 16)));
            if (m.header("Reason") != null) {
                line.append(' ').append(m.header("Reason").replace("Q.850;cause=", ""));
            }
            if (m.header("Retry-After") != null) {
                line.append(" retry=").append(m.header("Retry-After"));
            }
            each.accept(line.append(m.body().length > 0 ? " " + new String(m.body(), StandardCharsets.UTF_8) : "").toString());
        });
    }

    @Override
    public String[] ping() {
        return new String[] {"OPTIONS ff", "200 OPTIONS ff"};
    }
}
