package org.clementinepost.policy.host;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import org.clementinepost.api.RequestHead;
import org.clementinepost.kernel.Step;

/** How a host orders, bounds and charges the requests that wait for a slot. */
public final class QueueDiscipline {
  /** Adds a request to the queue of its backend server, or refuses it. */
  @FunctionalInterface
  interface Enqueue {
    Step<HostState, HostEffect> enqueue(
        HostState state, HostedServer server, HostEvent.Admit admit);
  }

  /** Returns the waiting requests in the order in which they are admitted. */
  @FunctionalInterface
  interface Review {
    Vector<ReviewedRequest> review(HostState state, long nowNanos);
  }

  /** Returns the predicted wait of a newcomer; none while run times are unknown. */
  @FunctionalInterface
  interface Prediction {
    Option<Long> waitNanos(
        HostState state, HostedServer server, WaitingRequest request, long nowNanos);
  }

  /** Returns what the admission of a request is charged; none if it is not charged. */
  @FunctionalInterface
  interface Charging {
    Option<RunCharge> charge(HostState state, HostedServer server, RequestHead head);
  }

  private final Enqueue enqueue;
  private final Review review;
  private final Prediction prediction;
  private final Charging charging;

  private QueueDiscipline(Builder builder) {
    this.enqueue = builder.enqueue;
    this.review = builder.review;
    this.prediction = builder.prediction;
    this.charging = builder.charging;
  }

  /** Returns the discipline that orders by urgency and admits only what can be in time. */
  public static QueueDiscipline byUrgency() {
    return new Builder()
        .enqueue(QueuePolicy::enqueue)
        .review(QueuePolicy::review)
        .prediction(WaitPrediction::waitNanos)
        .charging((state, server, head) -> Option.none())
        .build();
  }

  /** Returns the discipline that shares a server among customers and serves late requests. */
  public static QueueDiscipline fair() {
    return new Builder()
        .enqueue(FairQueue::enqueue)
        .review(FairQueue::review)
        .prediction(FairQueue::waitNanos)
        .charging(FairQueue::charge)
        .build();
  }

  Step<HostState, HostEffect> enqueue(HostState state, HostedServer server, HostEvent.Admit admit) {
    return enqueue.enqueue(state, server, admit);
  }

  Vector<ReviewedRequest> review(HostState state, long nowNanos) {
    return review.review(state, nowNanos);
  }

  Option<Long> waitNanos(
      HostState state, HostedServer server, WaitingRequest request, long nowNanos) {
    return prediction.waitNanos(state, server, request, nowNanos);
  }

  Option<RunCharge> charge(HostState state, HostedServer server, RequestHead head) {
    return charging.charge(state, server, head);
  }

  private static final class Builder {
    private Enqueue enqueue;
    private Review review;
    private Prediction prediction;
    private Charging charging;

    Builder enqueue(Enqueue next) {
      enqueue = next;
      return this;
    }

    Builder review(Review next) {
      review = next;
      return this;
    }

    Builder prediction(Prediction next) {
      prediction = next;
      return this;
    }

    Builder charging(Charging next) {
      charging = next;
      return this;
    }

    QueueDiscipline build() {
      return new QueueDiscipline(this);
    }
  }
}
