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

/**
 * Simulates a node: routes requests by the policy under test and retries them by the retry policy
 * of the proxy, over a simulated network.
 */
final class SimulatedNode {
  private static final long TICK_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
  // The host times the request out first; an ingress waits this much longer for its reply.
  private static final long HOST_RESPONSE_GRACE_MILLIS = 250;

  /** A caller's request. */
  record Request(int customer, long arrivedNanos, long deadlineNanos) {}

  /** An attempt to have a request served by one backend server. */
  private record Attempt(
      Request request,
      RequestHead head,
      Set<BackendServerId> triedServers,
      Placement placement,
      long startNanos) {}

  private final int index;
  private final SimulationScheduler scheduler;
  private final Random random;
  private final Router router;
  private final SimulatedNetwork network;
  private final java.util.Set<Long> openAttempts = new java.util.HashSet<>();
  private RunStatistics statistics;
  private long lastAttemptNumber;

  SimulatedNode(
      int index,
      SimulationScheduler scheduler,
      Random random,
      Router router,
      SimulatedNetwork network,
      RunStatistics statistics) {
    this.index = index;
    this.scheduler = scheduler;
    this.random = random;
    this.router = router;
    this.network = network;
    this.statistics = statistics;
    // Staggers the ticks of the nodes.
    long firstTickNanos = index * TICK_NANOS / 32;
    scheduler.scheduleAtFixedRate(
        firstTickNanos, TICK_NANOS, () -> onEvent(new RoutingEvent.Tick(scheduler.nowNanos())));
  }

  int index() {
    return index;
  }

  void setStatistics(RunStatistics newStatistics) {
    statistics = newStatistics;
  }

  void onEvent(RoutingEvent event) {
    for (RoutingEffect effect : router.decide(event)) {
      statistics.recordEffect(scheduler.nowNanos(), index, effect);
      if (effect instanceof RoutingEffect.Placed placed) {
        placed.reply().send(placed.result());
      }
      if (effect instanceof RoutingEffect.NotifyIngresses notification) {
        network.sendHostReport(this, notification);
      }
      if (effect instanceof RoutingEffect.ReplyWithReport withReport) {
        withReport.reply().send(withReport.report());
      }
    }
  }

  void onRequest(Request request, RequestHead head) {
    place(request, head, HashSet.empty(), AttemptResult.ofFailure(ResultCode.NO_BACKEND_SERVER));
  }

  private void place(
      Request request,
      RequestHead head,
      Set<BackendServerId> triedServers,
      AttemptResult previousResult) {
    onEvent(
        new RoutingEvent.Place(
            head,
            triedServers,
            random.nextLong(),
            scheduler.nowNanos(),
            placement -> onPlaced(request, head, triedServers, previousResult, placement)));
  }

  private void onPlaced(
      Request request,
      RequestHead head,
      Set<BackendServerId> triedServers,
      AttemptResult previousResult,
      Either<Failure, Placement> placementOrFailure) {
    if (placementOrFailure.isLeft()) {
      completeRequest(request, head, previousResult);
      return;
    }
    Placement placement = placementOrFailure.get();
    Endpoint endpoint = placement.endpoint();
    Attempt attempt =
        new Attempt(
            request, head, triedServers.add(endpoint.server()), placement, scheduler.nowNanos());
    lastAttemptNumber++;
    long number = lastAttemptNumber;
    openAttempts.add(number);
    statistics.recordAttempt();
    scheduler.schedule(
        TimeUnit.MILLISECONDS.toNanos(head.timeoutMillis() + HOST_RESPONSE_GRACE_MILLIS),
        () ->
            onAttemptEnded(number, attempt, AttemptResult.ofFailure(ResultCode.BACKEND_TIMED_OUT)));
    network.send(this, endpoint, head, result -> onAttemptEnded(number, attempt, result));
  }

  private void onAttemptEnded(long number, Attempt attempt, AttemptResult result) {
    if (!openAttempts.remove(number)) {
      return;
    }
    long nowNanos = scheduler.nowNanos();
    onEvent(
        new RoutingEvent.AttemptEnded(
            attempt.placement().endpoint(),
            attempt.head().attempt(),
            result.failure(),
            result.status(),
            result.serverMicros(),
            TimeUnit.NANOSECONDS.toMicros(nowNanos - attempt.startNanos()),
            result.report(),
            nowNanos));
    RequestHead head = attempt.head();
    long remainingMillis =
        TimeUnit.NANOSECONDS.toMillis(attempt.request().deadlineNanos() - nowNanos);
    if (!mayRetry(head, result, remainingMillis)) {
      completeRequest(attempt.request(), head, result);
      return;
    }
    RequestHead next = head.nextAttempt(head.attempt() + 1, remainingMillis);
    place(attempt.request(), next, attempt.triedServers(), result);
  }

  private static boolean mayRetry(RequestHead head, AttemptResult result, long remainingMillis) {
    return result
        .failure()
        .map(
            failure ->
                RetryPolicy.mayRetryFailure(head, head.attempt(), failure, false, remainingMillis))
        .getOrElse(
            () ->
                RetryPolicy.mayRetryAnswer(
                    head, head.attempt(), result.status(), false, remainingMillis));
  }

  private void completeRequest(Request request, RequestHead head, AttemptResult result) {
    long totalNanos = scheduler.nowNanos() - request.arrivedNanos();
    statistics.recordRequest(
        request.customer(),
        result.isSuccess(),
        head.idempotent(),
        TimeUnit.NANOSECONDS.toMicros(totalNanos));
  }

  /** Records as the host that a request for this node's backend server has arrived. */
  void onHostedRequestStarted(BackendServerId server, RequestHead head, SimulatedNode ingress) {
    onEvent(
        new RoutingEvent.HostedRequestStarted(
            server,
            head.service(),
            new NodeId(String.valueOf(ingress.index)),
            scheduler.nowNanos()));
  }

  /** Replies as the host with the backend server's result and the host's health report. */
  void onHostedRequestEnded(
      BackendServerId server, AttemptResult result, Reply<AttemptResult> reply) {
    onEvent(
        new RoutingEvent.HostedRequestEnded(
            server,
            result.failure(),
            result.status(),
            result.serverMicros(),
            scheduler.nowNanos(),
            report -> reply.send(result.withReport(report))));
  }
}
