package grebewick.web;

import grebewick.play.Dialect;
import io.vertx.core.buffer.Buffer;
import java.util.function.Consumer;

/** An HTTP client's messages as text: {@code GET /soup}, {@code 503 retry=1}. Answers come whole on loopback. */
final class HttpDialect implements Dialect {
    @Override
    public Buffer encode(String text) {
        return Buffer.buffer(text + " HTTP/1.1\r\nHost: x\r\n\r\n");
    }

    @Override
    public Consumer<Buffer> reader(Consumer<String> each) {
        StringBuilder held = new StringBuilder();
        return bytes -> {
            held.append(bytes);
            for (int end = held.indexOf("\r\n\r\n"); end >= 0; end = held.indexOf("\r\n\r\n")) {
                String head = held.substring(0, end).toLowerCase();
                held.delete(0, end + 4);
                int retry = head.indexOf("retry-after: ");
                each.accept(head.split(" ")[1] + (retry < 0 ? "" : " retry=" + head.substring(retry + 13).split("\r\n")[0]));
            }
        };
    }

    @Override
    public String[] ping() {
        return new String[] {"GET /open", "200"};
    }
}
