package grebewick.eventloop;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetSocket;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class BoundedAcceptorTest {
    /** Guards the descriptors: no more connections are accepted than may be open, and the others wait. */
    @Test
    void connectionsPastTheBoundWaitUntilOneIsClosed() throws Exception {
        Vertx vertx = Vertx.builder().with(new VertxOptions().setEventLoopPoolSize(1))
            .withTransport(new BoundedAcceptor(3, new AfterReadQueue())).build();
        BlockingQueue<NetSocket> accepted = new LinkedBlockingQueue<>();
        int port = vertx.createNetServer().connectHandler(accepted::add).listen(0, "127.0.0.1")
            .await(20, TimeUnit.SECONDS).actualPort();
        NetClient client = vertx.createNetClient();
        for (int i = 0; i < 6; i++) {
            client.connect(port, "127.0.0.1").await(20, TimeUnit.SECONDS);
        }
        for (int i = 0; i < 6; i++) {
            NetSocket socket = accepted.poll(20, TimeUnit.SECONDS);
            assertThat(socket).as("connection " + i).isNotNull();
            assertThat(accepted.size() + 1).as("open at once").isLessThanOrEqualTo(3);
            socket.close();
        }
        vertx.close().await(20, TimeUnit.SECONDS);
    }
}
