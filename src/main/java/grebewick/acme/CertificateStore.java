package grebewick.acme;

import java.io.IOException;
import java.io.Reader;
import java.io.StringWriter;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.nio.file.attribute.PosixFilePermissions;
import java.security.KeyPair;
import java.util.Optional;
import java.util.function.Consumer;
import org.shredzone.acme4j.util.KeyPairUtils;

/** The folder that keeps the account's key, and the chain with its key. */
final class CertificateStore {
    /** Chain and key in one file, so that they can't come apart. */
    private static final String CHAIN = "certificate.pem";
    private static final String ACCOUNT = "account.pem";
    private static final String CURVE = "secp256r1";

    private final AcmeConfig config;
    private final Consumer<String> log;

    CertificateStore(AcmeConfig config, Consumer<String> log) {
        this.config = config;
        this.log = log;
    }

    /** The chain that is kept; empty where there is none, or none that can be served with. */
    Optional<CertificateChain> chain() {
        if (!Files.exists(file(CHAIN))) {
            return Optional.empty();
        }
        try {
            return Optional.of(CertificateChain.read(Files.readString(file(CHAIN), StandardCharsets.US_ASCII), config.domain()));
        } catch (IOException | CertificateRejectedException e) {
            log.accept("acme: " + file(CHAIN) + " cannot be used: " + e.getMessage());
            return Optional.empty();
        }
    }

    void keep(CertificateChain chain) throws IOException {
        write(CHAIN, chain.pem());
    }

    /** The account's key; a new one where there is none. */
    KeyPair accountKey() throws IOException {
        Files.createDirectories(config.folder());
        if (Files.exists(file(ACCOUNT))) {
            try (Reader in = Files.newBufferedReader(file(ACCOUNT))) {
                return KeyPairUtils.readKeyPair(in);
            }
        }
        KeyPair made = newKey();
        StringWriter text = new StringWriter();
        KeyPairUtils.writeKeyPair(made, text);
        write(ACCOUNT, text.toString());
        return made;
    }

    static KeyPair newKey() {
        return KeyPairUtils.createECKeyPair(CURVE);
    }

    private Path file(String name) {
        return config.folder().resolve(name);
    }

    /** Whole or not at all: a process or a machine that ends in between leaves the old file. */
    private void write(String name, String text) throws IOException {
        Path draft = file(name + ".new");
        Files.deleteIfExists(draft);
        try (FileChannel out = FileChannel.open(Files.createFile(draft,
            PosixFilePermissions.asFileAttribute(PosixFilePermissions.fromString("rw-------"))), StandardOpenOption.WRITE)) {
            ByteBuffer bytes = StandardCharsets.US_ASCII.encode(text);
            while (bytes.hasRemaining()) {
                out.write(bytes);
            }
            out.force(true);
        }
        Files.move(draft, file(name), StandardCopyOption.REPLACE_EXISTING, StandardCopyOption.ATOMIC_MOVE);
    }
}
