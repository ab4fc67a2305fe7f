package org.clementinepost.policy.feed;

import io.vavr.control.Either;
import io.vavr.control.Option;
import org.clementinepost.api.Failure;
import org.clementinepost.api.NodeId;
import org.clementinepost.api.StoreVersion;

/** An action that {@link FeedPolicy} asks the feed service to carry out. */
public sealed interface FeedEffect {
  /**
   * Reads the table from the store.
   *
   * @param number the number of the fetch
   * @param version the version since which changes are read; none for all rows
   * @param waitMillis how long the store may wait for a change
   */
  record ReadStore(long number, Option<StoreVersion> version, long waitMillis)
      implements FeedEffect {}

  /** Asks another node for changes. */
  record AskRelay(
      long number, NodeId relay, StoreVersion version, long storeClockMillis, long waitMillis)
      implements FeedEffect {}

  /** Answers a subscriber. */
  record Answer(FeedSubscriber subscriber, Either<Failure, ConfirmedPage> result)
      implements FeedEffect {}

  /** The node follows the table from another source than before; none is the store itself. */
  record SourceChanged(Option<NodeId> relay) implements FeedEffect {}

  /** The store has come back from an older copy; the node's copy is one of the new era. */
  record EraChanged(long era) implements FeedEffect {}

  /** Schedules a {@link FeedEvent.Tick} in place of an earlier one. */
  record ScheduleTick(long delayMillis) implements FeedEffect {}
}
