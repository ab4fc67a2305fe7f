package reviewkit;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** A stand-in for a backend, which announces itself to the node on its machine by heartbeats. */
public final class Backend implements AutoCloseable {
  private static final long HEARTBEAT_MILLIS = 1_500;
  private static final int HEARTBEAT_TIMEOUT_MILLIS = 1_000;
  private static final int QUEUE_LENGTH = 64;
  private static final int COLD_SLOWDOWN = 2;
  private static final int OK_STATUS = 200;
  private static final int MISDIRECTED_STATUS = 421;
  private static final int UNAVAILABLE_STATUS = 503;

  /** A request that the backend has run. */
  public record Run(
      long arrivedNanos, String attemptId, String callerService, String path, String body) {}

  private final Record record;
  private final String id;
  private final String service;
  private final String zone;
  private final String controlAddress;
  private final int slots;
  private final long workMillis;
  private final long bornMillis = System.currentTimeMillis();
  private final AtomicLong sequence = new AtomicLong();
  private final Semaphore freeSlots;
  private final AtomicInteger acknowledgedHeartbeats = new AtomicInteger();
  private final AtomicInteger held = new AtomicInteger();
  private final Map<String, Long> arrivals = new ConcurrentHashMap<>();
  private final Queue<Run> runs = new ConcurrentLinkedQueue<>();
  private final ExecutorService threads = Executors.newCachedThreadPool();
  private final HttpServer server;
  private volatile long coldUntilNanos = System.nanoTime();
  private volatile boolean leaving;
  private volatile boolean closed;

  /**
   * Starts a backend.
   *
   * @param port its port; 0 for a free one
   * @param controlAddress the address for its heartbeats
   */
  public Backend(
      Record record,
      String id,
      String service,
      String zone,
      int port,
      String controlAddress,
      int slots,
      long workMillis) {
    this.record = record;
    this.id = id;
    this.service = service;
    this.zone = zone;
    this.controlAddress = controlAddress;
    this.slots = slots;
    this.workMillis = workMillis;
    this.freeSlots = new Semaphore(slots, true);
    try {
      server = HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 0);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    server.setExecutor(threads);
    server.createContext("/", this::handle);
    server.start();
    record.write("backend %s of %s starts at %s", id, service, address());
  }

  public String address() {
    return "127.0.0.1:" + server.getAddress().getPort();
  }

  public String service() {
    return service;
  }

  public Queue<Run> runs() {
    return runs;
  }

  /** Returns when the head of each request arrived, by the id of the attempt. */
  public Map<String, Long> arrivals() {
    return arrivals;
  }

  /** Sends a heartbeat every 1.5 s until the backend leaves. */
  public void startHeartbeats() {
    threads.execute(
        () -> {
          while (!closed && !leaving) {
            sendHeartbeat();
            Case.sleep(HEARTBEAT_MILLIS);
          }
        });
  }

  /** Sends the first heartbeat as it is now, to arrive late, and others every 1.5 s. */
  public void startWithLateHeartbeat(long delayMillis) {
    String late = prepareHeartbeat();
    record.write("this heartbeat is under way for %d ms: %s", delayMillis, late);
    threads.execute(
        () -> {
          Case.sleep(delayMillis);
          deliver(late);
          startHeartbeats();
        });
  }

  /** Turns cold, as a backend may at any moment. */
  public void turnCold(long millis) {
    coldUntilNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
    record.write("backend %s turns cold for %d ms", id, millis);
  }

  private long coldRemainingMillis() {
    return Math.max(0, TimeUnit.NANOSECONDS.toMillis(coldUntilNanos - System.nanoTime()));
  }

  public boolean sendHeartbeat() {
    boolean acknowledged = deliver(prepareHeartbeat());
    acknowledgedHeartbeats.addAndGet(acknowledged ? 1 : 0);
    return acknowledged;
  }

  /** Returns how many heartbeats have been acknowledged. */
  public int acknowledgedHeartbeats() {
    return acknowledgedHeartbeats.get();
  }

  /** Returns the body of the next heartbeat, as the backend is now. */
  public String prepareHeartbeat() {
    return """
        {"service":"%s","address":"%s","zone":"%s","version":"v1","slots":%d,"state":"ready",\
        "coldRemainingMs":%d,"sequence":%d,"born":%d}\
        """
        .formatted(
            service,
            address(),
            zone,
            slots,
            coldRemainingMillis(),
            sequence.incrementAndGet(),
            bornMillis);
  }

  /** Delivers a heartbeat, and returns whether it was acknowledged. */
  public boolean deliver(String heartbeat) {
    return call("instances.heartbeat", heartbeat);
  }

  /** Says that the backend leaves; it keeps serving until it is closed. */
  public boolean deregister() {
    leaving = true;
    return call("instances.deregister", "{\"born\":" + bornMillis + "}");
  }

  private boolean call(String name, String body) {
    Http.Response response =
        Http.send(
            controlAddress,
            "POST",
            "/-/rpc?call=" + name + "&of=" + id,
            Map.of("Content-Type", "application/json"),
            body,
            HEARTBEAT_TIMEOUT_MILLIS);
    boolean acknowledged = response.status() / 100 == 2;
    record.write("backend %s %s acknowledged=%s %s", id, name, acknowledged, body);
    return acknowledged;
  }

  private void handle(HttpExchange exchange) throws IOException {
    long arrivedNanos = System.nanoTime();
    String path = exchange.getRequestURI().getPath();
    String attempt = exchange.getRequestHeaders().getFirst("Attempt-Id");
    if (attempt != null) {
      arrivals.put(attempt, arrivedNanos);
    }
    String body = readBody(exchange, attempt, arrivedNanos);
    if (path.equals("/health")) {
      exchange.getResponseHeaders().set("Instance-Id", id);
      exchange.getResponseHeaders().set("Instance-Load", held.get() + ",0," + slots);
      exchange
          .getResponseHeaders()
          .set("Cold-Remaining-Ms", String.valueOf(coldRemainingMillis()));
      Http.respond(exchange, leaving ? UNAVAILABLE_STATUS : OK_STATUS, new byte[0]);
      return;
    }
    if (attempt != null) {
      exchange.getResponseHeaders().set("Attempt-Id", attempt);
    }
    String expected = exchange.getRequestHeaders().getFirst("Expect-Instance");
    if (expected != null && !expected.equals(id)) {
      exchange.getResponseHeaders().set("Instance-Id", id);
      Http.respond(exchange, MISDIRECTED_STATUS, new byte[0]);
      return;
    }
    if (held.incrementAndGet() > slots + QUEUE_LENGTH) {
      held.decrementAndGet();
      exchange.getResponseHeaders().set("Not-Executed", "1");
      Http.respond(exchange, UNAVAILABLE_STATUS, new byte[0]);
      return;
    }
    freeSlots.acquireUninterruptibly();
    try {
      String caller = exchange.getRequestHeaders().getFirst("Caller-Service");
      runs.add(new Run(arrivedNanos, attempt, caller == null ? "" : caller, path, body));
      record.write(
          "backend %s runs %s %s caller=%s body=%d bytes",
          id, attempt, path, caller, body.length());
      Case.sleep(coldRemainingMillis() > 0 ? workMillis * COLD_SLOWDOWN : workMillis);
    } finally {
      freeSlots.release();
      held.decrementAndGet();
    }
    exchange.getResponseHeaders().set("Server-Stamp", id + "." + attempt);
    Http.respond(exchange, OK_STATUS, ("answer of " + id).getBytes(StandardCharsets.UTF_8));
  }

  private String readBody(HttpExchange exchange, String attempt, long arrivedNanos)
      throws IOException {
    try {
      return new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
    } catch (IOException e) {
      record.write(
          "backend %s: the body of %s breaks off after %d ms",
          id, attempt, TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - arrivedNanos));
      throw e;
    }
  }

  @Override
  public void close() {
    closed = true;
    server.stop(0);
    threads.shutdownNow();
    record.write("backend %s ends", id);
  }
}
