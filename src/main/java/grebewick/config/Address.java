package grebewick.config;

import io.vertx.core.net.SocketAddress;

/** A numeric address and port. */
public record Address(String host, int port) {
    /** Reads {@code host:port}. */
    public static Address parse(String text) {
        int colon = text.lastIndexOf(':');
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            if (colon > 0 && port >= 0 && port <= 65535) {
                return new Address(text.substring(0, colon), port);
            }
        } catch (NumberFormatException e) {
            // Said below, with the text.
        }
        throw new ConfigurationException("'" + text + "' is not host:port");
    }

    /** The address as Vert.x wants it. */
    public SocketAddress socket() {
        return SocketAddress.inetSocketAddress(port, host);
    }

    @Override
    public String toString() {
        return host + ":" + port;
    }
}
