package org.clementinepost.policy.host;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.clementinepost.api.AdmissionMode;
import org.clementinepost.api.CustomerId;
import org.clementinepost.api.Failure;
import org.clementinepost.api.RequestHead;
import org.clementinepost.api.ResultCode;
import org.clementinepost.kernel.Step;
import org.clementinepost.policy.host.QueuePlan.PlannedRequest;
import org.clementinepost.policy.host.ReviewedRequest.Verdict;

/**
 * The queue that shares a backend server fairly among customers and serves late requests when a
 * slot is free.
 *
 * <p>It answers a customer that sends many times what the others send, and a burst that can be
 * served before its deadline but not in time. {@link QueuePlan} decides the order.
 */
final class FairQueue {
  /** The maximum number of waiting requests per slot of a backend server. */
  static final int MAX_WAITING_PER_SLOT = 16;

  /** The part of the queue, per slot, that only calls of backend servers may use. */
  static final int RESERVED_FOR_CALLS_PER_SLOT = 4;

  /** More free slots than this make no difference to a plan. */
  static final int MAX_PLANNED_FREE_SLOTS = 1_024;

  /** Charged while the run times of a server are unknown, until the run has ended. */
  private static final long UNKNOWN_RUN_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  private static final long MIN_RETRY_AFTER_MILLIS = 300;

  /** A caller that is told a longer time would rather give up. */
  private static final long MAX_RETRY_AFTER_MILLIS = TimeUnit.SECONDS.toMillis(10);

  private static final double RANDOM_53_BITS_RANGE = 1L << 53;

  private FairQueue() {}

  static Step<HostState, HostEffect> enqueue(
      HostState state, HostedServer server, HostEvent.Admit admit) {
    WaitingRequest request =
        new WaitingRequest(admit, admit.nowNanos() + QueuePolicy.unpredictedWaitNanos(admit));
    if (admit.head().options().admissionMode() == AdmissionMode.FREE_SLOT_ONLY) {
      QueuePlan plan = QueuePlan.of(state, server, waitingFor(state, server), admit.nowNanos());
      Failure full = failure(ResultCode.HOST_QUEUE_FULL, request, plan);
      return Step.to(
          state,
          AdmissionPolicy.queueRefusal(
              admit, full, QueueRefusal.NO_FREE_SLOT, Option.none(), admit.nowNanos()));
    }
    Vector<WaitingRequest> candidates = waitingFor(state, server).append(request);
    QueuePlan plan = QueuePlan.of(state, server, candidates, admit.nowNanos());
    List<WaitingRequest> kept = new ArrayList<>();
    List<HostEffect> refusals = new ArrayList<>();
    Room room = Room.of(server);
    for (PlannedRequest planned : plan.requests()) {
      if (!planned.isHopeless() && room.fits(planned.request())) {
        room = room.without(planned.request());
        kept.add(planned.request());
        continue;
      }
      refusals.add(refusal(planned, planned.request() == request, plan, admit.nowNanos()));
    }
    Vector<WaitingRequest> others = state.waiting().reject(waiting -> isFor(waiting, server));
    return Step.to(state.withWaiting(others.appendAll(kept)), Vector.ofAll(refusals));
  }

  /** Returns the waiting requests in the planned order, server by server. */
  static Vector<ReviewedRequest> review(HostState state, long nowNanos) {
    List<ReviewedRequest> reviewed = new ArrayList<>();
    for (HostedServer server : state.servers().values()) {
      Vector<WaitingRequest> waiting = waitingFor(state, server);
      if (waiting.isEmpty()) {
        continue;
      }
      QueuePlan plan = QueuePlan.of(state, server, waiting, nowNanos);
      for (PlannedRequest planned : plan.requests()) {
        reviewed.add(review(planned, plan));
      }
    }
    for (WaitingRequest waiting : state.waiting()) {
      if (!state.servers().containsKey(waiting.admit().server())) {
        reviewed.add(review(waiting));
      }
    }
    return Vector.ofAll(reviewed);
  }

  private static ReviewedRequest review(PlannedRequest planned, QueuePlan plan) {
    Option<QueueGroup> group = Option.some(planned.group());
    return planned.isHopeless()
        ? new ReviewedRequest(
            planned.request(),
            Verdict.REFUSE,
            group,
            Option.some(retryAfterMillis(plan, planned.request())))
        : new ReviewedRequest(planned.request(), Verdict.ADMIT_OR_WAIT, group, Option.none());
  }

  private static ReviewedRequest review(WaitingRequest waiting) {
    return new ReviewedRequest(waiting, Verdict.ADMIT_OR_WAIT, Option.none(), Option.none());
  }

  /** Returns the predicted wait of a request that does not wait yet. */
  static Option<Long> waitNanos(
      HostState state, HostedServer server, WaitingRequest request, long nowNanos) {
    if (server.runTimes().meanNanos().isEmpty()) {
      return Option.none();
    }
    return QueuePlan.of(state, server, waitingFor(state, server).append(request), nowNanos)
        .find(request)
        .map(PlannedRequest::waitNanos);
  }

  /** Calls of backend servers have no customer and are not charged. */
  static Option<RunCharge> charge(HostState state, HostedServer server, RequestHead head) {
    if (WaitingRequest.isCallOfServer(head)) {
      return Option.none();
    }
    Option<Long> expectedNanos = server.runTimes().expectedNanos(RequestKind.of(head));
    return Option.some(
        new RunCharge(
            head.options().priority(),
            head.customer(),
            weightOf(state, head.customer()),
            chargedNanos(expectedNanos)));
  }

  static int weightOf(HostState state, Option<CustomerId> customer) {
    return customer
        .flatMap(state.snapshot().customers()::get)
        .map(known -> Math.max(1, known.weight()))
        .getOrElse(1);
  }

  /** Returns the run time that an admission is charged, until the run has ended. */
  static long chargedNanos(Option<Long> expectedNanos) {
    return expectedNanos.getOrElse(UNKNOWN_RUN_NANOS);
  }

  private static Vector<WaitingRequest> waitingFor(HostState state, HostedServer server) {
    return state.waiting().filter(waiting -> isFor(waiting, server));
  }

  private static boolean isFor(WaitingRequest waiting, HostedServer server) {
    return waiting.admit().server().equals(server.announcement().server());
  }

  /** A request that waited and became hopeless has used up its time; others found no room. */
  private static HostEffect refusal(
      PlannedRequest planned, boolean newcomer, QueuePlan plan, long nowNanos) {
    ResultCode code =
        planned.isHopeless() && !newcomer
            ? ResultCode.HOST_QUEUE_TIMEOUT
            : ResultCode.HOST_QUEUE_FULL;
    return AdmissionPolicy.queueRefusal(
        planned.request().admit(),
        failure(code, planned.request(), plan),
        cause(planned, newcomer),
        Option.some(planned.group()),
        nowNanos);
  }

  private static QueueRefusal cause(PlannedRequest planned, boolean newcomer) {
    if (planned.isHopeless()) {
      return QueueRefusal.WAIT_TOO_LONG;
    }
    return newcomer ? QueueRefusal.NO_ROOM : QueueRefusal.DISPLACED;
  }

  private static Failure failure(ResultCode code, WaitingRequest request, QueuePlan plan) {
    return Failure.of(code, request.admit().server().value())
        .withRetryAfter(retryAfterMillis(plan, request));
  }

  /**
   * Returns when the backlog will have drained, up to twice that time by random bits, so that
   * callers that are refused together do not come back together.
   */
  private static long retryAfterMillis(QueuePlan plan, WaitingRequest request) {
    long drainMillis = TimeUnit.NANOSECONDS.toMillis(plan.drainNanos().getOrElse(0L));
    long baseMillis =
        Math.min(MAX_RETRY_AFTER_MILLIS, Math.max(MIN_RETRY_AFTER_MILLIS, drainMillis));
    double fraction = (request.admit().randomBits() >>> 11) / RANDOM_53_BITS_RANGE;
    return baseMillis + Math.round(baseMillis * fraction);
  }

  /**
   * The room that is left in the queue of a server, while the queue is filled in its order.
   *
   * @param left the number of further requests
   * @param leftForCustomers the number of those that need not be calls of backend servers
   */
  private record Room(int left, int leftForCustomers) {
    static Room of(HostedServer server) {
      int slots = server.announcement().slots();
      return new Room(
          slots * MAX_WAITING_PER_SLOT,
          slots * (MAX_WAITING_PER_SLOT - RESERVED_FOR_CALLS_PER_SLOT));
    }

    boolean fits(WaitingRequest request) {
      return left > 0 && (request.isCallOfServer() || leftForCustomers > 0);
    }

    Room without(WaitingRequest request) {
      return new Room(left - 1, request.isCallOfServer() ? leftForCustomers : leftForCustomers - 1);
    }
  }
}
