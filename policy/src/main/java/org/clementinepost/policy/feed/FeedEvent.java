package org.clementinepost.policy.feed;

import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.vavr.control.Option;
import org.clementinepost.api.Failure;
import org.clementinepost.api.NodeId;
import org.clementinepost.api.peer.FeedPage;

/** An event that {@link FeedPolicy} decides on. */
public sealed interface FeedEvent {
  /** Returns the time of the event. */
  long nowNanos();

  /** Returns a uniformly distributed random number from zero up to one. */
  default double randomFraction() {
    return 0;
  }

  /** The nodes of the own failure domain that relay tables have changed. */
  record RelaysChanged(Vector<NodeId> relays, long nowNanos) implements FeedEvent {}

  /** A subscriber waits for news. */
  record Subscribed(FeedSubscriber subscriber, long nowNanos) implements FeedEvent {}

  /**
   * A fetch has succeeded or failed.
   *
   * @param number the number of the fetch
   * @param relay the node that answered; none if the store did
   * @param requestNanos when the store was asked, by a clock that advances while the VM is
   *     suspended; none if another node was
   */
  record Fetched(
      long number,
      Option<NodeId> relay,
      Either<Failure, FeedPage> result,
      Option<Long> requestNanos,
      double randomFraction,
      long nowNanos)
      implements FeedEvent {}

  /** The timer has fired. */
  record Tick(double randomFraction, long nowNanos) implements FeedEvent {}
}
