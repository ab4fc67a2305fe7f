package org.clementinepost.node.edge;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.UnaryOperator;
import org.clementinepost.api.Failure;
import org.clementinepost.api.RequestHead;
import org.clementinepost.node.edge.PipelinedRequest.Progress;
import org.clementinepost.node.exchange.BodyBuffer;
import org.clementinepost.policy.access.IncomingRequest;
import reactor.netty.NettyPipeline;
import reactor.netty.http.server.HttpServerRequest;

/**
 * Starts the processing of pipelined requests of one caller's connection before their turn.
 *
 * <p>The HTTP library handles the requests of a connection one after the other and keeps the order
 * of the responses. This handler sees each request when it is decoded. It starts a request without
 * a body early if the request and all unanswered requests before it are idempotent; the edge
 * service takes the result when the library reaches the request. All changes of the state are made
 * on the event loop of the connection.
 */
final class PipelinedRequests extends ChannelDuplexHandler {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final String NAME = "pipelined-requests";
  private static final int FIRST_SERVER_ERROR_STATUS = 500;

  private final EarlyProcessing processing;
  private volatile Vector<PipelinedRequest> unanswered = Vector.empty();
  private Executor eventLoop = Runnable::run;

  /** Whether the caller or a response has announced that the connection will be closed. */
  private boolean closing;

  private PipelinedRequests(EarlyProcessing processing) {
    this.processing = processing;
  }

  /** Adds the handler to a new connection if requests may be processed concurrently. */
  static void attach(Channel channel, EarlyProcessing processing) {
    if (processing.maxConcurrent() > 1) {
      channel.pipeline().addAfter(NettyPipeline.HttpCodec, NAME, new PipelinedRequests(processing));
    }
  }

  /** Returns the handler of the connection that a request arrived on, if it has one. */
  static Option<PipelinedRequests> of(HttpServerRequest request) {
    AtomicReference<PipelinedRequests> handler = new AtomicReference<>();
    request.withConnection(
        connection -> handler.set(connection.channel().pipeline().get(PipelinedRequests.class)));
    return Option.of(handler.get());
  }

  @Override
  public void handlerAdded(ChannelHandlerContext context) {
    eventLoop = context.executor();
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
    if (message instanceof HttpRequest request && !closing) {
      onRequest(request);
    }
    super.channelRead(context, message);
  }

  private void onRequest(HttpRequest request) {
    Option<IncomingRequest> incoming =
        request.decoderResult().isFailure() ? Option.none() : processing.reader().apply(request);
    unanswered = unanswered.append(PipelinedRequest.received(request.headers(), incoming));
    closing = !HttpUtil.isKeepAlive(request);
    if (unanswered.size() > processing.maxConcurrent()) {
      incoming.forEach(waiting -> reportNotStarted(waiting, "limit"));
      return;
    }
    startEligible();
  }

  /** Starts what may be started now; nothing passes a request that isn't known to be idempotent. */
  private void startEligible() {
    if (processing.stopping().getAsBoolean()) {
      return;
    }
    Vector<PipelinedRequest> candidates = unanswered.take(processing.maxConcurrent());
    candidates
        .drop(1)
        .filter(PipelinedRequest::mayBeAuthorizedEarly)
        .forEach(this::requestAuthorization);
    for (PipelinedRequest candidate : candidates) {
      if (!candidate.allowsConcurrency()) {
        return;
      }
      if (candidate.progress() == Progress.AUTHORIZED && !start(candidate)) {
        return;
      }
    }
  }

  private void requestAuthorization(PipelinedRequest request) {
    HttpHeaders headers = request.headers();
    update(headers, received -> received.withProgress(Progress.AUTHORIZING));
    processing
        .authorizer()
        .apply(request.incoming().get())
        .subscribe(
            result -> eventLoop.execute(() -> onAuthorized(headers, result)),
            error ->
                logger.atWarning().withCause(error).log(
                    "event=pipelined-authorization-failed request=%s",
                    request.incoming().get().requestId()));
  }

  private void onAuthorized(HttpHeaders headers, Either<Failure, RequestHead> result) {
    update(
        headers,
        request ->
            result.fold(
                failure ->
                    request.progress() == Progress.AUTHORIZING && isFinal(failure)
                        ? request.withProgress(Progress.REFUSED)
                        : request,
                request::authorized));
    startEligible();
  }

  /**
   * Whether a request is refused at its turn too; a node that is busy now may authorize it then.
   */
  private static boolean isFinal(Failure failure) {
    return failure.code().httpStatus() < FIRST_SERVER_ERROR_STATUS;
  }

  /** Reports that the request whose turn it is has been authorized. */
  void reportAuthorized(HttpHeaders headers, RequestHead head) {
    eventLoop.execute(() -> onAuthorized(headers, Either.right(head)));
  }

  private boolean start(PipelinedRequest request) {
    RequestHead head = request.head().get();
    int reservedBytes = BodyBuffer.UNBUDGETED_BYTES;
    if (!processing.budget().tryReserve(reservedBytes)) {
      reportNotStarted(request.incoming().get(), "budget");
      return false;
    }
    StartedRequest started =
        StartedRequest.start(
            head.requestId(),
            processing.nanoClock().getAsLong(),
            () -> processing.budget().release(reservedBytes),
            processing.processor().apply(head));
    update(request.headers(), authorized -> authorized.started(started));
    processing.counter().accept("edge.pipelined.started");
    logger.atInfo().log("event=pipelined-started request=%s", head.requestId());
    return true;
  }

  private void reportNotStarted(IncomingRequest request, String bound) {
    processing.counter().accept("edge.pipelined.not-started." + bound);
    logger.atInfo().log(
        "event=pipelined-not-started request=%s bound=%s", request.requestId(), bound);
  }

  private void update(HttpHeaders headers, UnaryOperator<PipelinedRequest> change) {
    unanswered =
        unanswered.map(request -> request.headers() == headers ? change.apply(request) : request);
  }

  /** Begins the turn of a request; returns its processing if it has been started early. */
  Option<StartedRequest> take(HttpHeaders headers) {
    Option<StartedRequest> started =
        unanswered.find(request -> request.headers() == headers).flatMap(PipelinedRequest::started);
    update(headers, PipelinedRequest::taken);
    return started;
  }

  /** Whether a request that has been started early waits for its turn. */
  boolean hasStarted() {
    return unanswered.exists(request -> request.started().isDefined());
  }

  @Override
  public void write(ChannelHandlerContext context, Object message, ChannelPromise promise)
      throws Exception {
    if (message instanceof HttpResponse response && !isInterim(response)) {
      cancelIfLast(response);
    }
    super.write(context, message, promise);
    if (message instanceof LastHttpContent && !isInterim(message)) {
      unanswered = unanswered.drop(1);
      startEligible();
    }
  }

  private static boolean isInterim(Object message) {
    return message instanceof HttpResponse response
        && response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
  }

  /** Cancels the requests behind a response after which the connection is closed. */
  private void cancelIfLast(HttpResponse response) {
    if (!HttpUtil.isKeepAlive(response)) {
      closing = true;
      cancel(unanswered.drop(1), "response-closes");
      unanswered = unanswered.take(1);
    }
  }

  private void cancel(Vector<PipelinedRequest> requests, String reason) {
    for (StartedRequest started : requests.flatMap(PipelinedRequest::started)) {
      started.cancel();
      processing.counter().accept("edge.pipelined.cancelled");
      logger.atInfo().log("event=pipelined-cancelled request=%s reason=%s", started.id(), reason);
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) throws Exception {
    closing = true;
    cancel(unanswered, "connection-closed");
    unanswered = Vector.empty();
    super.channelInactive(context);
  }
}
