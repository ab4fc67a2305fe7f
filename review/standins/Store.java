import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;

/** A stand-in for the platform's metadata store: rows, transactions and the feed of changes. */
final class Store {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final int READ_MILLIS = 4;
  private static final int TRANSACTION_MILLIS = 5;

  private record Row(String table, String part, String key, String value, long version) {}

  private final Map<String, TreeMap<String, Row>> tables = new HashMap<>();
  private final List<Row> history = new ArrayList<>();
  private final HttpServer server;
  private long version;

  Store() throws IOException {
    server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 128);
    server.setExecutor(
        Executors.newCachedThreadPool(
            task -> {
              Thread thread = new Thread(task, "store");
              thread.setDaemon(true);
              return thread;
            }));
    server.createContext("/", this::handle);
    server.start();
  }

  int port() {
    return server.getAddress().getPort();
  }

  /** Writes a row as the operator does; the return is the acknowledgement. */
  synchronized long put(String table, String key, String value) {
    version++;
    apply(
        new Row(
            table,
            "",
            key,
            Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)),
            version));
    notifyAll();
    return version;
  }

  /** Returns the text of a row, or null. */
  synchronized String text(String table, String key) {
    TreeMap<String, Row> rows = tables.get(table);
    Row row = rows == null ? null : rows.get(key);
    return row == null || row.value() == null
        ? null
        : new String(Base64.getDecoder().decode(row.value()), StandardCharsets.UTF_8);
  }

  private void apply(Row row) {
    tables.computeIfAbsent(row.table(), name -> new TreeMap<>()).put(row.key(), row);
    history.add(row);
  }

  private void handle(HttpExchange exchange) throws IOException {
    try (exchange) {
      Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
      byte[] body = exchange.getRequestBody().readAllBytes();
      switch (exchange.getRequestURI().getPath()) {
        case "/-/rows-get" -> {
          pause(READ_MILLIS);
          answer(exchange, 200, rowsGet(query));
        }
        case "/-/rows-feed" -> {
          pause(READ_MILLIS);
          answer(exchange, 200, rowsFeed(query));
        }
        case "/-/rows-tx" -> {
          pause(TRANSACTION_MILLIS);
          transact(exchange, MAPPER.readTree(body));
        }
        default -> answer(exchange, 404, MAPPER.createObjectNode());
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static void pause(long millis) throws InterruptedException {
    Thread.sleep(millis);
  }

  private static Map<String, String> query(String text) {
    Map<String, String> result = new HashMap<>();
    if (text == null) {
      return result;
    }
    for (String pair : text.split("&")) {
      int equals = pair.indexOf('=');
      result.put(
          pair.substring(0, equals),
          java.net.URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
    }
    return result;
  }

  private synchronized ObjectNode rowsGet(Map<String, String> query) {
    ObjectNode root = MAPPER.createObjectNode();
    ArrayNode rows = root.putArray("rows");
    String from = query.getOrDefault("from", "");
    for (Row row : tables.getOrDefault(query.get("table"), new TreeMap<>()).tailMap(from).values()) {
      if (row.value() != null) {
        add(rows, row);
      }
    }
    return finish(root.put("hasMore", false));
  }

  private synchronized ObjectNode rowsFeed(Map<String, String> query) throws InterruptedException {
    String table = query.get("table");
    long after = Long.parseLong(query.getOrDefault("after", "0"));
    long deadline =
        System.nanoTime() + Long.parseLong(query.getOrDefault("waitMs", "0")) * 1_000_000L;
    while (true) {
      ObjectNode root = MAPPER.createObjectNode();
      ArrayNode rows = root.putArray("rows");
      Map<String, Row> newest = new java.util.LinkedHashMap<>();
      for (Row row : history) {
        if (row.version() > after && row.table().equals(table)) {
          newest.remove(row.key());
          newest.put(row.key(), row);
        }
      }
      newest.values().forEach(row -> add(rows, row));
      long leftMillis = (deadline - System.nanoTime()) / 1_000_000L;
      if (!rows.isEmpty() || leftMillis <= 0) {
        return finish(root);
      }
      wait(leftMillis);
    }
  }

  private static void add(ArrayNode rows, Row row) {
    ObjectNode node =
        rows.addObject().put("table", row.table()).put("part", row.part()).put("key", row.key());
    if (row.value() == null) {
      node.put("tombstone", true);
    } else {
      node.put("value", row.value());
    }
    node.put("ver", row.version());
  }

  private ObjectNode finish(ObjectNode root) {
    return root.put("ver", version).put("nowMs", System.nanoTime() / 1_000_000L);
  }

  private void transact(HttpExchange exchange, JsonNode call) throws IOException {
    ObjectNode root = MAPPER.createObjectNode();
    int status = 200;
    synchronized (this) {
      ArrayNode current = MAPPER.createArrayNode();
      for (JsonNode expected : call.path("expectedRev")) {
        Row row =
            tables
                .getOrDefault(expected.path("table").asText(), new TreeMap<>())
                .get(expected.path("key").asText());
        long actual = row == null || row.value() == null ? 0 : row.version();
        if (actual != expected.path("ver").asLong()) {
          status = 412;
        }
        if (actual != 0) {
          add(current, row);
        }
      }
      for (String list : List.of("puts", "remove")) {
        for (JsonNode entry : call.path(list)) {
          String table = entry.path("table").asText();
          if (table.equals("op") || table.equals("servers")) {
            status = 403;
          }
        }
      }
      if (status == 200) {
        version++;
        for (JsonNode entry : call.path("puts")) {
          apply(row(entry, entry.path("value").asText()));
        }
        for (JsonNode entry : call.path("remove")) {
          apply(row(entry, null));
        }
        notifyAll();
      } else if (status == 412) {
        root.set("rows", current);
      }
      finish(root);
    }
    answer(exchange, status, root);
  }

  private Row row(JsonNode entry, String value) {
    return new Row(
        entry.path("table").asText(),
        entry.path("part").asText(""),
        entry.path("key").asText(),
        value,
        version);
  }

  private static void answer(HttpExchange exchange, int status, ObjectNode body)
      throws IOException {
    byte[] bytes = MAPPER.writeValueAsBytes(body);
    exchange.getResponseHeaders().set("Content-Type", "application/json");
    exchange.sendResponseHeaders(status, bytes.length);
    exchange.getResponseBody().write(bytes);
  }

  void stop() {
    server.stop(0);
  }
}
