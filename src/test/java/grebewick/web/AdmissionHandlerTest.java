package grebewick.web;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import grebewick.play.Scenario;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpVersion;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import java.net.InetAddress;
import java.net.Socket;
import java.util.ArrayDeque;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** A route under admission, whose requests are answered when the test says so. */
class AdmissionHandlerTest {
    /** RFC 9113, section 7: the stream is no longer needed. */
    private static final long CANCEL = 0x8;
    private final Scenario s = new Scenario();
    private final ArrayDeque<RoutingContext> inRoute = new ArrayDeque<>();
    private AdmissionHandler admission;
    private int port;

    @BeforeEach
    void start() {
        port = s.await(() -> {
            admission = AdmissionHandler.create(new AdmissionOptions(1_000_000, 4_000_000, 10), 1, s.clock, s.clock);
            Router router = Router.router(s.vertx);
            router.get("/open").handler(context -> context.response().end());
            router.route("/soup").handler(admission).handler(inRoute::add);
            return s.vertx.createHttpServer().requestHandler(router).listen(0, "127.0.0.1");
        }).actualPort();
        for (String name : new String[] {"a", "b", "c"}) {
            s.client(name, new HttpDialect(), port);
        }
    }

    @AfterEach
    void end() {
        assertThat(s.on(() -> admission.open())).isZero();
        s.close();
    }

    private void answer(int status) {
        s.until(() -> !inRoute.isEmpty()).on(() -> inRoute.poll().response().setStatusCode(status).end());
    }

    @Test
    void requestsAreLetOnAndTheirAnswersPassed() {
        s.play("a > GET /soup");
        answer(200);
        s.play("a < 200\n b > GET /soup");
        answer(500);
        s.play("b < 500\n a has no more\n b has no more");
    }

    /** Guards against requests held to their end: what finds no room within the brief wait is refused then. */
    @Test
    void whatFindsNoRoomIsToldWhenToComeBack() {
        s.play("a > GET /soup");
        s.until(() -> inRoute.size() == 1);
        s.play("b > GET /soup").until(() -> admission.open() == 2);
        s.play("wait 401\n b < 503 retry=1");
        assertThat(s.on(inRoute::size)).isEqualTo(1);
        answer(200);
        s.play("a < 200");
    }

    @Test
    void aRouteThatIsFullIsLeftAlone() {
        s.play("a > GET /soup");
        answer(503);
        s.play("a < 503\n b > GET /soup").until(() -> admission.open() == 1);
        s.play("wait 401\n b < 503 retry=1");
        assertThat(s.on(inRoute::isEmpty)).isTrue();
    }

    @Test
    void aClientThatLeavesFreesItsPlace() {
        s.play("a > GET /soup").until(() -> inRoute.size() == 1);
        s.play("a closes").until(() -> admission.open() == 0);
        s.on(inRoute::poll);
        s.play("c > GET /soup");
        answer(200);
        s.play("c < 200");
    }

    /** Guards the route against a request whose client left while it waited, though its body is not read meanwhile. */
    @Test
    void whoLeftWhileItWaitedIsNotLetOn() throws Exception {
        s.play("a > GET /soup").until(() -> inRoute.size() == 1);
        try (Socket b = new Socket(InetAddress.getByName("127.0.0.1"), port)) {
            b.getOutputStream().write("POST /soup HTTP/1.1\r\nHost: x\r\nContent-Length: 1000000\r\n\r\n".getBytes());
            b.getOutputStream().write(new byte[100_000]);
            s.until(() -> admission.open() == 2);
        }
        s.until(() -> admission.open() == 1);
        answer(200);
        s.play("a < 200\n a has no more");
        assertThat(s.on(inRoute::isEmpty)).isTrue();
    }

    /** The same where its connection stays: an HTTP/2 client resets the request's stream alone. */
    @Test
    void aRequestWhoseStreamWasResetWhileItWaitedIsNotLetOn() {
        s.play("a > GET /soup").until(() -> inRoute.size() == 1);
        HttpClient client = s.on(() -> s.vertx.createHttpClient(
            new HttpClientOptions().setProtocolVersion(HttpVersion.HTTP_2).setHttp2ClearTextUpgrade(false)));
        HttpClientRequest request = s.await(() -> client.request(HttpMethod.GET, port, "127.0.0.1", "/soup?b"));
        s.on(request::send);
        s.until(() -> admission.open() == 2);
        s.on(() -> request.reset(CANCEL));
        s.until(() -> admission.open() == 1);
        answer(200);
        s.play("a < 200\n a has no more");
        // The connection serves on: the request was reset, and not closed with it.
        int status = s.await(() -> client.request(HttpMethod.GET, port, "127.0.0.1", "/open").compose(HttpClientRequest::send))
            .statusCode();
        assertThat(status).isEqualTo(200);
        assertThat(s.on(inRoute::isEmpty)).isTrue();
    }

    /** Guards the route against a request that a late loop reads before it reads that its client has left. */
    @Test
    void whoLeftWhileTheLoopStoodStillIsNotLetOn() throws Exception {
        int late = s.await(() -> {
            Router router = Router.router(s.vertx);
            router.get("/open").handler(context -> context.response().end());
            router.route("/soup").handler(AdmissionHandler.create(s.vertx, new AdmissionOptions(1_000_000, 4_000_000, 10)))
                .handler(inRoute::add);
            return s.vertx.createHttpServer().requestHandler(router).listen(0, "127.0.0.1");
        }).actualPort();
        CountDownLatch held = new CountDownLatch(1);
        try (Socket b = new Socket(InetAddress.getByName("127.0.0.1"), late)) {
            // Known to the loop, which then stands still.
            b.getOutputStream().write("GET /open HTTP/1.1\r\nHost: x\r\n\r\n".getBytes());
            assertThat(b.getInputStream().read()).isNotNegative();
            s.vertx.runOnContext(v -> await(held));
            b.getOutputStream().write("GET /soup?b HTTP/1.1\r\nHost: x\r\n\r\n".getBytes());
        }
        held.countDown();
        s.client("e", new HttpDialect(), late);
        s.play("e > GET /soup?e").until(() -> !inRoute.isEmpty());
        assertThat(s.on(() -> inRoute.element().request().query())).isEqualTo("e");
        answer(200);
        s.play("e < 200\n e has no more");
        assertThat(s.on(inRoute::isEmpty)).isTrue();
    }

    private static void await(CountDownLatch latch) {
        try {
            latch.await(20, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Test
    void optionsThatCannotWorkAreRefused() {
        assertThatThrownBy(() -> new AdmissionOptions(2, 1, 1)).isInstanceOf(IllegalArgumentException.class);
    }
}
