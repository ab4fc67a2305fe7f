package org.clementinepost.testing.rows;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.handler.codec.http.QueryStringDecoder;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Base64;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import org.clementinepost.api.NetworkAddress;
import org.clementinepost.testing.StandInServer;
import org.reactivestreams.Publisher;
import reactor.core.Disposable;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/** An in-memory stand-in for the platform's row store, with faults to inject. */
public final class RowStoreStandIn implements AutoCloseable {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final int OK_STATUS = 200;
  private static final int GONE_STATUS = 410;
  private static final int PRECONDITION_FAILED_STATUS = 412;
  private static final int NOT_FOUND_STATUS = 404;
  private static final String ERA_HEADER = "Store-Era";

  /** How the store fails calls. */
  public enum Fault {
    /** The call is executed and answered. */
    NONE,
    /** The call is rejected with status 503, and nothing is executed. */
    BUSY,
    /** The call is rejected with status 429, and nothing is executed. */
    THROTTLED,
    /** The connection is closed, and nothing is executed. */
    RESET,
    /** Nothing is executed, and no response is sent. */
    NO_RESPONSE,
    /** The call is executed, and the connection is closed without a response. */
    RESPONSE_LOST,
    /**
     * The call is executed by {@link #executeLateCalls}, if its condition still holds then, and no
     * response is sent.
     */
    EXECUTED_LATE
  }

  private static final int SERVICE_UNAVAILABLE_STATUS = 503;
  private static final int TOO_MANY_REQUESTS_STATUS = 429;

  private final AtomicReference<StoredRows> storedRows = new AtomicReference<>(StoredRows.empty());
  private final AtomicReference<Fault> fault = new AtomicReference<>(Fault.NONE);
  private final AtomicReference<Vector<Runnable>> lateCalls = new AtomicReference<>(Vector.empty());
  private final AtomicReference<StoredRows> savedCopy = new AtomicReference<>(StoredRows.empty());
  private final AtomicReference<Option<String>> eraHeader = new AtomicReference<>(Option.none());
  private final AtomicLong callCount = new AtomicLong();
  private final Sinks.Many<Long> newVersions = Sinks.many().multicast().directBestEffort();
  private final StandInServer server;

  private RowStoreStandIn() {
    server = StandInServer.bind("127.0.0.1", 0, HttpServer.create().handle(this::handle));
  }

  /** Starts on a free port of the loopback interface. */
  public static RowStoreStandIn start() {
    return new RowStoreStandIn();
  }

  /** Returns the address that the store listens on. */
  public NetworkAddress address() {
    return server.address();
  }

  /** Sets the fault of all further calls. */
  public void setFault(Fault newFault) {
    fault.set(newFault);
  }

  /** Executes the calls received under {@link Fault#EXECUTED_LATE}. */
  public void executeLateCalls() {
    lateCalls.getAndSet(Vector.empty()).forEach(Runnable::run);
  }

  /** Drops the history of changes; reading changes from an earlier version then fails. */
  public void dropHistory() {
    storedRows.updateAndGet(StoredRows::withoutHistory);
  }

  /** Saves a copy of the present content for {@link #comeBackFromCopy}. */
  public void saveCopy() {
    savedCopy.set(storedRows.get());
  }

  /**
   * Loses all writes since the last saved copy: versions go back, and the era rises by one. Calls
   * that wait for changes end.
   */
  public void comeBackFromCopy() {
    StoredRows restored = storedRows.updateAndGet(rows -> savedCopy.get().inEra(rows.era() + 1));
    newVersions.tryEmitNext(restored.version());
  }

  /** Sends a value in place of the era in all further responses. */
  public void setEraHeader(String value) {
    eraHeader.set(Option.some(value));
  }

  /** Returns the number of calls received, including those that failed. */
  public long callCount() {
    return callCount.get();
  }

  /** Writes a row unconditionally. */
  public void put(String table, String key, String value) {
    String encoded = Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8));
    applyChanges(Vector.of(new StoredRow(table, key, Option.some(encoded), 0)));
  }

  /** Removes a row unconditionally. */
  public void remove(String table, String key) {
    applyChanges(Vector.of(new StoredRow(table, key, Option.none(), 0)));
  }

  /** Returns the value of a row. */
  public Option<String> value(String table, String key) {
    return storedRows
        .get()
        .row(table, key)
        .flatMap(StoredRow::value)
        .map(text -> new String(Base64.getDecoder().decode(text), StandardCharsets.UTF_8));
  }

  private long applyChanges(Vector<StoredRow> changes) {
    long version = storedRows.updateAndGet(rows -> rows.apply(changes)).version();
    newVersions.tryEmitNext(version);
    return version;
  }

  private Publisher<Void> handle(HttpServerRequest request, HttpServerResponse response) {
    callCount.incrementAndGet();
    Mono<Response> result =
        request
            .receive()
            .aggregate()
            .asByteArray()
            .defaultIfEmpty(new byte[0])
            .flatMap(body -> execute(request.uri(), body));
    return switch (fault.get()) {
      case NONE -> result.flatMap(content -> writeResponse(response, content));
      case BUSY -> writeResponse(response, failed(SERVICE_UNAVAILABLE_STATUS));
      case THROTTLED -> writeResponse(response, failed(TOO_MANY_REQUESTS_STATUS));
      case RESET -> resetConnection(request);
      case NO_RESPONSE -> Mono.never();
      case RESPONSE_LOST -> result.then(resetConnection(request));
      case EXECUTED_LATE ->
          request
              .receive()
              .aggregate()
              .asByteArray()
              .defaultIfEmpty(new byte[0])
              .doOnNext(
                  body ->
                      lateCalls.updateAndGet(
                          all -> all.append(() -> execute(request.uri(), body).subscribe())))
              .then(Mono.never());
    };
  }

  private static Mono<Void> resetConnection(HttpServerRequest request) {
    return Mono.fromRunnable(() -> request.withConnection(Disposable::dispose));
  }

  private record Response(int status, String body, long era) {}

  private Mono<Void> writeResponse(HttpServerResponse response, Response content) {
    byte[] bytes = content.body().getBytes(StandardCharsets.UTF_8);
    Option<String> era =
        eraHeader.get().orElse(Option.when(content.era() > 0, String.valueOf(content.era())));
    era.forEach(value -> response.header(ERA_HEADER, value));
    return response
        .status(content.status())
        .header("Content-Type", "application/json")
        .header("Content-Length", String.valueOf(bytes.length))
        .sendByteArray(Mono.just(bytes))
        .then();
  }

  private Mono<Response> execute(String uri, byte[] body) {
    QueryStringDecoder query = new QueryStringDecoder(uri);
    return switch (query.path()) {
      case "/-/rows-get" -> Mono.just(readRows(query));
      case "/-/rows-feed" -> readFeed(query);
      case "/-/rows-tx" -> Mono.fromSupplier(() -> transact(body));
      default -> Mono.just(failed(NOT_FOUND_STATUS));
    };
  }

  private Response failed(int status) {
    return new Response(status, "{}", storedRows.get().era());
  }

  private static String parameter(QueryStringDecoder query, String name, String defaultValue) {
    return query.parameters().getOrDefault(name, List.of(defaultValue)).get(0);
  }

  private Response readRows(QueryStringDecoder query) {
    StoredRows current = storedRows.get();
    Vector<StoredRow> rows =
        current.rowsFrom(parameter(query, "table", ""), parameter(query, "from", ""));
    return new Response(OK_STATUS, toJson(rows, current.version()), current.era());
  }

  private Mono<Response> readFeed(QueryStringDecoder query) {
    String table = parameter(query, "table", "");
    long after = Long.parseLong(parameter(query, "after", "0"));
    long waitMillis = Long.parseLong(parameter(query, "waitMs", "0"));
    long era = storedRows.get().era();
    return newVersions
        .asFlux()
        .startWith(0L)
        .map(changed -> storedRows.get())
        .filter(
            rows -> rows.isHistoryLost(era, after) || !rows.changesAfter(table, after).isEmpty())
        .next()
        .timeout(Duration.ofMillis(waitMillis), Mono.fromSupplier(storedRows::get))
        .map(rows -> feedPage(rows, table, era, after));
  }

  /** Returns the changes as of one moment, so that a page never has a version without its rows. */
  private static Response feedPage(StoredRows rows, String table, long era, long after) {
    return rows.isHistoryLost(era, after)
        ? new Response(GONE_STATUS, "{}", rows.era())
        : new Response(
            OK_STATUS, toJson(rows.changesAfter(table, after), rows.version()), rows.era());
  }

  private static String toJson(Vector<StoredRow> rows, long version) {
    ObjectNode root = MAPPER.createObjectNode();
    ArrayNode list = root.putArray("rows");
    for (StoredRow row : rows) {
      ObjectNode node =
          list.addObject()
              .put("table", row.table())
              .put("part", "")
              .put("key", row.key())
              .put("ver", row.version());
      row.value().forEach(value -> node.put("value", value));
      if (row.value().isEmpty()) {
        node.put("tombstone", true);
      }
    }
    root.put("hasMore", false).put("ver", version).put("nowMs", nowMillis());
    return root.toString();
  }

  private static long nowMillis() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  }

  private Response transact(byte[] body) {
    JsonNode root = parse(body);
    StoredRows current = storedRows.get();
    boolean conditionHolds =
        Vector.ofAll(root.path("expectedRev"))
            .forAll(
                node ->
                    current.versionOf(node.path("table").asText(), node.path("key").asText())
                        == node.path("ver").asLong());
    if (!conditionHolds) {
      return new Response(PRECONDITION_FAILED_STATUS, "{\"rows\":[]}", current.era());
    }
    Vector<StoredRow> changes =
        Vector.ofAll(root.path("puts"))
            .map(node -> toRow(node, Option.some(node.path("value").asText())))
            .appendAll(Vector.ofAll(root.path("remove")).map(node -> toRow(node, Option.none())));
    return new Response(
        OK_STATUS,
        "{\"ver\":" + applyChanges(changes) + ",\"nowMs\":" + nowMillis() + "}",
        current.era());
  }

  private static StoredRow toRow(JsonNode node, Option<String> value) {
    return new StoredRow(node.path("table").asText(), node.path("key").asText(), value, 0);
  }

  private static JsonNode parse(byte[] body) {
    try {
      return MAPPER.readTree(body);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  @Override
  public void close() {
    server.close();
  }
}
