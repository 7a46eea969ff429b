package grebewick.diameter;

import java.util.List;

/** Who a node is: its identity and realm, and its Origin-State-Id (RFC 6733, section 8.16). */
record Identity(String host, String realm, long stateId) {
    List<Avp> origin() {
        return List.of(Avp.text(Avp.ORIGIN_HOST, host), Avp.text(Avp.ORIGIN_REALM, realm));
    }
}
