package grebewick.lab.hostile;

import grebewick.web.AdmissionHandler;
import grebewick.web.AdmissionOptions;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.ext.web.Router;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;

/** A process with one route behind the admission handler, which answers after a short while. */
public final class AdmittedRoute {
    private static final int ANSWER_MS = 20;
    private static final int AIM_US = 500_000;
    private static final int DEADLINE_US = 2_500_000;
    private static final int MAX_OPEN = 1_000;

    private AdmittedRoute() {}

    /** Takes the port and the file for the numbers of the requests that reach the route. */
    public static void main(String[] args) throws Exception {
        Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
        PrintStream log = new PrintStream(Files.newOutputStream(Path.of(args[1])), true);
        Router router = Router.router(vertx);
        router.route("/recipes/:id").handler(AdmissionHandler.create(vertx, new AdmissionOptions(AIM_US, DEADLINE_US, MAX_OPEN)))
            .handler(context -> {
                log.println(context.pathParam("id"));
                vertx.setTimer(ANSWER_MS, t -> context.response().end("ok"));
            });
        vertx.createHttpServer(new HttpServerOptions().setMaxHeaderSize(16 * 1024)).requestHandler(router)
            .listen(Integer.parseInt(args[0]), "127.0.0.1");
    }
}
