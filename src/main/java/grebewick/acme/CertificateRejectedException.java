package grebewick.acme;

/** A certificate chain that can't be served with; the message says why. */
final class CertificateRejectedException extends Exception {
    private static final long serialVersionUID = 1L;

    CertificateRejectedException(String why) {
        super(why);
    }

    CertificateRejectedException(String why, Throwable cause) {
        super(why + ": " + cause.getMessage(), cause);
    }
}
