package org.clementinepost.policy.membership;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import org.clementinepost.api.NodeId;
import org.clementinepost.api.peer.MemberUpdate;

/**
 * The news that waits to be passed on.
 *
 * <p>A lone piece of news goes at once; what comes within {@link #INTERVAL_MILLIS} of it waits and
 * goes together, a bounded number at a time, so that the loss of a failure domain is spread over
 * seconds.
 *
 * @param waiting the news, oldest first
 * @param sentMillis when news was passed on last
 */
record Flood(Vector<Item> waiting, long sentMillis) {
  private static final long INTERVAL_MILLIS = 200;
  private static final int MAX_UPDATES_PER_INTERVAL = 16;
  private static final Flood EMPTY = new Flood(Vector.empty(), Long.MIN_VALUE / 2);

  /** A piece of news, and the node that it came from, which need not have it back. */
  record Item(MemberUpdate update, Option<NodeId> from) {}

  static Flood empty() {
    return EMPTY;
  }

  Flood with(MemberUpdate update, Option<NodeId> from) {
    Vector<Item> others =
        waiting.reject(item -> item.update().member().node().equals(update.member().node()));
    return new Flood(others.append(new Item(update, from)), sentMillis);
  }

  boolean isDue(long nowMillis) {
    return !waiting.isEmpty() && nowMillis - sentMillis >= INTERVAL_MILLIS;
  }

  Vector<Item> next() {
    return waiting.take(MAX_UPDATES_PER_INTERVAL);
  }

  Flood sent(long nowMillis) {
    return new Flood(waiting.drop(MAX_UPDATES_PER_INTERVAL), nowMillis);
  }
}
