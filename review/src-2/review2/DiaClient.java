package review2;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** A sound client: each session is asked for once; an ASR is answered, and followed by an STR (RFC 6733, section 8.5). */
final class DiaClient implements Dia.Handler {
    final Dia.Line line;
    /** By session, the result of its answer. */
    final Map<String, Integer> answers = new ConcurrentHashMap<>();
    /** By session, when it was told that it is over, ms. */
    final Map<String, Long> over = new ConcurrentHashMap<>();
    private final Kit kit;

    DiaClient(Kit kit, int port) throws Exception {
        this.kit = kit;
        line = new Dia.Line(new Socket("127.0.0.1", port), "front.kozos-konyha.example", 1, this);
        line.start();
        line.send(Dia.request(Dia.CER, 0, line.capabilities()));
        for (int i = 0; i < 100 && !line.open; i++) {
            Thread.sleep(50);
        }
        Kit.need(line.open, "no exchange of capabilities");
    }

    /** The same client on a new connection, with its sessions. */
    DiaClient again(Kit with, int port) throws Exception {
        DiaClient next = new DiaClient(with, port);
        next.answers.putAll(answers);
        next.over.putAll(over);
        return next;
    }

    void ask(String id, String firstChoice) throws IOException {
        List<Dia.Avp> avps = session(id);
        avps.add(Dia.text(Dia.DESTINATION_HOST, firstChoice));
        avps.add(Dia.number(Dia.AUTH_REQUEST_TYPE, 1));
        avps.add(Dia.text(1, "7f3a9c21e0b4d655"));
        kit.say("client sends AAR " + id);
        line.send(Dia.request(Dia.AAR, 1, avps));
    }

    /** The client ends a session that stands. */
    void end(String id) throws IOException {
        if (answers.getOrDefault(id, 0) == 2001 && !over.containsKey(id)) {
            kit.say("client ends " + id);
            terminate(id);
        }
    }

    private void terminate(String id) throws IOException {
        List<Dia.Avp> avps = session(id);
        avps.add(Dia.number(Dia.TERMINATION_CAUSE, 1));
        line.send(Dia.request(Dia.STR, 1, avps));
    }

    private List<Dia.Avp> session(String id) {
        List<Dia.Avp> avps = new ArrayList<>(List.of(Dia.text(Dia.SESSION_ID, id)));
        avps.addAll(line.origin());
        avps.add(Dia.text(Dia.DESTINATION_REALM, "kozos-konyha.example"));
        avps.add(Dia.number(Dia.AUTH_APPLICATION, 1));
        return avps;
    }

    @Override
    public void message(Dia.Line on, Dia.Message m) throws IOException {
        String id = m.text(Dia.SESSION_ID);
        if (m.command() == Dia.AAR && !m.isRequest()) {
            kit.say("client got AAA " + id + " " + m.number(Dia.RESULT));
            answers.putIfAbsent(id, m.number(Dia.RESULT));
        } else if (m.command() == Dia.ASR && m.isRequest()) {
            kit.say("client got ASR " + id);
            over.putIfAbsent(id, kit.nowMs());
            line.answer(m, 2001, line.origin());
            terminate(id);
        }
    }

    @Override
    public void closed(Dia.Line on) {
        kit.say("client: its connection has ended");
    }
}
