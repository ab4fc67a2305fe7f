package org.clementinepost.testing.backend;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import org.clementinepost.api.Failure;
import org.clementinepost.kernel.Address;
import org.clementinepost.kernel.Ask;
import org.clementinepost.kernel.Reply;
import org.clementinepost.testing.Json;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.Connection;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/** Translates HTTP requests to the stand-in into messages, and replies into HTTP responses. */
final class BackendHttpHandler {
  private static final String REQUEST_ID_FIELD = "clementinepost-request-id";
  private static final String TIMEOUT_FIELD = "clementinepost-timeout-millis";
  private static final String OUTCOME_FIELD = "clementinepost-outcome";
  private static final String SERVER_FIELD = "clementinepost-stand-in";
  private static final String NOT_RUN = "not-run";
  private static final Pattern DELAY_PARAMETER = Pattern.compile("[?&]delayMillis=(\\d+)");
  private static final int OK_STATUS = 200;
  private static final int BAD_REQUEST_STATUS = 400;
  private static final int SERVICE_UNAVAILABLE_STATUS = 503;

  private final String id;
  private final Address<BackendMessage> task;

  BackendHttpHandler(String id, Address<BackendMessage> task) {
    this.id = id;
    this.task = task;
  }

  /** Counts a connection as open until it is closed. */
  void countConnection(Connection connection) {
    task.send(new BackendMessage.ConnectionCountChanged(1));
    connection.onDispose(() -> task.send(new BackendMessage.ConnectionCountChanged(-1)));
  }

  Mono<Void> handle(HttpServerRequest request, HttpServerResponse response) {
    return switch (request.fullPath()) {
      case "/control" -> handleControl(request, response);
      case "/received" -> handleStatistics(response);
      default -> handleRequest(request, response);
    };
  }

  private Mono<Void> handleControl(HttpServerRequest request, HttpServerResponse response) {
    return request
        .receive()
        .aggregate()
        .asByteArray()
        .map(body -> Json.read(body, HealthControl.class))
        .flatMap(
            read ->
                read.fold(
                    problem -> writeJson(response, BAD_REQUEST_STATUS, new Problem(problem)),
                    health -> applyControl(response, health)));
  }

  private Mono<Void> applyControl(HttpServerResponse response, HealthControl health) {
    return Ask.<BackendMessage, HealthControl>of(
            task, reply -> new BackendMessage.SetHealth(health, reply))
        .flatMap(applied -> writeJson(response, OK_STATUS, health));
  }

  private Mono<Void> handleStatistics(HttpServerResponse response) {
    return Ask.<BackendMessage, RequestStatistics>of(task, BackendMessage.GetStatistics::new)
        .flatMap(read -> writeJson(response, OK_STATUS, RequestStatisticsJson.of(id, read.get())));
  }

  private Mono<Void> handleRequest(HttpServerRequest request, HttpServerResponse response) {
    return Ask.<BackendMessage, Admission>of(task, reply -> requestStarted(request, reply))
        .flatMap(
            admitted ->
                admitted.fold(
                    failure -> writeShed(response),
                    admission -> processRequest(admission, request, response)));
  }

  private static BackendMessage requestStarted(
      HttpServerRequest request, Reply<Either<Failure, Admission>> reply) {
    Matcher delay = DELAY_PARAMETER.matcher(request.uri());
    return new BackendMessage.RequestStarted(
        request.requestHeaders().get(REQUEST_ID_FIELD, ""),
        request.requestHeaders().contains("Authorization"),
        Long.parseLong(request.requestHeaders().get(TIMEOUT_FIELD, "0")),
        delay.find() ? Option.some(Long.parseLong(delay.group(1))) : Option.none(),
        reply);
  }

  private Mono<Void> processRequest(
      Admission admission, HttpServerRequest request, HttpServerResponse response) {
    if (admission instanceof Admission.Shed) {
      return writeShed(response);
    }
    Mono<Void> work =
        admission instanceof Admission.Run run
            ? delay(run.delayMillis()).then(Mono.defer(() -> writeResponse(run, request, response)))
            : Mono.never();
    return Mono.usingWhen(
        Mono.just(admission),
        taken -> Mono.firstWithSignal(work, failOnDisconnect(request)),
        taken -> requestEnded(false),
        (taken, error) -> requestEnded(true),
        taken -> requestEnded(true));
  }

  private static Mono<Void> delay(long delayMillis) {
    return delayMillis == 0 ? Mono.empty() : Mono.delay(Duration.ofMillis(delayMillis)).then();
  }

  private Mono<Void> requestEnded(boolean cancelled) {
    return Mono.fromRunnable(() -> task.send(new BackendMessage.RequestEnded(cancelled)));
  }

  private static Mono<Void> failOnDisconnect(HttpServerRequest request) {
    return Mono.create(
        sink ->
            request.withConnection(
                connection ->
                    sink.onDispose(
                        connection
                            .onDispose()
                            .subscribe(
                                closed -> {},
                                sink::error,
                                () -> sink.error(new DisconnectedException())))));
  }

  private Mono<Void> writeShed(HttpServerResponse response) {
    response.header(OUTCOME_FIELD, NOT_RUN);
    return writeJson(response, SERVICE_UNAVAILABLE_STATUS, new Problem("shed"));
  }

  private Mono<Void> writeResponse(
      Admission.Run run, HttpServerRequest request, HttpServerResponse response) {
    response.header(SERVER_FIELD, id);
    if (run.status() == OK_STATUS && request.fullPath().equals("/echo")) {
      return writeEcho(request, response);
    }
    return request
        .receive()
        .asByteArray()
        .reduce(0L, (bytes, chunk) -> bytes + chunk.length)
        .flatMap(bytes -> writeJson(response, run.status(), describe(run, request, bytes)));
  }

  private static Mono<Void> writeEcho(HttpServerRequest request, HttpServerResponse response) {
    String length = request.requestHeaders().get("Content-Length");
    if (length != null) {
      response.header("Content-Length", length);
    }
    Flux<byte[]> body = request.receive().asByteArray();
    return response.status(OK_STATUS).sendByteArray(body).then();
  }

  private RequestDescription describe(
      Admission.Run run, HttpServerRequest request, long bodyBytes) {
    Map<String, String> headers =
        request.requestHeaders().entries().stream()
            .collect(
                Collectors.toMap(
                    Map.Entry::getKey,
                    Map.Entry::getValue,
                    BackendHttpHandler::joinValues,
                    LinkedHashMap::new));
    return new RequestDescription(
        request.method().name(), request.uri(), headers, bodyBytes, id, run.totalRuns());
  }

  private static String joinValues(String first, String second) {
    return first + ", " + second;
  }

  private static Mono<Void> writeJson(HttpServerResponse response, int status, Object value) {
    byte[] body = Json.write(value).getBytes(StandardCharsets.UTF_8);
    return response
        .status(status)
        .header("Content-Type", "application/json")
        .header("Content-Length", Integer.toString(body.length))
        .sendByteArray(Mono.just(body))
        .then();
  }

  private record Problem(String problem) {}

  private record RequestDescription(
      String method,
      String path,
      Map<String, String> headers,
      long bodyBytes,
      String server,
      long runCount) {}

  /** Indicates that the caller's connection was closed before the response. */
  private static final class DisconnectedException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    DisconnectedException() {
      super("the connection was closed before the response", null, false, false);
    }
  }
}
