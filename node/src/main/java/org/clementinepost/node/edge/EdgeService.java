package org.clementinepost.node.edge;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.ChannelGroupFuture;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.util.concurrent.GlobalEventExecutor;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.IntConsumer;
import org.clementinepost.api.Chunk;
import org.clementinepost.api.Failure;
import org.clementinepost.api.Member;
import org.clementinepost.api.NetworkAddress;
import org.clementinepost.api.RequestId;
import org.clementinepost.api.ResultCode;
import org.clementinepost.api.http.HttpDialect;
import org.clementinepost.kernel.Address;
import org.clementinepost.kernel.Behaviour;
import org.clementinepost.kernel.MonotonicClock;
import org.clementinepost.kernel.ServiceDefinition;
import org.clementinepost.kernel.ServiceName;
import org.clementinepost.kernel.TaskContext;
import org.clementinepost.node.exchange.Answer;
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

/** Owns the port for callers. */
public final class EdgeService implements Behaviour<EdgeMessage> {
  /** The name by which the service is found. */
  public static final ServiceName<EdgeMessage> NAME = ServiceName.of("edge", EdgeMessage.class);

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int ID_RADIX = 36;
  private static final int FIRST_ERROR_STATUS = 400;

  private final RequestPipeline pipeline;
  private final Address<MetricsMessage> metrics;
  private final MonotonicClock clock;
  private final EdgeLimits limits;
  private final HttpDialect dialect;
  private volatile RequestReader reader;
  private final ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
  private final DisposableServer server;
  private volatile boolean stopping;
  private volatile boolean finishing;
  private IntConsumer inHand = count -> {};
  private final String idPrefix;
  private final AtomicLong nextId = new AtomicLong();

  private EdgeService(
      TaskContext<EdgeMessage> context, Member self, NodeSettings settings, HttpDialect dialect) {
    NetworkAddress address = settings.ingress();
    this.dialect = dialect;
    this.reader = new RequestReader(dialect, settings.localService());
    this.pipeline =
        new RequestPipeline(self.node(), context.clock(), context.scheduler(), context.registry());
    this.metrics = context.registry().find(MetricsService.NAME);
    this.clock = context.clock();
    this.limits = settings.edgeLimits();
    this.idPrefix = self.node() + "-" + Long.toString(self.incarnation(), ID_RADIX) + "-";
    this.server =
        HttpServer.create()
            .host(address.host())
            .port(address.port())
            .idleTimeout(Duration.ofMillis(limits.idleTimeoutMillis()))
            .readTimeout(Duration.ofMillis(limits.readTimeoutMillis()))
            .httpRequestDecoder(spec -> spec.maxHeaderSize(limits.maxHeaderBytes()))
            .channelGroup(connections)
            .doOnChannelInit(
                (observer, channel, remote) ->
                    CallerConnection.attach(
                        channel,
                        () -> finishing,
                        () -> context.self().send(new EdgeMessage.CallerLeft())))
            .handle(this::handle)
            .bindNow();
  }

  /** Defines the service on a node. */
  public static ServiceDefinition<EdgeMessage> definition(
      Member self, NodeSettings settings, HttpDialect dialect) {
    return new ServiceDefinition<>(
        NAME,
        ServiceDefinition.CONTROL_MAILBOX_MESSAGES,
        context -> new EdgeService(context, self, settings, dialect));
  }

  private Publisher<Void> handle(HttpServerRequest request, HttpServerResponse response) {
    long startedNanos = clock.nowNanos();
    RequestId id = reader.id(request, this::newId);
    IncomingRequest arrived = reader.read(id, request, ThreadLocalRandom.current().nextDouble());
    if (finishing) {
      return write(
          id, request, response, Either.left(Failure.of(ResultCode.NODE_STOPPING)), startedNanos);
    }
    UploadBody body =
        new UploadBody(request.receive().asByteArray().map(Chunk::wrap), limits.maxBodyBytes());
    return body.check(arrived.bodyBytes())
        .map(failure -> Mono.just(Either.<Failure, Answer>left(failure)))
        .getOrElse(() -> run(request, arrived, body))
        .flatMap(answer -> write(id, request, response, answer, startedNanos));
  }

  /** A short body is read first, so that the request can be placed again after a refusal. */
  private Mono<Either<Failure, Answer>> run(
      HttpServerRequest request, IncomingRequest arrived, UploadBody body) {
    boolean gathered =
        arrived.bodyBytes() > 0 && arrived.bodyBytes() <= UploadBody.MAX_REPEATABLE_BYTES;
    if (!gathered) {
      return pipeline.run(arrived, body);
    }
    return request
        .receive()
        .aggregate()
        .asByteArray()
        .flatMap(bytes -> pipeline.run(arrived, UploadBody.repeatable(Chunk.wrap(bytes))));
  }

  private RequestId newId() {
    return new RequestId(idPrefix + Long.toString(nextId.incrementAndGet(), ID_RADIX));
  }

  private Mono<Void> write(
      RequestId id,
      HttpServerRequest request,
      HttpServerResponse response,
      Either<Failure, Answer> answer,
      long startedNanos) {
    int result = answer.fold(failure -> failure.code().number(), whole -> 0);
    metrics.send(new MetricsMessage.IncrementCounter("edge.result." + result));
    logUnlessGood(id, answer, result, startedNanos);
    if (stopping) {
      response.keepAlive(false);
    }
    return Flux.from(AnswerWriter.write(dialect, id, request, response, answer))
        .doOnError(error -> cut(id, error))
        .doFinally(signal -> metrics.send(timed(startedNanos)))
        .then();
  }

  private void logUnlessGood(
      RequestId id, Either<Failure, Answer> answer, int result, long startedNanos) {
    int status =
        answer.fold(failure -> failure.code().httpStatus(), whole -> whole.head().status());
    if (status >= FIRST_ERROR_STATUS) {
      logger.atInfo().log(
          "event=answer request=%s status=%d code=%d millis=%d",
          id, status, result, TimeUnit.NANOSECONDS.toMillis(clock.nowNanos() - startedNanos));
    }
  }

  private MetricsMessage timed(long startedNanos) {
    long micros = TimeUnit.NANOSECONDS.toMicros(clock.nowNanos() - startedNanos);
    return new MetricsMessage.RecordDuration("edge.request", micros);
  }

  private void cut(RequestId id, Throwable error) {
    metrics.send(new MetricsMessage.IncrementCounter("edge.answers-cut"));
    logger.atWarning().log("event=answer-cut request=%s detail=%s", id, error);
  }

  @Override
  public void receive(EdgeMessage message) {
    if (message instanceof EdgeMessage.Reloaded reloaded) {
      reader = new RequestReader(dialect, reloaded.settings().localService());
      return;
    }
    if (message instanceof EdgeMessage.Farewell) {
      stopping = true;
      return;
    }
    if (message instanceof EdgeMessage.Finish finish) {
      finish(finish);
      return;
    }
    if (message instanceof EdgeMessage.CallerLeft) {
      tellInHand();
      return;
    }
    ((EdgeMessage.PortAsked) message).reply().send(server.port());
  }

  private void finish(EdgeMessage.Finish finish) {
    stopping = true;
    finishing = true;
    inHand = finish.inHand();
    server.dispose();
    connections.forEach(CallerConnection::finish);
    tellInHand();
  }

  /** A connection without a request has been closed, so each that is left waits for an answer. */
  private void tellInHand() {
    inHand.accept(connections.size());
  }

  @Override
  public void stop() {
    server.dispose();
    ChannelGroupFuture unused = connections.close();
  }
}
