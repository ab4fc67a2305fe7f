package org.clementinepost.policy.host;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import java.util.concurrent.TimeUnit;
import org.clementinepost.api.AdmissionMode;
import org.clementinepost.api.Failure;
import org.clementinepost.api.ResultCode;
import org.clementinepost.kernel.Step;
import org.clementinepost.policy.host.ReviewedRequest.Verdict;

/**
 * Decides which requests wait for a slot of a backend server, and which are refused at once.
 *
 * <p>It answers a burst above the capacity of a service: a request waits if its response can still
 * meet the target latency, by the prediction of {@link WaitPrediction}. A full queue gives way from
 * its least urgent end, so that requests of low priority do not keep out those of high priority.
 */
final class QueuePolicy {
  /** The part of the target latency that a request may wait while run times are unknown. */
  private static final int UNPREDICTED_WAIT_DIVISOR = 4;

  /** The part of the target latency that a request may wait beyond its predicted wait. */
  private static final int PREDICTION_TOLERANCE_DIVISOR = 8;

  /**
   * The time that remains before a request's timeout when it stops waiting.
   *
   * <p>Waiting requests are checked every 50 ms. The ingress must receive the host's refusal, which
   * states that the request has not run, before it times the request out with an unknown run state.
   */
  private static final long MIN_REMAINING_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  /** The maximum number of waiting requests per slot of a backend server. */
  private static final int MAX_WAITING_PER_SLOT = 2;

  private QueuePolicy() {}

  /** Adds a request to the queue of its backend server, or refuses it. */
  static Step<HostState, HostEffect> enqueue(
      HostState state, HostedServer server, HostEvent.Admit admit) {
    if (admit.head().options().admissionMode() == AdmissionMode.FREE_SLOT_ONLY) {
      return Step.to(state, refusal(admit, QueueRefusal.NO_FREE_SLOT, admit.nowNanos()));
    }
    long maxWaitNanos = maxWaitNanos(state, server, admit);
    if (maxWaitNanos <= 0) {
      return Step.to(state, refusal(admit, QueueRefusal.WAIT_TOO_LONG, admit.nowNanos()));
    }
    WaitingRequest request = new WaitingRequest(admit, admit.nowNanos() + maxWaitNanos);
    Vector<WaitingRequest> queue =
        state.waiting().append(request).sorted(WaitingRequest.BY_URGENCY);
    Vector<WaitingRequest> ofServer =
        queue.filter(waiting -> waiting.admit().server().equals(admit.server()));
    if (ofServer.size() <= server.announcement().slots() * MAX_WAITING_PER_SLOT) {
      return Step.to(state.withWaiting(queue));
    }
    WaitingRequest leastUrgent = ofServer.last();
    QueueRefusal cause = leastUrgent == request ? QueueRefusal.NO_ROOM : QueueRefusal.DISPLACED;
    return Step.to(
        state.withWaiting(queue.remove(leastUrgent)),
        refusal(leastUrgent.admit(), cause, admit.nowNanos()));
  }

  private static HostEffect refusal(HostEvent.Admit admit, QueueRefusal cause, long nowNanos) {
    Failure full = Failure.of(ResultCode.HOST_QUEUE_FULL, admit.server().value());
    return AdmissionPolicy.queueRefusal(admit, full, cause, Option.none(), nowNanos);
  }

  /** Returns how long the request may wait; zero or less if it must not wait at all. */
  private static long maxWaitNanos(HostState state, HostedServer server, HostEvent.Admit admit) {
    WaitingRequest request = new WaitingRequest(admit, admit.nowNanos());
    long targetNanos = TimeUnit.MILLISECONDS.toNanos(admit.head().options().targetLatencyMillis());
    long timeoutNanos = maxServiceNanos(admit);
    Option<Long> predictedNanos =
        WaitPrediction.waitNanos(state, server, request, admit.nowNanos());
    if (predictedNanos.isEmpty()) {
      return Math.min(targetNanos / UNPREDICTED_WAIT_DIVISOR, timeoutNanos);
    }
    long runNanos = server.runTimes().expectedNanos(request.kind()).getOrElse(0L);
    long limitNanos = Math.min(targetNanos, timeoutNanos) - runNanos;
    if (predictedNanos.get() > limitNanos) {
      return 0;
    }
    return Math.min(limitNanos, predictedNanos.get() + targetNanos / PREDICTION_TOLERANCE_DIVISOR);
  }

  /** Returns the time in which a request must be served, counted from its arrival. */
  static long maxServiceNanos(HostEvent.Admit admit) {
    return TimeUnit.MILLISECONDS.toNanos(admit.head().timeoutMillis()) - MIN_REMAINING_NANOS;
  }

  /** Returns how long a request may wait while run times are unknown. */
  static long unpredictedWaitNanos(HostEvent.Admit admit) {
    long maxServiceNanos = maxServiceNanos(admit);
    long targetMillis = admit.head().options().targetLatencyMillis();
    long targetNanos =
        targetMillis > 0 ? TimeUnit.MILLISECONDS.toNanos(targetMillis) : maxServiceNanos;
    return Math.min(targetNanos / UNPREDICTED_WAIT_DIVISOR, maxServiceNanos);
  }

  /** Returns the waiting requests in their order; those past their wait deadline don't wait on. */
  static Vector<ReviewedRequest> review(HostState state, long nowNanos) {
    return state.waiting().map(request -> review(request, nowNanos));
  }

  private static ReviewedRequest review(WaitingRequest request, long nowNanos) {
    Verdict verdict =
        nowNanos >= request.waitDeadlineNanos() ? Verdict.ADMIT_OR_REFUSE : Verdict.ADMIT_OR_WAIT;
    return new ReviewedRequest(request, verdict, Option.none(), Option.none());
  }
}
