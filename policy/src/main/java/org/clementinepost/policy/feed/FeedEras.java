package org.clementinepost.policy.feed;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import java.util.concurrent.TimeUnit;
import org.clementinepost.api.peer.FeedPage;

/**
 * Decides how a feed follows a store that comes back from an older copy.
 *
 * <p>A node takes a new era from the store itself: the era of another node may be wrong, and a copy
 * never goes back to an earlier era. Its own read also dates the clock of the new era. Only while
 * the store fails does a node follow other nodes into an era.
 */
final class FeedEras {
  /** Spreads the reads of many nodes that learn of a new era at the same time. */
  private static final long MAX_READ_DELAY_MILLIS = 300;

  private FeedEras() {}

  /** Whether a page of another node makes it necessary to read the store. */
  static boolean mustAskStore(FeedState state, FeedPage page, long nowNanos) {
    return nowNanos >= state.storeAvoidedUntilNanos()
        && state.copy().exists(known -> page.version().isOfLaterEraThan(known.version()));
  }

  /** Schedules a read of all rows from the store. */
  static FeedState readAllRows(FeedState state, double random, long nowNanos) {
    long delayNanos = Math.round(TimeUnit.MILLISECONDS.toNanos(MAX_READ_DELAY_MILLIS) * random);
    return state.toBuilder().source(Option.none()).nextFetchNanos(nowNanos + delayNanos).build();
  }

  /** Whether this node has not read from the store since its history was lost. */
  static boolean needsStore(FeedState state) {
    return state.source().isEmpty()
        || state.copy().exists(known -> known.version().era() > state.storeEra());
  }

  /** Whether a copy is the first one of a new era. */
  static boolean isNewEra(FeedState state, TableCopy copy) {
    return state.copy().exists(known -> copy.version().isOfLaterEraThan(known.version()));
  }

  static Vector<FeedEffect> effects(FeedState state, TableCopy copy) {
    return isNewEra(state, copy)
        ? Vector.of(new FeedEffect.EraChanged(copy.version().era()))
        : Vector.empty();
  }
}
