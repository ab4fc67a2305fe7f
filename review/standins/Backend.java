import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A stand-in for a sound backend: it sends heartbeats and runs the requests that it gets. It may be
 * cold for some time after its start; it then crashes at three times the rate that it bears.
 */
final class Backend {
  static final int HEARTBEAT_MILLIS = 1_500;
  private static final int QUEUE = 48;

  /** Called when the backend begins to work on a request. */
  interface Listener {
    void onRun(Backend backend, String method, String target, Map<String, String> headers);

    /** Called when a cold backend crashes under the requests of the last second. */
    default void onCrash(Backend backend, int arrivals, int atWork) {}
  }

  final String id;
  final String service;
  final int port;
  private final int slots;
  private final int workMillis;
  private final String controlAddress;
  private final String zone;
  private final Listener listener;
  private final long bornMillis = System.currentTimeMillis();
  private final ServerSocket server;
  private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
  private final int firstHeartbeatMillis;
  private final int coldMillis;
  private final int coldPerSecond;
  private final java.util.ArrayDeque<Long> recentNanos = new java.util.ArrayDeque<>();
  private final long startNanos = System.nanoTime();
  private final AtomicInteger present = new AtomicInteger();
  private final java.util.concurrent.Semaphore free;
  private final AtomicLong sequence = new AtomicLong();
  private volatile boolean stopped;

  Backend(
      String id,
      String service,
      int port,
      String zone,
      int slots,
      int workMillis,
      String controlAddress,
      Listener listener)
      throws IOException {
    this(id, service, port, zone, slots, workMillis, controlAddress, listener, 0, 0, 0);
  }

  Backend(
      String id,
      String service,
      int port,
      String zone,
      int slots,
      int workMillis,
      String controlAddress,
      Listener listener,
      int coldMillis,
      int coldPerSecond,
      int firstHeartbeatMillis)
      throws IOException {
    this.firstHeartbeatMillis = firstHeartbeatMillis;
    this.coldMillis = coldMillis;
    this.coldPerSecond = coldPerSecond;
    this.id = id;
    this.service = service;
    this.zone = zone;
    this.slots = slots;
    this.workMillis = workMillis;
    this.controlAddress = controlAddress;
    this.listener = listener;
    this.free = new java.util.concurrent.Semaphore(slots, true);
    this.server = new ServerSocket();
    server.setReuseAddress(true);
    server.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 128);
    this.port = server.getLocalPort();
    start(this::acceptAll);
    start(this::sendHeartbeats);
  }

  private static void start(Runnable task) {
    Thread thread = new Thread(task, "backend");
    thread.setDaemon(true);
    thread.start();
  }

  /** Ends the backend as a crash does: nothing more is sent, and its connections are closed. */
  void crash() throws IOException {
    stopped = true;
    server.close();
    for (Socket connection : connections) {
      connection.close();
    }
  }

  private void sendHeartbeats() {
    try {
      Thread.sleep(firstHeartbeatMillis);
    } catch (InterruptedException e) {
      return;
    }
    while (!stopped) {
      try {
        HttpCall call =
            new HttpCall("POST", "/-/rpc?call=instances.heartbeat&of=" + id)
                .header("Host", controlAddress)
                .header("Content-Type", "application/json")
                .body(
                    String.format(
                        "{\"service\":\"%s\",\"address\":\"127.0.0.1:%d\",\"zone\":\"%s\","
                            + "\"version\":\"v1\",\"slots\":%d,\"state\":\"ready\","
                            + "\"coldRemainingMs\":%d,\"sequence\":%d,\"born\":%d}",
                        service,
                        port,
                        zone,
                        slots,
                        coldRemainingMillis(),
                        sequence.incrementAndGet(),
                        bornMillis));
        call.send(controlAddress, 1_000);
      } catch (IOException e) {
        // The next heartbeat follows.
      }
      try {
        Thread.sleep(HEARTBEAT_MILLIS);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  long coldRemainingMillis() {
    return Math.max(0, coldMillis - (System.nanoTime() - startNanos) / 1_000_000L);
  }

  /** Counts an arrival; crashes if a cold backend gets far more in a second than it bears. */
  private synchronized void onArrival() throws IOException {
    if (coldRemainingMillis() == 0) {
      return;
    }
    long nowNanos = System.nanoTime();
    recentNanos.addLast(nowNanos);
    while (nowNanos - recentNanos.peekFirst() >= 1_000_000_000L) {
      recentNanos.removeFirst();
    }
    if (recentNanos.size() > 3 * coldPerSecond) {
      listener.onCrash(this, recentNanos.size(), present.get());
      crash();
    }
  }

  private void acceptAll() {
    while (!stopped) {
      try {
        Socket connection = server.accept();
        connection.setTcpNoDelay(true);
        connections.add(connection);
        start(() -> serve(connection));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket connection) {
    try (connection) {
      InputStream in = new BufferedInputStream(connection.getInputStream());
      while (!stopped) {
        String head = HttpCall.readHead(in);
        if (head == null) {
          return;
        }
        String[] lines = head.split("\r\n");
        String[] first = lines[0].split(" ");
        Map<String, String> headers = HttpCall.headers(lines);
        HttpCall.readBody(in, headers);
        connection.getOutputStream().write(answer(first[0], first[1], headers));
        connection.getOutputStream().flush();
      }
    } catch (IOException | InterruptedException e) {
      // The connection has ended.
    } finally {
      connections.remove(connection);
    }
  }

  private byte[] answer(String method, String target, Map<String, String> headers)
      throws IOException, InterruptedException {
    Map<String, String> answerHeaders = new TreeMap<>();
    answerHeaders.put("Instance-Load", "0,0," + slots);
    if (target.equals("/health")) {
      answerHeaders.put("Instance-Id", id);
      answerHeaders.put("Cold-Remaining-Ms", Long.toString(coldRemainingMillis()));
      return response("200 OK", answerHeaders, "well");
    }
    String attempt = headers.get("attempt-id");
    if (attempt != null) {
      answerHeaders.put("Attempt-Id", attempt);
    }
    String expected = headers.get("expect-instance");
    if (expected != null && !expected.equals(id)) {
      answerHeaders.put("Instance-Id", id);
      return response("421 Misdirected Request", answerHeaders, "");
    }
    if (attempt == null) {
      answerHeaders.put("Not-Executed", "1");
      return response("400 Bad Request", answerHeaders, "");
    }
    onArrival();
    if (present.incrementAndGet() > slots + QUEUE) {
      present.decrementAndGet();
      answerHeaders.put("Not-Executed", "1");
      return response("503 Service Unavailable", answerHeaders, "");
    }
    free.acquire();
    try {
      listener.onRun(this, method, target, headers);
      Thread.sleep(workMillis);
    } finally {
      free.release();
      present.decrementAndGet();
    }
    answerHeaders.put("Server-Stamp", id + "." + attempt);
    return response("200 OK", answerHeaders, "done by " + id);
  }

  private static byte[] response(String status, Map<String, String> headers, String body) {
    StringBuilder text = new StringBuilder("HTTP/1.1 " + status + "\r\n");
    headers.forEach((name, value) -> text.append(name).append(": ").append(value).append("\r\n"));
    text.append("Content-Length: ").append(body.length()).append("\r\n\r\n").append(body);
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    out.writeBytes(text.toString().getBytes(StandardCharsets.ISO_8859_1));
    return out.toByteArray();
  }
}
