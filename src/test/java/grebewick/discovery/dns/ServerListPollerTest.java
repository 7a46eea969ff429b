package grebewick.discovery.dns;

import static org.assertj.core.api.Assertions.assertThat;

import grebewick.config.Address;
import grebewick.config.Endpoint;
import grebewick.core.CallControl.ServerEntry;
import grebewick.core.CallControl.Stage;
import grebewick.lab.StandInNames;
import grebewick.play.Scenario;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.datagram.DatagramPacket;
import io.vertx.core.datagram.DatagramSocket;
import java.net.InetAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.xbill.DNS.ARecord;
import org.xbill.DNS.DClass;
import org.xbill.DNS.Flags;
import org.xbill.DNS.Message;
import org.xbill.DNS.Name;
import org.xbill.DNS.Record;
import org.xbill.DNS.SOARecord;
import org.xbill.DNS.SRVRecord;
import org.xbill.DNS.Section;
import org.xbill.DNS.TXTRecord;
import org.xbill.DNS.Type;

/** The list by DNS, against a stand-in name service of dnsjava's records. */
class ServerListPollerTest {
    private static final Endpoint KNOWN = new Endpoint(new ServerEntry("s-1", 2, Stage.HEALTHY, 0, "std", "east", 4),
        new Address("127.1.0.9", 5070));
    private final Scenario s = new Scenario();
    private final List<List<Endpoint>> told = new ArrayList<>();
    private final List<String> log = new ArrayList<>();
    private long serial = 3;
    private int priority;
    private String started = "0";
    private int lost;
    private boolean garbage;
    private int asked;
    private int listsAsked;
    private int rcode;
    private int otherId;
    private boolean cut;
    private boolean nobody;
    private boolean onlyLists;
    private boolean onlyDetails;
    private boolean namesNoServer;
    private ServerListPoller poller;

    @BeforeEach
    void start() {
        Address at = server();
        s.on(() -> {
            poller = new ServerListPoller(s.vertx, s.clock, s.clock, at, 3, List.of(), told::add, log::add);
            poller.start();
            return null;
        });
    }

    private Address server() {
        DatagramSocket server = s.on(() -> s.vertx.createDatagramSocket());
        server.handler(packet -> {
            asked++;
            listsAsked += isForList(packet.data().getBytes()) ? 1 : 0;
            if (lost-- <= 0 && (!onlyLists || isForList(packet.data().getBytes()))
                && !(onlyDetails && isForList(packet.data().getBytes()))) {
                server.send(Buffer.buffer(garbage ? new byte[] {1, 2, 3} : answer(packet.data().getBytes())),
                    packet.sender().port(), packet.sender().host());
            }
        });
        return new Address("127.0.0.1", s.await(() -> server.listen(0, "127.0.0.1")).localAddress().port());
    }

    @AfterEach
    void end() {
        s.close();
    }

    private static boolean isForList(byte[] bytes) {
        try {
            return new Message(bytes).getQuestion().getType() == Type.SRV;
        } catch (java.io.IOException e) {
            throw new AssertionError(e);
        }
    }

    /** Guards against a list that is silent for good once its socket has failed. */
    @Test
    void aSocketThatIsClosedIsReplaced() {
        s.await(() -> poller.socket.close());
        s.play("wait 100");
        s.until(() -> log.stream().anyMatch(line -> line.contains("another is opened")));
        int before = asked;
        s.play("wait 100");
        s.until(() -> asked > before);
        priority = 1;
        serial = 4;
        s.play("wait 100");
        s.until(() -> told.stream().anyMatch(list -> list.get(0).entry().stage() == Stage.DRAINING));
    }

    private byte[] answer(byte[] bytes) {
        try {
            Message question = new Message(bytes);
            Message m = new Message(question.getHeader().getID() ^ otherId);
            m.getHeader().setFlag(Flags.QR);
            m.getHeader().setRcode(rcode);
            if (cut) {
                m.getHeader().setFlag(Flags.TC);
            }
            m.addRecord(question.getQuestion(), Section.QUESTION);
            Name host = Name.fromString("s-1.east.hosts.");
            Name zone = Name.fromString("fleet.local.");
            Record found = switch (question.getQuestion().getType()) {
                case Type.SRV ->
                    new SRVRecord(Name.fromString("_work._tcp.fleet.local."), DClass.IN, 0, priority, 40, 5070,
                        namesNoServer ? Name.root : host);
                case Type.A -> new ARecord(host, DClass.IN, 0, InetAddress.getByName("127.1.0.9"));
                default -> new TXTRecord(host, DClass.IN, 0, List.of("kind=std", "cell=2", "started=" + started));
            };
            if (!nobody) {
                m.addRecord(found, Section.ANSWER);
            }
            m.addRecord(new SOARecord(zone, DClass.IN, 0, zone, zone, serial, 1, 1, 1, 1), Section.AUTHORITY);
            return m.toWire();
        } catch (java.io.IOException e) {
            throw new AssertionError(e);
        }
    }

    /** Lets one poll go by and waits for {@code n} questions after it. */
    private void poll(int n) {
        int before = s.on(() -> asked);
        s.play("wait 200").until(() -> asked >= before + n);
    }

    @Test
    void aNewerListIsToldOnceWholeAndInFull() {
        poll(1);
        assertThat(s.on(() -> told.size())).as("event 3 is known").isZero();
        serial = 4;
        priority = 1;
        started = "1700000000123";
        poll(3);
        s.until(() -> told.size() == 1);
        Endpoint e = told.get(0).get(0);
        assertThat(e.address()).isEqualTo(new Address("127.1.0.9", 5070));
        assertThat(e.entry().server()).isEqualTo("s-1");
        assertThat(e.entry().zone()).isEqualTo("east");
        assertThat(e.entry().placeNo()).isEqualTo(2);
        assertThat(e.entry().stage()).isEqualTo(Stage.DRAINING);
        assertThat(e.entry().startedAtUs()).isEqualTo(1_700_000_000_123_000L);
        assertThat(e.entry().weight()).isEqualTo(4);
        poll(1);
        assertThat(s.on(() -> told.size())).isEqualTo(1);
    }

    @Test
    void lostAndBrokenAnswersAreAskedForAgain() {
        garbage = true;
        poll(1);
        s.until(() -> log.stream().anyMatch(line -> line.startsWith("names: ")));
        garbage = false;
        serial = 5;
        lost = 1;
        poll(1);
        // The second question of these may have brought the list already: then nothing more is asked.
        s.play("wait 200").until(() -> told.size() == 1);
    }

    /** Guards against answers that are no answers: a failure, a cut list, another id, an older list. */
    @Test
    void whatIsNoWholeAnswerToAnOpenQuestionChangesNothing() {
        serial = 9;
        rcode = 2;
        poll(2);
        rcode = 0;
        cut = true;
        poll(2);
        cut = false;
        otherId = 1;
        poll(2);
        s.until(() -> log.stream().anyMatch(line -> line.contains("no open question")));
        otherId = 0;
        assertThat(s.on(() -> told.size())).isZero();
        poll(3);
        s.until(() -> told.size() == 1);
        serial = 8;
        priority = 1;
        poll(2);
        serial = 10;
        poll(3);
        s.until(() -> told.size() == 2);
        assertThat(told.get(1).get(0).entry().stage()).isEqualTo(Stage.DRAINING);
    }

    /** Guards against a drain heeded late, as the other records of a server got lost. */
    @Test
    void aDrainIsToldOnceTheListHasIt() {
        Address at = server();
        s.on(() -> {
            new ServerListPoller(s.vertx, s.clock, s.clock, at, 3, List.of(KNOWN), told::add, log::add).start();
            onlyLists = true;
            serial = 4;
            priority = 1;
            return null;
        });
        poll(2);
        s.until(() -> told.size() == 1);
        assertThat(told.get(0).get(0).entry().stage()).isEqualTo(Stage.DRAINING);
        assertThat(told.get(0).get(0).entry().placeNo()).isEqualTo(2);
    }

    /** Guards a list that goes silent for seconds: what comes then is of any age and in any order, and undoes nothing. */
    @Test
    void answersThatComeBackAfterSecondsInAnyOrderUndoNothing() {
        List<DatagramPacket> held = new ArrayList<>();
        List<List<Endpoint>> heard = new ArrayList<>();
        DatagramSocket slow = s.on(() -> s.vertx.createDatagramSocket());
        slow.handler(held::add);
        Address at = new Address("127.0.0.1", s.await(() -> slow.listen(0, "127.0.0.1")).localAddress().port());
        s.on(() -> {
            new ServerListPoller(s.vertx, s.clock, s.clock, at, 3, List.of(KNOWN), heard::add, log::add).start();
            return null;
        });
        s.play("wait 3000").until(() -> held.size() == 31);
        s.on(() -> {
            serial = 6;
            priority = 1;
            sends(slow, held.get(30));
            serial = 5;
            priority = 0;
            held.subList(0, 30).forEach(each -> sends(slow, each));
            // The same once more: its question is not open any more.
            serial = 7;
            sends(slow, held.get(30));
            return null;
        });
        s.until(() -> log.stream().anyMatch(line -> line.contains("no open question")));
        s.play("wait 100").until(() -> held.size() >= 32);
        assertThat(heard).hasSize(1);
        assertThat(heard.get(0).get(0).entry().stage()).isEqualTo(Stage.DRAINING);
    }

    private void sends(DatagramSocket from, DatagramPacket question) {
        from.send(Buffer.buffer(answer(question.data().getBytes())), question.sender().port(), question.sender().host());
    }

    /** Guards the numbering over a reload: the new address is asked at once, and the old one falls silent. */
    @Test
    void afterAMoveOnlyTheNewAddressIsAskedAndTheNumbersCarryOn() {
        s.play("wait 200").until(() -> asked == 3);
        DatagramSocket next = s.on(() -> s.vertx.createDatagramSocket());
        next.handler(packet -> next.send(Buffer.buffer(answer(packet.data().getBytes())), packet.sender().port(),
            packet.sender().host()));
        Address at = new Address("127.0.0.1", s.await(() -> next.listen(0, "127.0.0.1")).localAddress().port());
        serial = 3;
        int before = s.on(() -> {
            poller.move(at);
            poller.move(at);
            return asked;
        });
        s.play("wait 300");
        assertThat(s.on(() -> told.size())).as("event 3 is known").isZero();
        serial = 4;
        s.play("wait 100").until(() -> told.size() == 1);
        assertThat(s.on(() -> asked)).as("asked at the old address").isEqualTo(before);
    }

    /** Guards against lists longer than what a socket reads unless told, and against a drain that hides in one. */
    @Test
    void aListOfAThousandServersIsToldWholeAndADrainInItAtOnce() {
        StandInNames names = s.on(() -> new StandInNames(s.vertx));
        int port = s.await(names::listen);
        List<StandInNames.Host> hosts = new ArrayList<>(IntStream.range(0, 1024).mapToObj(i -> new StandInNames.Host(
            "s-%08x".formatted(i), "east", 5000 + i, i % 8, false, 1_700_000_000_000L + i)).toList());
        s.on(() -> {
            names.list(hosts);
            new ServerListPoller(s.vertx, s.clock, s.clock, new Address("127.0.0.1", port), 1, List.of(), told::add, log::add)
                .start();
            return null;
        });
        int[] looks = {0};
        s.until(() -> {
            // Answers come in between: a clock that runs ahead of them would only flood both sides with questions.
            if (looks[0]++ % 200 == 0) {
                s.clock.pass(100_000);
            }
            return !told.isEmpty() && told.get(told.size() - 1).size() == 1024;
        });
        assertThat(s.on(() -> told.get(told.size() - 1).get(1023).entry().startedAtUs())).isEqualTo(1_700_000_001_023_000L);
        int before = s.on(() -> {
            hosts.set(1023, new StandInNames.Host("s-000003ff", "east", 6023, 7, true, 1_700_000_001_023L));
            names.list(hosts);
            return told.size();
        });
        s.play("wait 100").until(() -> told.size() > before);
        assertThat(s.on(() -> told.get(before).get(1023).entry().stage())).isEqualTo(Stage.DRAINING);
    }

    /** Guards against a list too long for its answers: it names drains all the same, and a whole list has the last word. */
    @Test
    void aCutAnswerTellsDrainsAndNothingElse() {
        Address at = server();
        s.on(() -> {
            cut = true;
            priority = 1;
            new ServerListPoller(s.vertx, s.clock, s.clock, at, 3, List.of(KNOWN), told::add, log::add).start();
            return null;
        });
        s.until(() -> told.size() == 1);
        assertThat(told.get(0).get(0).entry().stage()).isEqualTo(Stage.DRAINING);
        priority = 0;
        cut = false;
        s.play("wait 200").until(() -> told.size() == 2);
        assertThat(told.get(1).get(0).entry().stage()).isEqualTo(Stage.HEALTHY);
    }

    /** Guards against set-ups to the last server, once it is gone; what makes no sense of a server changes nothing. */
    @Test
    void anEmptyListIsToldAndAStartThatIsNoNumberIsNot() {
        serial = 4;
        started = "soon";
        s.play("wait 200").until(() -> log.stream().anyMatch(line -> line.contains("soon")));
        started = "0";
        s.play("wait 100").until(() -> told.size() == 1);
        nobody = true;
        serial = 5;
        s.play("wait 200").until(() -> told.size() == 2);
        assertThat(told.get(1)).isEmpty();
    }

    /** A listener that takes the moments of confirmed questions alone. */
    private static ServerListPoller.Listener confirmations(List<Long> to) {
        return new ServerListPoller.Listener() {
            @Override
            public void listed(List<Endpoint> servers) {}

            @Override
            public void confirmed(long askedUs) {
                to.add(askedUs);
            }
        };
    }

    /** What an answer is like that does not say that the list held is the latest. */
    private enum NoConfirmation {
        FAILED, CUT, OTHER_ID, OLDER, NONE_TO_THE_LIST, UNREADABLE
    }

    private void spoil(NoConfirmation how) {
        rcode = how == NoConfirmation.FAILED ? 2 : 0;
        cut = how == NoConfirmation.CUT;
        otherId = how == NoConfirmation.OTHER_ID ? 1 : 0;
        serial = how == NoConfirmation.OLDER ? 3 : 4;
        onlyDetails = how == NoConfirmation.NONE_TO_THE_LIST;
        garbage = how == NoConfirmation.UNREADABLE;
    }

    /** Guards against a list that counts as confirmed though no whole answer to the question after it came. */
    @ParameterizedTest
    @EnumSource(NoConfirmation.class)
    void nothingButAWholeAnswerOnTheListConfirmsIt(NoConfirmation how) {
        List<Long> confirmed = new ArrayList<>();
        Address at = server();
        serial = 4;
        s.on(() -> {
            new ServerListPoller(s.vertx, s.clock, s.clock, at, 3, List.of(KNOWN), confirmations(confirmed), log::add).start();
            return null;
        });
        s.until(() -> confirmed.size() == 1);
        s.on(() -> {
            spoil(how);
            return null;
        });
        // Both pollers' questions of the start and of ten polls: none is left that a good answer could come to.
        s.play("wait 1000").until(() -> listsAsked == 2 * 11);
        long lastUs = s.on(() -> {
            spoil(null);
            assertThat(confirmed).hasSize(1);
            return s.clock.nowUs();
        });
        s.play("wait 100").until(() -> confirmed.size() > 1);
        assertThat(s.on(() -> confirmed.get(1))).isEqualTo(lastUs + 100_000);
    }

    /** Guards against readiness that counts from an answer: a change may have come after the question. */
    @Test
    void aDelayedAnswerConfirmsTheListAsOfItsQuestion() {
        List<Long> confirmed = new ArrayList<>();
        List<DatagramPacket> held = new ArrayList<>();
        DatagramSocket slow = s.on(() -> s.vertx.createDatagramSocket());
        slow.handler(held::add);
        Address at = new Address("127.0.0.1", s.await(() -> slow.listen(0, "127.0.0.1")).localAddress().port());
        long beganUs = s.on(() -> {
            new ServerListPoller(s.vertx, s.clock, s.clock, at, 3, List.of(KNOWN), confirmations(confirmed), log::add).start();
            return s.clock.nowUs();
        });
        s.play("wait 2000").until(() -> held.size() == 21);
        s.on(() -> {
            sends(slow, held.get(10));
            sends(slow, held.get(10));
            sends(slow, held.get(3));
            return null;
        });
        s.until(() -> confirmed.size() == 2);
        assertThat(confirmed).containsExactly(beganUs + 1_000_000, beganUs + 300_000);
    }

    /** Guards against polls that end for good with an entry that names no server. */
    @Test
    void anEntryWithoutANameChangesNothingAndIsAskedForAgain() {
        namesNoServer = true;
        serial = 4;
        s.play("wait 100").until(() -> log.stream().anyMatch(line -> line.contains("names no server")));
        namesNoServer = false;
        s.play("wait 100").until(() -> told.size() == 1);
        assertThat(told.get(0).get(0).entry().server()).isEqualTo("s-1");
    }
}
