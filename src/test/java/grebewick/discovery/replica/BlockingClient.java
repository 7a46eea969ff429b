package grebewick.discovery.replica;

import static org.assertj.core.api.Assertions.assertThat;

import grebewick.discovery.transfer.MessageFraming;
import grebewick.discovery.transfer.TransferAssembler;
import grebewick.discovery.transfer.TransferCodec;
import grebewick.discovery.transfer.TransferException;
import grebewick.discovery.transfer.TransferRequest;
import grebewick.discovery.transfer.TransferResponse;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.Arrays;
import java.util.Optional;

/** A client on the system's own sockets: asks and waits, over UDP or TCP. */
final class BlockingClient implements AutoCloseable {
    private static final int PATIENCE_MS = 20_000;
    private static final int MOST_RECORDS = 1_000_000;
    private static final int MOST_BYTES = 1 << 28;

    private final InetSocketAddress server;
    private final DatagramSocket datagrams;
    private Socket stream;
    /** Messages of the answer that was read last. */
    int messages;
    /** us. How old the server's own word was, as its last answer said. */
    long ageUs;

    BlockingClient(int port) throws IOException {
        server = new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port);
        datagrams = new DatagramSocket(0, server.getAddress());
        datagrams.setSoTimeout(PATIENCE_MS);
    }

    /** The server's port. */
    int port() {
        return server.getPort();
    }

    /** Asks by UDP. */
    TransferResponse ask(TransferRequest request) throws IOException, TransferException {
        send(TransferCodec.encodeQuery(request));
        byte[] answer = receive();
        TransferAssembler assembler = new TransferAssembler(request, MOST_RECORDS, MOST_BYTES);
        assembler.add(answer);
        ageUs = assembler.sourceAgeUs();
        return TransferCodec.decodeDatagram(request, answer);
    }

    void send(byte[] bytes) throws IOException {
        datagrams.send(new DatagramPacket(bytes, bytes.length, server));
    }

    byte[] receive() throws IOException {
        DatagramPacket packet = new DatagramPacket(new byte[65_535], 65_535);
        datagrams.receive(packet);
        return Arrays.copyOf(packet.getData(), packet.getLength());
    }

    /** Opens another connection; the system takes so many bytes that are not read. */
    void connect(int receiveBuffer) throws IOException {
        stream = new Socket();
        stream.setReceiveBufferSize(receiveBuffer);
        stream.setSoTimeout(PATIENCE_MS);
        stream.connect(server);
    }

    /** Writes on the connection. */
    void write(byte[] bytes) throws IOException {
        stream.getOutputStream().write(bytes);
    }

    /** Reads at least one byte and up to so many; -1: the end. */
    int read(int most) throws IOException {
        return stream.getInputStream().read(new byte[most]);
    }

    /** Asks on the connection; opens one where there is none. */
    TransferResponse askStream(TransferRequest request) throws IOException, TransferException {
        if (stream == null) {
            connect(1 << 16);
        }
        write(MessageFraming.frame(TransferCodec.encodeQuery(request)));
        return readAnswer(request);
    }

    /** Reads an answer that was asked for. */
    TransferResponse readAnswer(TransferRequest request) throws IOException, TransferException {
        TransferAssembler assembler = new TransferAssembler(request, MOST_RECORDS, MOST_BYTES);
        DataInputStream in = new DataInputStream(stream.getInputStream());
        messages = 0;
        while (true) {
            byte[] message = new byte[in.readUnsignedShort()];
            in.readFully(message);
            messages++;
            Optional<TransferResponse> response = assembler.add(message);
            ageUs = assembler.sourceAgeUs();
            if (response.isPresent()) {
                return response.get();
            }
        }
    }

    /** Waits for the end of the connection. */
    void awaitEnd() throws IOException {
        try {
            while (read(65_536) >= 0) {
                assertThat(stream.isClosed()).isFalse();
            }
        } catch (java.net.SocketException e) {
            // A reset is an end, too.
            assertThat(e).hasMessageContaining("reset");
        }
    }

    @Override
    public void close() throws IOException {
        datagrams.close();
        if (stream != null) {
            stream.close();
        }
    }
}
