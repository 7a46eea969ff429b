package grebewick.play;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/**
 * Plays a scenario against a program on loopback sockets. A line is {@code PARTY > MESSAGE} (send),
 * {@code PARTY < MESSAGE} (expect; {@code *} at the end stands for any rest), {@code PARTY connects}, {@code PARTY closes},
 * {@code PARTY closes eldest} (of its connections),
 * {@code PARTY sees the end}, {@code PARTY listens}, {@code PARTY stops}, {@code PARTY has no more},
 * {@code PARTY hangs} (it says and answers nothing of itself any more, its connections stay open), {@code PARTY goes on},
 * {@code PARTY reached N} (so many connections with it have come up in all), {@code PARTY lost N} (so many have ended),
 * {@code PARTY may MESSAGE} (one that has stopped may have heard this message before, and no other),
 * what an {@linkplain #actor actor} does,
 * {@code loop is late} (what is chosen from now on waits for what has come in to be read), {@code loop is caught-up}, or
 * {@code wait MS}. Expectations wait for the message itself; only {@code wait} lets time pass.
 */
public final class Scenario implements AutoCloseable {
    private static final long PATIENCE_S = 20;

    public final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
    public final HandClock clock = new HandClock();
    private final Context loop = vertx.getOrCreateContext();
    private final Map<String, Party> parties = new LinkedHashMap<>();
    private final Map<String, Map<String, Runnable>> actors = new LinkedHashMap<>();

    /** Runs a step on the event loop and waits for it. */
    public <T> T on(Callable<T> step) {
        CompletableFuture<T> done = new CompletableFuture<>();
        loop.runOnContext(v -> {
            try {
                done.complete(step.call());
            } catch (Throwable e) {
                done.completeExceptionally(e);
            }
        });
        return get(done);
    }

    /** Waits for what a step on the event loop starts. */
    public <T> T await(Callable<Future<T>> step) {
        return get(on(step).toCompletionStage().toCompletableFuture());
    }

    private static <T> T get(CompletableFuture<T> done) {
        try {
            return done.get(PATIENCE_S, TimeUnit.SECONDS);
        } catch (Exception e) {
            throw new AssertionError(e);
        }
    }

    /** A stand-in server; gives its port. */
    public int server(String name, Dialect dialect) {
        Party party = new Party(name, dialect);
        parties.put(name, party);
        party.listen();
        return party.port;
    }

    /** A stand-in client over TLS that trusts any certificate. */
    public void tlsClient(String name, Dialect dialect, int port) {
        client(name, dialect, port);
        parties.get(name).options.setSsl(true).setTrustAll(true).setHostnameVerificationAlgorithm("");
    }

    /** A stand-in client; it connects when it first sends. */
    public void client(String name, Dialect dialect, int port) {
        Party party = new Party(name, dialect);
        party.port = port;
        parties.put(name, party);
    }

    /** One that is no party on a socket but acts, as a gatekeeper that starts and ends: {@code NAME VERB}. */
    public void actor(String name, Map<String, Runnable> verbs) {
        actors.put(name, verbs);
    }

    /** Waits until the program has come to something that no party can see. */
    public Scenario until(Callable<Boolean> condition) {
        long endNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(PATIENCE_S);
        while (!on(condition)) {
            assertThat(System.nanoTime()).as("the condition is never met").isLessThan(endNs);
        }
        return this;
    }

    /** Waits until all connections with a party are closed; that they are is not kept for its script. */
    public void quiet(String party) {
        Party p = parties.get(party);
        until(p.open::isEmpty);
        p.heard.removeIf("(closed)"::equals);
    }

    /** Waits until a listener that was closed has given its port back: its descriptor goes with the loop's next select. */
    public void untilFree(int port) {
        until(() -> {
            try (ServerSocket probe = new ServerSocket()) {
                probe.setReuseAddress(true);
                probe.bind(new InetSocketAddress("127.0.0.1", port));
                return true;
            } catch (IOException taken) {
                return false;
            }
        });
    }

    /** How many connections with a party have come up in all. */
    public int connectionsWith(String party) {
        return on(() -> parties.get(party).accepted);
    }

    /** The next message that came to a party. */
    public String next(String party) {
        return parties.get(party).next();
    }

    /** Plays the lines. */
    public Scenario play(String lines) {
        lines.lines().map(String::strip).filter(line -> !line.isEmpty()).forEach(this::step);
        return this;
    }

    private void step(String line) {
        String[] words = line.split(" ", 3);
        if (words[0].equals("wait")) {
            long ms = Long.parseLong(words[1]);
            on(() -> {
                clock.pass(ms * 1000);
                return null;
            });
            return;
        }
        if (words[0].equals("loop")) {
            on(() -> {
                clock.late(words[2].equals("late"));
                return null;
            });
            return;
        }
        if (actors.containsKey(words[0])) {
            actors.get(words[0]).get(line.substring(words[0].length() + 1)).run();
            return;
        }
        Party party = parties.get(words[0]);
        switch (words[1]) {
            case ">" -> party.send(words[2]);
            case "<" -> party.expect(words[2]);
            case "connects" -> party.connect();
            case "closes" -> {
                if (words.length > 2) {
                    party.closeEldest();
                } else {
                    party.close();
                }
            }
            case "sees" -> party.expect("(closed)");
            case "listens" -> party.listen();
            case "stops" -> party.stop();
            case "may" -> party.leaves(words[2]);
            case "hangs" -> party.hangs = true;
            case "goes" -> party.hangs = false;
            case "reached" -> until(() -> party.accepted >= Integer.parseInt(words[2]));
            case "lost" -> {
                until(() -> party.closed >= Integer.parseInt(words[2]));
                party.heard.removeIf("(closed)"::equals);
            }
            case "has" -> {
                party.send(party.dialect.ping()[0]);
                party.expect(party.dialect.ping()[1]);
            }
            default -> throw new IllegalArgumentException(line);
        }
    }

    @Override
    public void close() {
        get(vertx.close().toCompletionStage().toCompletableFuture());
    }

    private final class Party {
        final String name;
        final Dialect dialect;
        final BlockingQueue<String> heard = new LinkedBlockingQueue<>();
        final NetClientOptions options = new NetClientOptions();
        int port;
        NetServer server;
        NetClient client;
        final Set<NetSocket> open = new LinkedHashSet<>();
        volatile NetSocket socket;
        int accepted;
        int closed;
        volatile boolean hangs;

        Party(String name, Dialect dialect) {
            this.name = name;
            this.dialect = dialect;
        }

        void listen() {
            server = await(this::listening);
            port = server.actualPort();
        }

        /** The descriptor of a socket that was closed goes with the loop's next select: until then its port is taken. */
        private Future<NetServer> listening() {
            return vertx.createNetServer().connectHandler(this::attach).listen(port, "127.0.0.1").recover(taken -> {
                Promise<NetServer> again = Promise.promise();
                loop.runOnContext(v -> listening().onComplete(again));
                return again.future();
            });
        }

        void stop() {
            // Takes the connections along.
            await(() -> server.close());
            quiet(name);
            untilFree(port);
        }

        /** What it heard as it stopped is looked at now: what comes later has come to the next process at its address. */
        void leaves(String allowed) {
            List<String> rest = new ArrayList<>();
            heard.drainTo(rest);
            assertThat(rest).as(name + " as it stopped").allMatch(allowed::equals);
        }

        /** A program may hold several connections: a party speaks on the one that it heard last. */
        void attach(NetSocket s) {
            open.add(s);
            accepted++;
            socket = socket == null ? s : socket;
            s.handler(dialect.reader(message -> {
                String reply = dialect.reply(message);
                if (reply == null) {
                    socket = s;
                    heard.add(message);
                } else if (!hangs) {
                    s.write(dialect.encode(reply));
                }
            })::accept);
            s.closeHandler(v -> {
                open.remove(s);
                closed++;
                if (socket == s) {
                    socket = open.isEmpty() ? null : open.iterator().next();
                    heard.add("(closed)");
                }
            });
        }

        void send(String text) {
            if (server == null && socket == null) {
                connect();
            }
            Buffer bytes = dialect.encode(text);
            // In one step: the connection that is there may be gone in the next.
            until(() -> {
                if (socket == null) {
                    return false;
                }
                socket.write(bytes);
                return true;
            });
        }

        void connect() {
            // Kept: a client that nothing refers to is closed with its connections when it is collected.
            client = vertx.createNetClient(options);
            await(() -> client.connect(port, "127.0.0.1").onSuccess(this::attach));
        }

        void close() {
            await(() -> socket.close());
            expect("(closed)");
        }

        void closeEldest() {
            int before = closed;
            NetSocket eldest = open.iterator().next();
            assertThat(eldest).as(name + " speaks on another one").isNotSameAs(socket);
            await(() -> eldest.close());
            until(() -> closed > before);
        }

        String next() {
            try {
                String got = heard.poll(PATIENCE_S, TimeUnit.SECONDS);
                assertThat(got).as(name + " has heard something").isNotNull();
                return got;
            } catch (InterruptedException e) {
                throw new AssertionError(e);
            }
        }

        void expect(String wanted) {
            String got = next();
            if (wanted.endsWith("*")) {
                assertThat(got).as(name).startsWith(wanted.substring(0, wanted.length() - 1));
            } else {
                assertThat(got).as(name).isEqualTo(wanted);
            }
        }
    }
}
