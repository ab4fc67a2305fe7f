package reviewkit;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/** A stand-in for the platform's metadata store; it keeps rows with an empty part only. */
public final class Store implements AutoCloseable {
  private static final int OK_STATUS = 200;
  private static final int UNAVAILABLE_STATUS = 503;
  private static final int CONDITION_FAILED_STATUS = 412;

  private record Row(String value, long version) {}

  private final Map<String, TreeMap<String, Row>> tables = new HashMap<>();
  private final ExecutorService threads = Executors.newCachedThreadPool();
  private final HttpServer server;
  private final Record record;
  private long version = 1;
  private volatile boolean down;

  public Store(Record record) {
    this.record = record;
    try {
      server = HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 0);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    server.setExecutor(threads);
    server.createContext("/-/rows-get", exchange -> handle(exchange, this::get));
    server.createContext("/-/rows-feed", exchange -> handle(exchange, this::feed));
    server.createContext("/-/rows-tx", exchange -> handle(exchange, this::transact));
    server.start();
  }

  public String address() {
    return "127.0.0.1:" + server.getAddress().getPort();
  }

  /** While the store is down, each call is answered with 503 and nothing is done. */
  public synchronized void setDown(boolean value) {
    down = value;
    record.write("store down=%s", value);
    notifyAll();
  }

  /** Writes a row as the operator does. */
  public synchronized void put(String table, String key, String value) {
    String encoded = Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8));
    table(table).put(key, new Row(encoded, ++version));
    record.write("store operator-put %s/%s ver=%d %s", table, key, version, value);
    notifyAll();
  }

  /** Returns the text of a row; empty if there is none. */
  public synchronized String value(String table, String key) {
    Row row = table(table).get(key);
    return row == null || row.value() == null
        ? ""
        : new String(Base64.getDecoder().decode(row.value()), StandardCharsets.UTF_8);
  }

  private TreeMap<String, Row> table(String name) {
    return tables.computeIfAbsent(name, unused -> new TreeMap<>());
  }

  private record Answer(int status, String body) {}

  private interface Call {
    Answer run(Map<String, String> query, String body) throws InterruptedException;
  }

  private void handle(HttpExchange exchange, Call call) throws IOException {
    String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
    Answer answer;
    try {
      answer = down ? null : call.run(Http.query(exchange.getRequestURI().getQuery()), body);
    } catch (InterruptedException e) {
      answer = null;
    }
    if (answer == null) {
      answer = new Answer(UNAVAILABLE_STATUS, "{}");
    }
    Http.respond(exchange, answer.status(), answer.body().getBytes(StandardCharsets.UTF_8));
  }

  private synchronized Answer get(Map<String, String> query, String body) {
    String table = query.getOrDefault("table", "");
    String from = query.getOrDefault("from", "");
    return new Answer(OK_STATUS, page(table, from, 0, false));
  }

  private synchronized Answer feed(Map<String, String> query, String body)
      throws InterruptedException {
    String table = query.getOrDefault("table", "");
    long after = Long.parseLong(query.getOrDefault("after", "0"));
    long deadlineNanos =
        System.nanoTime()
            + TimeUnit.MILLISECONDS.toNanos(Long.parseLong(query.getOrDefault("waitMs", "0")));
    while (table(table).values().stream().noneMatch(row -> row.version() > after)) {
      long leftMillis = TimeUnit.NANOSECONDS.toMillis(deadlineNanos - System.nanoTime());
      if (leftMillis <= 0 || down) {
        break;
      }
      wait(leftMillis);
    }
    return down ? null : new Answer(OK_STATUS, page(table, "", after, true));
  }

  private String page(String table, String from, long after, boolean withRemoved) {
    StringBuilder rows = new StringBuilder();
    for (Map.Entry<String, Row> entry : table(table).tailMap(from).entrySet()) {
      Row row = entry.getValue();
      if (row.version() <= after || (row.value() == null && !withRemoved)) {
        continue;
      }
      rows.append(rows.isEmpty() ? "" : ",")
          .append("{\"table\":\"" + table + "\",\"part\":\"\",\"key\":\"" + entry.getKey())
          .append("\",\"ver\":" + row.version())
          .append(
              row.value() == null ? ",\"tombstone\":true}" : ",\"value\":\"" + row.value() + "\"}");
    }
    return "{\"rows\":[" + rows + "],\"hasMore\":false," + versionAndClock() + "}";
  }

  private String versionAndClock() {
    return "\"ver\":" + version + ",\"nowMs\":" + TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  }

  private synchronized Answer transact(Map<String, String> query, String body) {
    for (String expected : Json.objects(body, "expectedRev")) {
      Row row = table(Json.field(expected, "table")).get(Json.field(expected, "key"));
      long known = row == null || row.value() == null ? 0 : row.version();
      if (known != Long.parseLong(Json.field(expected, "ver"))) {
        return new Answer(CONDITION_FAILED_STATUS, "{\"rows\":[]," + versionAndClock() + "}");
      }
    }
    version++;
    for (String put : Json.objects(body, "puts")) {
      table(Json.field(put, "table"))
          .put(Json.field(put, "key"), new Row(Json.field(put, "value"), version));
      record.write(
          "store put %s/%s ver=%d %s",
          Json.field(put, "table"),
          Json.field(put, "key"),
          version,
          value(Json.field(put, "table"), Json.field(put, "key")));
    }
    for (String removed : Json.objects(body, "remove")) {
      table(Json.field(removed, "table")).put(Json.field(removed, "key"), new Row(null, version));
      record.write(
          "store remove %s/%s ver=%d",
          Json.field(removed, "table"), Json.field(removed, "key"), version);
    }
    notifyAll();
    return new Answer(OK_STATUS, "{" + versionAndClock() + "}");
  }

  @Override
  public void close() {
    setDown(true);
    server.stop(0);
    threads.shutdownNow();
  }
}
