package org.clementinepost.testing.platform;

import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import org.clementinepost.api.Failure;
import org.clementinepost.api.NetworkAddress;
import org.clementinepost.api.ResultCode;
import org.clementinepost.kernel.Ask;
import org.clementinepost.kernel.Kernel;
import org.clementinepost.storage.InMemoryPlatform;
import org.clementinepost.storage.Platform;
import org.clementinepost.storage.PlatformService;
import org.clementinepost.storage.protocol.TableRequestCodec;
import org.clementinepost.testing.Json;
import org.clementinepost.testing.StandInProcess;
import org.clementinepost.testing.StandInServer;
import org.reactivestreams.Publisher;
import reactor.core.Disposable;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;
import reactor.core.scheduler.Schedulers;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;
import reactor.netty.http.server.HttpServerRoutes;

/**
 * Serves the table service and the object store of the platform on one port and injects faults.
 *
 * <p>A kernel runs two tasks: one owns the stored data, the other the active fault. The HTTP
 * handlers only translate requests and keep no state.
 */
public final class PlatformStandIn implements StandInProcess.RunningStandIn {
  private static final int MAX_PAGE_ITEMS = 100;
  private static final int THREADS = 2;
  private static final int OK_STATUS = 200;
  private static final int BAD_REQUEST_STATUS = 400;
  private static final Duration STOP_TIMEOUT = Duration.ofSeconds(5);
  private static final byte[] NO_BODY = {};

  private final Scheduler scheduler = Schedulers.newParallel("platform-stand-in", THREADS);
  private final Kernel kernel;
  private final TableEndpoint table;
  private final ObjectEndpoint objects;
  private final StandInServer server;

  private PlatformStandIn(String host, int port, int maxPageItems) {
    kernel =
        Kernel.builder()
            .scheduler(scheduler)
            .service(PlatformService.definition(InMemoryPlatform.create()))
            .service(FaultService.definition())
            .start();
    Platform platform = PlatformService.platformOf(kernel);
    table = new TableEndpoint(platform.table(), maxPageItems);
    objects = new ObjectEndpoint(platform.objects());
    server = StandInServer.bind(host, port, HttpServer.create().route(this::addRoutes));
  }

  private void addRoutes(HttpServerRoutes routes) {
    routes
        .post("/", this::handleTableRequest)
        .post("/control", this::handleControl)
        .get("/{bucket}/**", this::handleGetObject)
        .put("/{bucket}/**", this::handlePutObject);
  }

  /** Starts on a free port of the loopback interface. */
  public static PlatformStandIn start() {
    return start("127.0.0.1", 0);
  }

  /** Starts on a port; 0 selects a free port. */
  public static PlatformStandIn start(String host, int port) {
    return new PlatformStandIn(host, port, MAX_PAGE_ITEMS);
  }

  static PlatformStandIn startWithMaxPageItems(int maxPageItems) {
    return new PlatformStandIn("127.0.0.1", 0, maxPageItems);
  }

  /** Returns the address that the stand-in listens on. */
  public NetworkAddress address() {
    return server.address();
  }

  /** Returns the root URL of both the table service and the object store. */
  public String url() {
    return "http://" + address();
  }

  /** Returns the platform behind the HTTP server; its calls are not affected by faults. */
  public Platform platformWithoutFaults() {
    return PlatformService.platformOf(kernel);
  }

  /** Injects a fault; it is active once the returned Mono completes. */
  public Mono<Either<Failure, Fault>> inject(Fault fault) {
    return Ask.of(kernel.find(FaultService.NAME), reply -> new FaultService.Inject(fault, reply));
  }

  @Override
  public Object listeningDetails() {
    return new Listening("platform", url(), url(), url() + "/control");
  }

  private record Listening(String role, String tableUrl, String objectsUrl, String controlUrl) {}

  private Publisher<Void> handleControl(HttpServerRequest request, HttpServerResponse response) {
    return readBody(request)
        .map(bytes -> Json.read(bytes, Fault.class))
        .flatMap(read -> read.fold(this::rejectControl, this::applyControl))
        .flatMap(result -> writeResponse(response, result));
  }

  private Mono<StandInResponse> rejectControl(String problem) {
    return Mono.just(jsonResponse(BAD_REQUEST_STATUS, new Problem(problem)));
  }

  private Mono<StandInResponse> applyControl(Fault fault) {
    return inject(fault).map(injected -> jsonResponse(OK_STATUS, fault));
  }

  private record Problem(String problem) {}

  private static StandInResponse jsonResponse(int status, Object value) {
    return new StandInResponse(
        status, "application/json", Json.write(value).getBytes(StandardCharsets.UTF_8));
  }

  private Publisher<Void> handleTableRequest(
      HttpServerRequest request, HttpServerResponse response) {
    String target = request.requestHeaders().get("X-Amz-Target", "");
    String operation = target.replace(TableRequestCodec.TARGET_PREFIX, "");
    OperationKind kind =
        operation.equals("TransactWriteItems")
            ? OperationKind.TABLE_WRITE
            : OperationKind.TABLE_READ;
    Mono<StandInResponse> result =
        readBody(request)
            .map(bytes -> TableRequestCodec.decode(operation, bytes))
            .flatMap(
                decoded ->
                    decoded.fold(
                        failure -> Mono.just(StandInResponse.tableError(failure)), table::handle));
    return applyFault(
        kind, request, response, result, StandInResponse.tableError(throttlingFailure()));
  }

  private Publisher<Void> handleGetObject(HttpServerRequest request, HttpServerResponse response) {
    return applyFault(
        OperationKind.OBJECT_READ,
        request,
        response,
        Mono.defer(() -> objects.get(request.path())),
        StandInResponse.objectError(throttlingFailure()));
  }

  private Publisher<Void> handlePutObject(HttpServerRequest request, HttpServerResponse response) {
    boolean ifAbsent = request.requestHeaders().contains("If-None-Match", "*", false);
    return applyFault(
        OperationKind.OBJECT_WRITE,
        request,
        response,
        readBody(request).flatMap(content -> objects.put(request.path(), content, ifAbsent)),
        StandInResponse.objectError(throttlingFailure()));
  }

  private static Failure throttlingFailure() {
    return Failure.of(ResultCode.PLATFORM_THROTTLED, "by order");
  }

  private Mono<Void> applyFault(
      OperationKind kind,
      HttpServerRequest request,
      HttpServerResponse response,
      Mono<StandInResponse> result,
      StandInResponse throttlingError) {
    Mono<Void> closeConnection =
        Mono.fromRunnable(() -> request.withConnection(Disposable::dispose));
    return takeFault(kind)
        .flatMap(
            fault ->
                switch (fault.mode()) {
                  case NONE -> result.flatMap(content -> writeResponse(response, content));
                  case REFUSE -> closeConnection;
                  case HANG -> Mono.never();
                  case LOSE_REPLIES -> result.then(closeConnection);
                  case SLOW ->
                      Mono.delay(Duration.ofMillis(fault.delayMillis()))
                          .then(result)
                          .flatMap(content -> writeResponse(response, content));
                  case THROTTLE -> readBody(request).then(writeResponse(response, throttlingError));
                });
  }

  private Mono<Fault> takeFault(OperationKind kind) {
    return Ask.<FaultService.Message, Fault>of(
            kernel.find(FaultService.NAME), reply -> new FaultService.TakeFault(kind, reply))
        .map(taken -> taken.getOrElse(Fault.of(FaultMode.NONE)));
  }

  private static Mono<byte[]> readBody(HttpServerRequest request) {
    return request.receive().aggregate().asByteArray().defaultIfEmpty(NO_BODY);
  }

  private static Mono<Void> writeResponse(HttpServerResponse response, StandInResponse content) {
    return response
        .status(content.status())
        .header("Content-Type", content.contentType())
        .header("Content-Length", Integer.toString(content.body().length))
        .sendByteArray(Mono.just(content.body()))
        .then();
  }

  /** Stops immediately and discards the stored data. */
  @Override
  public void close() {
    server.close();
    kernel.dispose();
    scheduler.disposeGracefully().timeout(STOP_TIMEOUT, Mono.empty()).block();
  }
}
