package org.clementinepost.node.exchange;

import com.google.common.flogger.FluentLogger;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;
import org.clementinepost.api.Failure;
import org.clementinepost.api.RequestHead;
import org.clementinepost.api.ResultCode;
import org.clementinepost.api.http.HttpDialect;
import org.clementinepost.kernel.Address;
import org.clementinepost.kernel.Behaviour;
import org.clementinepost.kernel.Reply;
import org.clementinepost.kernel.Results;
import org.clementinepost.kernel.ServiceDefinition;
import org.clementinepost.kernel.ServiceName;
import org.clementinepost.kernel.TaskContext;
import org.clementinepost.node.host.HostMessage;
import org.clementinepost.node.host.HostService;
import org.clementinepost.policy.host.Admission;
import reactor.core.publisher.Mono;

/**
 * Sends requests to the backend servers of this host.
 *
 * <p>It owns the connections to them. The host service admits each request first, and is notified
 * exactly once of the end of the request, whatever the outcome.
 */
public final class ExchangeService implements Behaviour<ExchangeMessage> {
  /** The name under which the service is registered. */
  public static final ServiceName<ExchangeMessage> NAME =
      ServiceName.of("exchange", ExchangeMessage.class);

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int FIRST_SERVER_ERROR_STATUS = 500;

  private final TaskContext<ExchangeMessage> context;
  private final BackendClient client;
  private final Address<HostMessage> host;

  private ExchangeService(
      TaskContext<ExchangeMessage> context, int connectionsPerServer, HttpDialect dialect) {
    this.context = context;
    this.client = new BackendClient(connectionsPerServer, dialect, context.scheduler());
    this.host = context.registry().find(HostService.NAME);
  }

  /** Returns the definition of the service. */
  public static ServiceDefinition<ExchangeMessage> definition(
      int connectionsPerServer, HttpDialect dialect) {
    return new ServiceDefinition<>(
        NAME,
        ServiceDefinition.TRAFFIC_MAILBOX_MESSAGES,
        context -> new ExchangeService(context, connectionsPerServer, dialect));
  }

  @Override
  public void receive(ExchangeMessage message) {
    ExchangeMessage.Send send = (ExchangeMessage.Send) message;
    Mono<Either<Failure, Admission>> admitted = requestAdmission(send);
    long requestedNanos = context.clock().nowNanos();
    ExchangeStart start = new ExchangeStart();
    Mono<Either<Failure, BackendResponse>> result =
        Results.then(admitted, admission -> exchange(send, admission, requestedNanos, start));
    result
        .takeUntilOther(cancellation(send, start))
        .subscribe(
            send.reply()::send,
            error -> {
              logger.atSevere().withCause(error).log(
                  "event=exchange-failed request=%s", send.head().requestId());
              send.reply().send(Either.left(Failure.of(ResultCode.INTERNAL)));
            });
  }

  /** Requests admission; an admission granted after the cancellation is released at once. */
  private Mono<Either<Failure, Admission>> requestAdmission(ExchangeMessage.Send send) {
    return Mono.create(
        sink -> {
          AtomicBoolean completed = new AtomicBoolean();
          sink.onCancel(() -> completed.set(true));
          Reply<Either<Failure, Admission>> reply =
              result -> {
                if (completed.compareAndSet(false, true)) {
                  sink.success(result);
                  return;
                }
                result.forEach(
                    admission ->
                        host.send(
                            new HostMessage.RequestEnded(admission.id(), Option.none(), 0, 0)));
              };
          if (!host.send(new HostMessage.Admit(send.server(), send.head(), reply)).accepted()) {
            reply.send(Either.left(Failure.of(ResultCode.NODE_OVERLOADED)));
          }
        });
  }

  /**
   * Returns a signal that ends the exchange when the caller has left. A request that is not
   * idempotent runs to its end once it has been started.
   */
  private static Mono<Void> cancellation(ExchangeMessage.Send send, ExchangeStart start) {
    return send.cancelled()
        .then(
            Mono.defer(
                () -> {
                  if (!start.tryWithdraw()) {
                    return send.head().idempotent() ? Mono.empty() : Mono.never();
                  }
                  logger.atInfo().log(
                      "event=exchange-withdrawn request=%s", send.head().requestId());
                  return Mono.empty();
                }));
  }

  private Mono<Either<Failure, BackendResponse>> exchange(
      ExchangeMessage.Send send, Admission admission, long requestedNanos, ExchangeStart start) {
    RequestEndReporter endReporter =
        new RequestEndReporter(host, admission, context.clock(), BufferBudget.PROCESS);
    long waitedMillis = TimeUnit.NANOSECONDS.toMillis(context.clock().nowNanos() - requestedNanos);
    RequestHead head =
        send.head().nextAttempt(send.head().attempt(), send.head().timeoutMillis() - waitedMillis);
    if (head.timeoutMillis() <= 0) {
      Failure timeout = Failure.of(ResultCode.HOST_QUEUE_TIMEOUT);
      endReporter.reportFailure(timeout);
      return Mono.just(Either.left(timeout));
    }
    return client
        .send(admission, head, send.body(), start)
        .map(
            result ->
                result.map(
                    response -> logBodyFailure(head, admission, endReporter.observe(response))))
        .timeout(Duration.ofMillis(head.timeoutMillis()), context.scheduler())
        .onErrorResume(
            TimeoutException.class,
            error -> Mono.just(Either.left(Failure.of(ResultCode.BACKEND_TIMED_OUT))))
        .doOnNext(result -> logUnlessSuccessful(head, admission, result))
        .doOnNext(result -> result.swap().forEach(failure -> endReporter.reportFailure(failure)))
        .doOnCancel(
            () ->
                endReporter.reportFailure(Failure.of(ResultCode.BACKEND_ANSWER_LOST, "cancelled")));
  }

  /** Logs a failure of the body that occurs after the head has been passed on. */
  private static BackendResponse logBodyFailure(
      RequestHead head, Admission admission, BackendResponse response) {
    return new BackendResponse(
        response.head(),
        response
            .body()
            .doOnError(
                error ->
                    logUnlessSuccessful(
                        head, admission, Either.left(BodyFailedException.failureOf(error)))));
  }

  private static void logUnlessSuccessful(
      RequestHead head, Admission admission, Either<Failure, BackendResponse> result) {
    int status = result.fold(failure -> 0, response -> response.head().status());
    int code = result.fold(failure -> failure.code().number(), response -> 0);
    if (code == 0 && status < FIRST_SERVER_ERROR_STATUS) {
      return;
    }
    logger.atInfo().log(
        "event=exchange request=%s attempt=%d server=%s status=%d code=%d detail=%s",
        head.requestId(),
        head.attempt(),
        admission.server(),
        status,
        code,
        result.fold(Failure::detail, response -> ""));
  }

  @Override
  public void stop() {
    client.dispose();
  }
}
