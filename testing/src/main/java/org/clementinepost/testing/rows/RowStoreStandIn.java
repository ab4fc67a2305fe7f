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

/** A metadata store in memory, which fails by order. */
public final class RowStoreStandIn implements AutoCloseable {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final int OK_STATUS = 200;
  private static final int GONE_STATUS = 410;
  private static final int PRECONDITION_FAILED_STATUS = 412;
  private static final int NOT_FOUND_STATUS = 404;

  /** How a call is met. */
  public enum Fault {
    /** It is answered. */
    NONE,
    /** It is refused, and nothing is done. */
    BUSY,
    /** The rate is said to be exceeded, and nothing is done. */
    THROTTLED,
    /** The connection is reset, and nothing is done. */
    RESET,
    /** Nothing is done, and no answer comes. */
    NO_RESPONSE,
    /** The call is done, and the answer is lost. */
    RESPONSE_LOST,
    /** The call is done later, if its condition still holds then, and no answer comes. */
    EXECUTED_LATE
  }

  private static final int SERVICE_UNAVAILABLE_STATUS = 503;
  private static final int TOO_MANY_REQUESTS_STATUS = 429;

  private final AtomicReference<StoredRows> storedRows = new AtomicReference<>(StoredRows.empty());
  private final AtomicReference<Fault> fault = new AtomicReference<>(Fault.NONE);
  private final AtomicReference<Vector<Runnable>> lateCalls = new AtomicReference<>(Vector.empty());
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

  /** Where it listens. */
  public NetworkAddress address() {
    return server.address();
  }

  /** How calls are met from now on. */
  public void setFault(Fault next) {
    fault.set(next);
  }

  /** Carries out the calls whose effect was put off. */
  public void executeLateCalls() {
    lateCalls.getAndSet(Vector.empty()).forEach(Runnable::run);
  }

  /** Drops the history of changes. */
  public void dropHistory() {
    storedRows.updateAndGet(StoredRows::withoutHistory);
  }

  /** The calls that were made, those that failed included. */
  public long callCount() {
    return callCount.get();
  }

  /** Writes a row as its owner would, under no condition. */
  public void put(String table, String key, String value) {
    String encoded = Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8));
    applyChanges(Vector.of(new StoredRow(table, key, Option.some(encoded), 0)));
  }

  /** Removes a row as its owner would, under no condition. */
  public void remove(String table, String key) {
    applyChanges(Vector.of(new StoredRow(table, key, Option.none(), 0)));
  }

  /** The value of a row. */
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
    Mono<Response> answer =
        request
            .receive()
            .aggregate()
            .asByteArray()
            .defaultIfEmpty(new byte[0])
            .flatMap(body -> execute(request.uri(), body));
    return switch (fault.get()) {
      case NONE -> answer.flatMap(done -> writeResponse(response, done));
      case BUSY -> writeResponse(response, new Response(SERVICE_UNAVAILABLE_STATUS, "{}"));
      case THROTTLED -> writeResponse(response, new Response(TOO_MANY_REQUESTS_STATUS, "{}"));
      case RESET -> resetConnection(request);
      case NO_RESPONSE -> Mono.never();
      case RESPONSE_LOST -> answer.then(resetConnection(request));
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

  private record Response(int status, String body) {}

  private static Mono<Void> writeResponse(HttpServerResponse response, Response answer) {
    byte[] bytes = answer.body().getBytes(StandardCharsets.UTF_8);
    return response
        .status(answer.status())
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
      default -> Mono.just(new Response(NOT_FOUND_STATUS, "{}"));
    };
  }

  private static String parameter(QueryStringDecoder query, String name, String fallback) {
    return query.parameters().getOrDefault(name, List.of(fallback)).get(0);
  }

  private Response readRows(QueryStringDecoder query) {
    StoredRows now = storedRows.get();
    Vector<StoredRow> rows =
        now.rowsFrom(parameter(query, "table", ""), parameter(query, "from", ""));
    return new Response(OK_STATUS, toJson(rows, now.version()));
  }

  private Mono<Response> readFeed(QueryStringDecoder query) {
    String table = parameter(query, "table", "");
    long after = Long.parseLong(parameter(query, "after", "0"));
    long waitMillis = Long.parseLong(parameter(query, "waitMs", "0"));
    if (after < storedRows.get().lastDroppedVersion()) {
      return Mono.just(new Response(GONE_STATUS, "{}"));
    }
    return newVersions
        .asFlux()
        .startWith(0L)
        .filter(changed -> !storedRows.get().changesAfter(table, after).isEmpty())
        .next()
        .map(changed -> feedPage(table, after))
        .timeout(Duration.ofMillis(waitMillis), Mono.fromSupplier(() -> feedPage(table, after)));
  }

  private Response feedPage(String table, long after) {
    StoredRows now = storedRows.get();
    return new Response(OK_STATUS, toJson(now.changesAfter(table, after), now.version()));
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
    StoredRows now = storedRows.get();
    boolean holds =
        Vector.ofAll(root.path("expectedRev"))
            .forAll(
                node ->
                    now.versionOf(node.path("table").asText(), node.path("key").asText())
                        == node.path("ver").asLong());
    if (!holds) {
      return new Response(PRECONDITION_FAILED_STATUS, "{\"rows\":[]}");
    }
    Vector<StoredRow> changes =
        Vector.ofAll(root.path("puts"))
            .map(node -> toRow(node, Option.some(node.path("value").asText())))
            .appendAll(Vector.ofAll(root.path("remove")).map(node -> toRow(node, Option.none())));
    return new Response(
        OK_STATUS, "{\"ver\":" + applyChanges(changes) + ",\"nowMs\":" + nowMillis() + "}");
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
