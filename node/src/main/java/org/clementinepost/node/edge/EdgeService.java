package org.clementinepost.node.edge;

import com.google.common.flogger.FluentLogger;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.time.Duration;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.IntConsumer;
import org.clementinepost.api.Chunk;
import org.clementinepost.api.Failure;
import org.clementinepost.api.Member;
import org.clementinepost.api.NetworkAddress;
import org.clementinepost.api.RequestHead;
import org.clementinepost.api.RequestId;
import org.clementinepost.api.ResultCode;
import org.clementinepost.api.http.HttpDialect;
import org.clementinepost.kernel.Address;
import org.clementinepost.kernel.Behaviour;
import org.clementinepost.kernel.MonotonicClock;
import org.clementinepost.kernel.Results;
import org.clementinepost.kernel.ServiceDefinition;
import org.clementinepost.kernel.ServiceName;
import org.clementinepost.kernel.TaskContext;
import org.clementinepost.node.edge.RequestGuard.RequestEnd;
import org.clementinepost.node.exchange.BackendResponse;
import org.clementinepost.node.exchange.BufferBudget;
import org.clementinepost.node.exchange.WritabilityGate;
import org.clementinepost.node.metrics.MetricsMessage;
import org.clementinepost.node.metrics.MetricsService;
import org.clementinepost.node.settings.NodeSettings;
import org.clementinepost.node.settings.NodeSettings.EdgeLimits;
import org.clementinepost.policy.access.IncomingRequest;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/** Accepts callers' HTTP requests on the ingress port and writes the responses. */
public final class EdgeService implements Behaviour<EdgeMessage> {
  /** The name under which the service is registered. */
  public static final ServiceName<EdgeMessage> NAME = ServiceName.of("edge", EdgeMessage.class);

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int ID_RADIX = 36;
  private static final int FIRST_ERROR_STATUS = 400;
  private static final Set<HttpMethod> METHODS_WITHOUT_BODY =
      Set.of(HttpMethod.GET, HttpMethod.HEAD);

  private final RequestPipeline pipeline;
  private final Address<MetricsMessage> metrics;
  private final MonotonicClock clock;
  private final EdgeLimits limits;
  private final HttpDialect dialect;
  private volatile RequestReader requestReader;
  private final CallerConnections connections;
  private final DisposableServer server;
  private volatile boolean keepAliveDisabled;
  private volatile boolean stoppedAccepting;
  private IntConsumer inFlightListener = count -> {};
  private final String requestIdPrefix;
  private final AtomicLong lastRequestNumber = new AtomicLong();

  private EdgeService(
      TaskContext<EdgeMessage> context, Member self, NodeSettings settings, HttpDialect dialect) {
    NetworkAddress address = settings.ingress();
    this.dialect = dialect;
    this.requestReader = new RequestReader(dialect, settings.localService());
    this.pipeline =
        new RequestPipeline(self.node(), context.clock(), context.scheduler(), context.registry());
    this.metrics = context.registry().find(MetricsService.NAME);
    this.connections = new CallerConnections(metrics);
    this.clock = context.clock();
    this.limits = settings.edgeLimits();
    this.requestIdPrefix = self.node() + "-" + Long.toString(self.incarnation(), ID_RADIX) + "-";
    EarlyProcessing earlyProcessing = earlyProcessing(settings.load().maxPipelinedRequests());
    this.server =
        HttpServer.create()
            .host(address.host())
            .port(address.port())
            .idleTimeout(Duration.ofMillis(limits.idleTimeoutMillis()))
            .readTimeout(Duration.ofMillis(limits.readTimeoutMillis()))
            .httpRequestDecoder(spec -> spec.maxHeaderSize(limits.maxHeaderBytes()))
            .channelGroup(connections.channels())
            .doOnChannelInit(
                (observer, channel, remote) -> {
                  WritabilityGate.attach(channel);
                  RequestGuard.attach(channel);
                  PipelinedRequests.attach(channel, earlyProcessing);
                  CallerConnection.attach(
                      channel,
                      limits.idleTimeoutMillis() / CallerConnections.CHECK_MILLIS,
                      () -> stoppedAccepting,
                      () -> context.self().send(new EdgeMessage.CallerDisconnected()));
                })
            .handle(this::handle)
            .bindNow();
    context.sendEvery(
        NAME.text(),
        CallerConnections.CHECK_MILLIS,
        CallerConnections.CHECK_MILLIS,
        new EdgeMessage.CheckConnections());
  }

  /** Returns the definition of the service. */
  public static ServiceDefinition<EdgeMessage> definition(
      Member self, NodeSettings settings, HttpDialect dialect) {
    return new ServiceDefinition<>(
        NAME,
        ServiceDefinition.CONTROL_MAILBOX_MESSAGES,
        context -> new EdgeService(context, self, settings, dialect));
  }

  private EarlyProcessing earlyProcessing(int maxConcurrent) {
    return new EarlyProcessing(
        maxConcurrent,
        this::readIfWithoutBody,
        pipeline::authorize,
        head -> pipeline.process(head, RequestBody.empty()),
        () -> keepAliveDisabled,
        BufferBudget.PROCESS,
        name -> metrics.send(new MetricsMessage.IncrementCounter(name)),
        clock::nowNanos);
  }

  /** Reads a GET or HEAD request without a body; none for other and for malformed requests. */
  private Option<IncomingRequest> readIfWithoutBody(HttpRequest request) {
    HttpHeaders headers = request.headers();
    boolean withoutBody =
        METHODS_WITHOUT_BODY.contains(request.method())
            && !headers.contains(HttpHeaderNames.EXPECT)
            && RequestSyntax.findProblem(request.protocolVersion(), headers).isEmpty();
    return Option.when(withoutBody, () -> read(request.method(), request.uri(), headers))
        .filter(incoming -> incoming.bodyBytes() == RequestHead.NO_BODY);
  }

  private IncomingRequest read(HttpMethod method, String uri, HttpHeaders headers) {
    RequestId id = requestReader.requestId(headers, this::newRequestId);
    return requestReader.read(id, method, uri, headers, ThreadLocalRandom.current().nextDouble());
  }

  /**
   * Handles a request after the HTTP library has passed on what has arrived of it.
   *
   * <p>The library calls the handler before it passes on the end of a request. It doesn't read the
   * connection any more if the response has been written by then.
   */
  private Publisher<Void> handle(HttpServerRequest request, HttpServerResponse response) {
    RequestEnd requestEnd = RequestGuard.endOf(request);
    return Mono.<Void>create(sink -> eventLoopOf(request).execute(sink::success))
        .then(Mono.defer(() -> Mono.from(handleArrived(request, response, requestEnd))));
  }

  private static Executor eventLoopOf(HttpServerRequest request) {
    AtomicReference<Executor> eventLoop = new AtomicReference<>();
    request.withConnection(connection -> eventLoop.set(connection.channel().eventLoop()));
    return eventLoop.get();
  }

  private Publisher<Void> handleArrived(
      HttpServerRequest request, HttpServerResponse response, RequestEnd requestEnd) {
    Option<StartedRequest> started =
        PipelinedRequests.of(request)
            .flatMap(pipelined -> pipelined.take(request.requestHeaders()));
    if (started.isEmpty()) {
      return handleFromStart(request, response, requestEnd);
    }
    return started
        .get()
        .take()
        .flatMap(
            result ->
                writeResponse(
                    started.get().id(), request, response, result, started.get().startedNanos()));
  }

  private Publisher<Void> handleFromStart(
      HttpServerRequest request, HttpServerResponse response, RequestEnd requestEnd) {
    long startedNanos = clock.nowNanos();
    IncomingRequest incoming = read(request.method(), request.uri(), request.requestHeaders());
    RequestId id = incoming.requestId();
    if (stoppedAccepting) {
      return writeResponse(
          id, request, response, Either.left(Failure.of(ResultCode.NODE_STOPPING)), startedNanos);
    }
    Option<Failure> problem =
        RequestSyntax.findProblem(request.version(), request.requestHeaders());
    if (problem.isDefined()) {
      response.keepAlive(false);
      return writeResponse(id, request, response, Either.left(problem.get()), startedNanos);
    }
    RequestBody body =
        new RequestBody(
            request.receive().asByteArray().map(Chunk::wrap),
            requestEnd::isReachedAfter,
            limits.maxBodyBytes());
    return body.checkLength(incoming.bodyBytes())
        .map(failure -> Mono.just(Either.<Failure, BackendResponse>left(failure)))
        .getOrElse(() -> run(request, incoming, body))
        .flatMap(result -> writeResponse(id, request, response, result, startedNanos));
  }

  /**
   * Buffers a short body before the first attempt, so that the request can be retried, unless the
   * budget of the process is spent.
   */
  private Mono<Either<Failure, BackendResponse>> run(
      HttpServerRequest request, IncomingRequest incoming, RequestBody body) {
    long bytes = incoming.bodyBytes();
    boolean buffered =
        bytes > 0
            && bytes <= RequestBody.MAX_REPLAYABLE_BYTES
            && BufferBudget.PROCESS.tryReserve(bytes);
    if (!buffered) {
      return runUnbuffered(request, incoming, body);
    }
    return body.buffer()
        .flatMap(whole -> pipeline.run(incoming, whole))
        .doFinally(signal -> BufferBudget.PROCESS.release(bytes));
  }

  /** Processes a request; the pipelined requests behind it may start once it is authorized. */
  private Mono<Either<Failure, BackendResponse>> runUnbuffered(
      HttpServerRequest request, IncomingRequest incoming, RequestBody body) {
    Option<PipelinedRequests> pipelined =
        PipelinedRequests.of(request).filter(unused -> incoming.bodyBytes() == RequestHead.NO_BODY);
    if (pipelined.isEmpty()) {
      return pipeline.run(incoming, body);
    }
    HttpHeaders headers = request.requestHeaders();
    return Results.then(
        pipeline.authorize(incoming),
        head -> {
          pipelined.get().reportAuthorized(headers, head);
          return pipeline.process(head, body);
        });
  }

  private RequestId newRequestId() {
    return new RequestId(
        requestIdPrefix + Long.toString(lastRequestNumber.incrementAndGet(), ID_RADIX));
  }

  private Mono<Void> writeResponse(
      RequestId id,
      HttpServerRequest request,
      HttpServerResponse response,
      Either<Failure, BackendResponse> result,
      long startedNanos) {
    int resultCode = result.fold(failure -> failure.code().number(), backendResponse -> 0);
    metrics.send(new MetricsMessage.IncrementCounter("edge.result." + resultCode));
    logIfError(id, result, resultCode, startedNanos);
    if (keepAliveDisabled && !PipelinedRequests.of(request).exists(PipelinedRequests::hasStarted)) {
      response.keepAlive(false);
    }
    return Flux.from(ResponseWriter.write(dialect, id, request, response, result))
        .doOnError(error -> reportTruncatedResponse(id, error))
        .doFinally(signal -> metrics.send(durationMetric(startedNanos)))
        .then();
  }

  private void logIfError(
      RequestId id, Either<Failure, BackendResponse> result, int resultCode, long startedNanos) {
    int status =
        result.fold(
            failure -> failure.code().httpStatus(),
            backendResponse -> backendResponse.head().status());
    if (status >= FIRST_ERROR_STATUS) {
      logger.atInfo().log(
          "event=answer request=%s status=%d code=%d millis=%d",
          id, status, resultCode, TimeUnit.NANOSECONDS.toMillis(clock.nowNanos() - startedNanos));
    }
  }

  private MetricsMessage durationMetric(long startedNanos) {
    long micros = TimeUnit.NANOSECONDS.toMicros(clock.nowNanos() - startedNanos);
    return new MetricsMessage.RecordDuration("edge.request", micros);
  }

  private void reportTruncatedResponse(RequestId id, Throwable error) {
    metrics.send(new MetricsMessage.IncrementCounter("edge.answers-cut"));
    logger.atWarning().log("event=answer-cut request=%s detail=%s", id, error);
  }

  @Override
  public void receive(EdgeMessage message) {
    if (message instanceof EdgeMessage.SettingsReloaded reloaded) {
      requestReader = new RequestReader(dialect, reloaded.settings().localService());
      return;
    }
    if (message instanceof EdgeMessage.DisableKeepAlive) {
      keepAliveDisabled = true;
      return;
    }
    if (message instanceof EdgeMessage.StopAccepting stop) {
      stopAccepting(stop);
      return;
    }
    if (message instanceof EdgeMessage.CheckConnections) {
      connections.check();
      return;
    }
    if (message instanceof EdgeMessage.CallerDisconnected) {
      reportInFlight();
      return;
    }
    ((EdgeMessage.GetPort) message).reply().send(server.port());
  }

  private void stopAccepting(EdgeMessage.StopAccepting stop) {
    keepAliveDisabled = true;
    stoppedAccepting = true;
    inFlightListener = stop.inFlightListener();
    server.dispose();
    connections.closeWhenIdle();
    reportInFlight();
  }

  /** Idle connections have been closed, so each open connection waits for a response. */
  private void reportInFlight() {
    inFlightListener.accept(connections.size());
  }

  @Override
  public void stop() {
    server.dispose();
    connections.close();
  }
}
