package org.clementinepost.benchmarks.measures;

import io.vavr.collection.HashSet;
import io.vavr.collection.Set;
import io.vavr.control.Either;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.clementinepost.api.BackendServerId;
import org.clementinepost.api.Endpoint;
import org.clementinepost.api.Failure;
import org.clementinepost.api.NodeId;
import org.clementinepost.api.RequestHead;
import org.clementinepost.api.ResultCode;
import org.clementinepost.kernel.Reply;
import org.clementinepost.policy.routing.Placement;
import org.clementinepost.policy.routing.RetryPolicy;
import org.clementinepost.policy.routing.RoutingEffect;
import org.clementinepost.policy.routing.RoutingEvent;

/** A node: the real routing and retry decisions over a fake network. */
final class FakeNode {
  private static final long TICK_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
  private static final long HOST_GRACE_MILLIS = 250;

  /** One caller's request. */
  record Request(int customer, long arrivedNanos, long deadlineNanos) {}

  /** One attempt at a request. */
  private record Attempt(
      Request request,
      RequestHead head,
      Set<BackendServerId> tried,
      Placement placement,
      long startNanos) {}

  private final int index;
  private final VirtualLoop loop;
  private final Random random;
  private final Router router;
  private final FakeNetwork network;
  private final java.util.Set<Long> open = new java.util.HashSet<>();
  private Tally tally;
  private long attempts;

  FakeNode(
      int index, VirtualLoop loop, Random random, Router router, FakeNetwork network, Tally tally) {
    this.index = index;
    this.loop = loop;
    this.random = random;
    this.router = router;
    this.network = network;
    this.tally = tally;
    long phaseNanos = index * TICK_NANOS / 32;
    loop.every(phaseNanos, TICK_NANOS, () -> decide(new RoutingEvent.Tick(loop.nowNanos())));
  }

  int index() {
    return index;
  }

  void count(Tally next) {
    tally = next;
  }

  void decide(RoutingEvent event) {
    for (RoutingEffect effect : router.decide(event)) {
      tally.effect(loop.nowNanos(), index, effect);
      if (effect instanceof RoutingEffect.Placed placed) {
        placed.reply().send(placed.result());
      }
      if (effect instanceof RoutingEffect.NotifyIngresses tell) {
        network.tell(this, tell);
      }
      if (effect instanceof RoutingEffect.ReplyWithReport reported) {
        reported.reply().send(reported.report());
      }
    }
  }

  void arrive(Request request, RequestHead head) {
    place(request, head, HashSet.empty(), FakeAnswer.failed(ResultCode.NO_BACKEND_SERVER));
  }

  private void place(
      Request request, RequestHead head, Set<BackendServerId> tried, FakeAnswer before) {
    decide(
        new RoutingEvent.Place(
            head,
            tried,
            random.nextLong(),
            loop.nowNanos(),
            answer -> placed(request, head, tried, before, answer)));
  }

  private void placed(
      Request request,
      RequestHead head,
      Set<BackendServerId> tried,
      FakeAnswer before,
      Either<Failure, Placement> answer) {
    if (answer.isLeft()) {
      finish(request, head, before);
      return;
    }
    Placement placement = answer.get();
    Endpoint endpoint = placement.endpoint();
    Attempt attempt =
        new Attempt(request, head, tried.add(endpoint.server()), placement, loop.nowNanos());
    attempts++;
    long number = attempts;
    open.add(number);
    tally.attempt();
    loop.after(
        TimeUnit.MILLISECONDS.toNanos(head.timeoutMillis() + HOST_GRACE_MILLIS),
        () -> ended(number, attempt, FakeAnswer.failed(ResultCode.BACKEND_TIMED_OUT)));
    network.send(this, endpoint, head, result -> ended(number, attempt, result));
  }

  private void ended(long number, Attempt attempt, FakeAnswer answer) {
    if (!open.remove(number)) {
      return;
    }
    long nowNanos = loop.nowNanos();
    decide(
        new RoutingEvent.AttemptEnded(
            attempt.placement().endpoint(),
            answer.failure(),
            answer.status(),
            answer.serverMicros(),
            TimeUnit.NANOSECONDS.toMicros(nowNanos - attempt.startNanos()),
            answer.report(),
            nowNanos));
    RequestHead head = attempt.head();
    long remainingMillis =
        TimeUnit.NANOSECONDS.toMillis(attempt.request().deadlineNanos() - nowNanos);
    if (!mayFollow(head, answer, remainingMillis)) {
      finish(attempt.request(), head, answer);
      return;
    }
    RequestHead next = head.nextAttempt(head.attempt() + 1, remainingMillis);
    place(attempt.request(), next, attempt.tried(), answer);
  }

  private static boolean mayFollow(RequestHead head, FakeAnswer answer, long remainingMillis) {
    return answer
        .failure()
        .map(
            failure ->
                RetryPolicy.mayRetryFailure(head, head.attempt(), failure, false, remainingMillis))
        .getOrElse(
            () ->
                RetryPolicy.mayRetryAnswer(
                    head, head.attempt(), answer.status(), false, remainingMillis));
  }

  private void finish(Request request, RequestHead head, FakeAnswer answer) {
    long totalNanos = loop.nowNanos() - request.arrivedNanos();
    tally.ended(
        request.customer(),
        answer.good(),
        head.idempotent(),
        TimeUnit.NANOSECONDS.toMicros(totalNanos));
  }

  /** As host: a request has come. */
  void serving(BackendServerId server, RequestHead head, FakeNode ingress) {
    decide(
        new RoutingEvent.HostedRequestStarted(
            server, head.service(), new NodeId(String.valueOf(ingress.index)), loop.nowNanos()));
  }

  /** As host: the answer of this node's backend server goes out with the host's report. */
  void served(BackendServerId server, FakeAnswer answer, Reply<FakeAnswer> reply) {
    decide(
        new RoutingEvent.HostedRequestEnded(
            server,
            answer.failure(),
            answer.status(),
            answer.serverMicros(),
            loop.nowNanos(),
            report -> reply.send(answer.with(report))));
  }
}
